"""Choose the replicas that one request may be sent to next."""

from gentianstair import errors
from gentianstair.gateway import forward
from gentianstair.gateway import known_starts
from gentianstair.gateway import node as nodes
from gentianstair.gateway import prefill_costs
from gentianstair.gateway import replicas
from gentianstair.gateway import request_errors
from gentianstair.gateway import request_parts
from gentianstair.gateway import request_permits

# How long a replica may have been draining before this VM learns of it, plus
# the time to copy KV cache from it.
DRAIN_NOTICE_DELAY_S = 0.8
# Share of requests that a replica turned away lately from which on it is taken
# to turn away the next.
TURNED_AWAY_SHARE = 0.8


def can_answer(replica: replicas.Replica) -> bool:
    """Return whether a replica produces what a caller gets."""
    return replica.stage != prefill_costs.PREFILL


def sure_to_serve_s(drain_s: float) -> float:
    """Return for how long a replica that is found to drain surely serves."""
    return drain_s - DRAIN_NOTICE_DELAY_S


class RequestChoices:
    """The replicas that may serve one request, by what is known of them."""

    def __init__(
        self,
        node: nodes.Node,
        service: str,
        may_repeat: bool,
        permits: request_permits.RequestPermits,
        parts: request_parts.RequestParts,
    ) -> None:
        self._node = node
        self._service = service
        self._may_repeat = may_repeat
        self._permits = permits
        self._parts = parts
        # Names of replicas.
        self.tried: set[str] = set()
        # Those that were left out as they asked for a pause.
        self.backed_off: set[str] = set()
        # Whether a replica turned the request away.
        self.was_rejected = False
        # Whose events the caller has, and whose may follow; None for any.
        self.producer: known_starts.Producer | None = None

    def candidates(self) -> list[replicas.Replica]:
        """Return the replicas that this request has not tried yet.

        Ejected replicas are left out while there are others, and always
        those of which there is no permit. A request that was turned away
        goes to one that turned none away lately, if it can.
        """
        usable = self._permits.choices(self.usable())
        if self._parts.is_trial:
            # A trial reaches one replica only.
            usable = list(filter(can_answer, usable))
        excluded = self._ejected() | self.tried
        if not excluded:
            return self._unless_turned_away(usable)
        untried = [r for r in usable if r.name not in excluded]
        if any(map(can_answer, untried)):
            return self._unless_turned_away(self._likely_to_accept(untried))
        return self._unless_turned_away(
            [r for r in usable if r.name not in self.tried]
        )

    def _unless_turned_away(
        self, found: list[replicas.Replica]
    ) -> list[replicas.Replica]:
        """Return the replicas that do not turn nearly all requests away.

        Where none is left, what may run once is better refused before a
        replica gets it: its caller may come back then.
        """
        shares = self._node.recent_rejections.shares()
        if not shares:
            return found
        likely = [
            r for r in found if shares.get(r.run, 0.0) < TURNED_AWAY_SHARE
        ]
        if any(map(can_answer, likely)):
            return likely
        return found if self._may_repeat else []

    def _likely_to_accept(
        self, found: list[replicas.Replica]
    ) -> list[replicas.Replica]:
        if not self.was_rejected:
            return found
        is_rejecting = self._node.recent_rejections.is_rejecting
        likely = [r for r in found if not is_rejecting(r.run)]
        return likely if any(map(can_answer, likely)) else found

    def usable(self) -> list[replicas.Replica]:
        """Return the replicas that may serve this request now."""
        fitting = self.fitting()
        backoffs = self._node.upstream_backoffs
        if backoffs.is_empty():
            return fitting
        found = [r for r in fitting if not backoffs.is_backed_off(r.run)]
        if len(found) < len(fitting):
            self.backed_off |= {r.name for r in fitting} - {
                r.name for r in found
            }
        return found

    def fitting(self) -> list[replicas.Replica]:
        """Return the replicas that may serve this request some time.

        A prefill replica of any version may, as no event comes from it. If
        all others of a bound version drain, they may while they are sure to
        serve: nobody else can go on with the stream.
        """
        usable = self._node.registry.usable(self._service)
        if self.producer is None:
            return usable
        found = [r for r in usable if self._fits(r)]
        if any(map(can_answer, found)):
            return found
        return found + [
            replica
            for replica in self._serving()
            if can_answer(replica) and self._fits(replica)
        ]

    def _fits(self, replica: replicas.Replica) -> bool:
        if self.producer is None or not can_answer(replica):
            return True
        registry = self._node.registry
        return registry.starts.may_follow(
            registry.newest_run(replica), self.producer
        )

    def _serving(self) -> list[replicas.Replica]:
        """Return all replicas that are sure to serve for a while."""
        limit_s = sure_to_serve_s(self._node.deployment.bounds.drain_s)
        return self._node.registry.copy_sources(self._service, limit_s)

    def untried(self) -> list[replicas.Replica]:
        """Return the usable replicas that it has not tried yet."""
        return [
            replica
            for replica in self.usable()
            if replica.name not in self.tried
        ]

    def kv_copy_sources(self) -> list[replicas.Replica]:
        """Return the replicas from which KV cache may be copied.

        Replicas that may be gone before the copy ends are left out: the
        prefill would start over and delay what is queued behind it.
        """
        sources = self._serving()
        ejected = self._ejected()
        if not ejected:
            return sources
        return [r for r in sources if r.name not in ejected]

    def _ejected(self) -> set[str]:
        """Return the names of the service's replicas that are ejected."""
        prefix = forward.ejector_key(self._service, '')
        return {
            key.removeprefix(prefix)
            for key in self._node.ejector.unavailable(self._node.clock())
            if key.startswith(prefix)
        }

    def not_run_error(self) -> errors.RequestError:
        """Return the error of a request that no replica has run."""
        if self._parts.is_held:
            return self._parts.held_error()
        if self._permits.turn_in_s is not None:
            return request_errors.no_turn(self._permits.turn_in_s)
        if any(map(can_answer, self.usable())):
            return request_errors.none_could_take()
        fitting = list(filter(can_answer, self.fitting()))
        if fitting:
            return request_errors.all_backed_off(
                self._node.upstream_backoffs.return_in_s(
                    replica.run for replica in fitting
                )
            )
        if self.producer is not None:
            return request_errors.version_gone()
        return request_errors.none_listed()


__all__ = ['RequestChoices', 'can_answer', 'sure_to_serve_s']
