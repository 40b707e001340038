"""Keep the limits that upstreams name, over all entry VMs.

The live VMs rank alike for each upstream; the first keeps its permits and the
others ask it, each on a link of its own that is opened when it is needed.
"""

import random
import typing

import httpx
import loguru
import trio

from gentianstair import errors
from gentianstair.control import rendezvous
from gentianstair.core import permit_keeper
from gentianstair.core import upstream_backoffs
from gentianstair.core import upstream_limits
from gentianstair.core import upstream_permits
from gentianstair.entry import upstream_names
from gentianstair.generated import messages
from gentianstair.peers import link
from gentianstair.peers import membership
from gentianstair.peers import node as peers
from gentianstair.peers import permit_questions
from gentianstair.util import clock as clocks
from gentianstair.util import tasks as tasks_module

# Names the requests a second that an upstream in need takes of all VMs.
LIMIT_HEADER = 'server-limit'
MIN_FAILURE_STATUS = 500
HTTP_UNAVAILABLE = 503
# The pause in s that an upstream asks for as it turns a request away.
PAUSE_HEADER = 'retry-after'
# A link without questions for so long is closed.
IDLE_S = 10.0
# Limited upstreams that are asked for a turn.
MAX_TURN_ASKS = 3
# A VM that is asked and sees another keeper denies.
HOPS = 0


class _Link:
    """A link to a keeper, which may not be open yet."""

    def __init__(self) -> None:
        self.opened = trio.Event()
        self.channel: link.Channel | None = None
        self.asked_s = trio.current_time()


class MemberKeepers:
    """The live entry VMs as keepers of permits; this VM is one of them."""

    def __init__(
        self,
        peer: peers.Node,
        network: link.Network,
        tasks: tasks_module.Tasks,
        known: upstream_limits.UpstreamLimits,
        clock: clocks.Clock,
    ) -> None:
        self._peer = peer
        self._network = network
        self._tasks = tasks
        self._known = known
        self._own = permit_keeper.PermitKeeper(clock)
        self._questions = permit_questions.Questions()
        self._links: dict[str, _Link] = {}

    async def ask(self, ask: permit_keeper.Ask) -> permit_keeper.Grant:
        """See upstream_permits.Keepers."""
        keeper = self._keeper_of(ask.run.name)
        if keeper.name == self._peer.name:
            return self._grant(ask)
        found = self._links.get(keeper.address)
        if found is None:
            found = self._links[keeper.address] = _Link()
            self._tasks.start_soon(
                'permit-link',
                self._run_link,
                keeper.address,
                found,
                peer=keeper.address,
            )
        found.asked_s = trio.current_time()
        with trio.move_on_after(permit_questions.ANSWER_TIMEOUT_S):
            await found.opened.wait()
        if found.channel is None:
            return permit_questions.UNANSWERED
        return await self._questions.ask(found.channel, ask, HOPS)

    def _live(self) -> list[membership.Member]:
        """Return the live VMs; this one also while it stops, if alone."""
        members = self._peer.members()
        live = [one for one in members if one.status == membership.LIVE]
        return live or [m for m in members if m.name == self._peer.name]

    def _keeper_of(self, upstream: str) -> membership.Member:
        return max(
            self._live(),
            key=lambda member: rendezvous.score(upstream, member.name),
        )

    def _grant(self, ask: permit_keeper.Ask) -> permit_keeper.Grant:
        own_rate_per_s = self._known.rate_per_s(ask.run)
        if own_rate_per_s is not None:
            ask = ask._replace(rate_per_s=own_rate_per_s)
        live = len(self._live())
        suspects = sum(
            member.status == membership.SUSPECT
            for member in self._peer.members()
        )
        return self._own.grant(ask, live / (live + suspects), live)

    async def _run_link(self, address: str, found: _Link) -> None:
        """Open a link and take answers until it breaks or is idle."""
        try:
            async with self._network.open(address) as channel:
                found.channel = channel
                found.opened.set()
                while trio.current_time() - found.asked_s < IDLE_S:
                    with trio.move_on_after(IDLE_S):
                        self._handle(link.decode(await channel.receive()))
        except (link.LinkClosedError, errors.DecodeError) as error:
            loguru.logger.bind(peer=address).debug('link closed: {}', error)
        finally:
            found.channel = None
            found.opened.set()
            self._links.pop(address, None)

    def _handle(self, message: link.Message | None) -> None:
        # The other end begins with a hello, as on any link.
        if message is not None and message['type'] == 'permit':
            self._questions.handle_answer(
                typing.cast(messages.Permit, message)
            )

    async def serve(self, channel: link.Channel, first: link.Message) -> None:
        """Answer the questions of another VM until its link ends."""
        message: link.Message | None = first
        while True:
            if message is not None and message['type'] == 'permit_ask':
                answer = await permit_questions.answer(
                    typing.cast(messages.PermitAsk, message),
                    self._grant_as_keeper,
                    HOPS,
                )
                await channel.send(link.encode(answer))
            message = link.decode(await channel.receive())

    async def _grant_as_keeper(
        self, ask: permit_keeper.Ask, hops: int
    ) -> permit_keeper.Grant:
        if self._keeper_of(ask.run.name).name != self._peer.name:
            return permit_questions.UNANSWERED
        return self._grant(ask)


class EntryPermits:
    """What attempts ask of the limits and pauses that upstreams name."""

    def __init__(
        self,
        names: upstream_names.UpstreamNames,
        known: upstream_limits.UpstreamLimits,
        permits: upstream_permits.UpstreamPermits,
        backoffs: upstream_backoffs.UpstreamBackoffs,
        clock: clocks.Clock,
    ) -> None:
        self._names = names
        self._known = known
        self._permits = permits
        self._backoffs = backoffs
        self._clock = clock

    def record(
        self, response: httpx.Response, url: httpx.URL, sent_s: float
    ) -> None:
        """Take what an answer says of its upstream."""
        name = self._names.name_at(upstream_names.upstream_address(url))
        if name is None:
            return
        run = _run(name)
        self._record_pause(run, response, sent_s)
        try:
            rate_per_s = upstream_limits.decode_limit(
                response.headers.get_list(LIMIT_HEADER)
            )
        except errors.DecodeError as error:
            upstream_limits.log_odd_limit(run, error)
            return
        was_taken = response.status_code < MIN_FAILURE_STATUS
        self._known.record(
            run,
            upstream_limits.Answer(
                rate_per_s, sent_s, self._clock(), was_taken
            ),
        )

    def _record_pause(
        self,
        run: upstream_limits.UpstreamRun,
        response: httpx.Response,
        sent_s: float,
    ) -> None:
        try:
            retry_after_s = named_pause(response)
        except errors.DecodeError as error:
            upstream_backoffs.log_odd_retry_after(run, error)
            return
        self._backoffs.record_answer(run, retry_after_s, sent_s)

    def backed_off(self, names: list[str]) -> set[str]:
        """Return the upstreams that have asked for a pause."""
        if self._backoffs.is_empty():
            return set()
        return {n for n in names if self._backoffs.is_backed_off(_run(n))}

    def back_in_s(self, names: set[str]) -> float:
        """Return after how long a caller may return for one of these."""
        return self._backoffs.return_in_s(_run(name) for name in names)

    def denied(self, names: list[str]) -> set[str]:
        """Return the upstreams whose permits were denied lately."""
        if not self._permits.any_denied():
            return set()
        return {n for n in names if self._permits.is_denied(_run(n))}

    async def acquire(
        self, name: str, request_id: str, last_resort_s: float | None = None
    ) -> upstream_permits.Permit | None:
        """Acquire a permit of an upstream; return None if it is denied."""
        return await self._permits.acquire(
            _run(name), request_id, last_resort_s
        )

    def check_usable(self, permit: upstream_permits.Permit) -> None:
        """Raise NoLongerSendableError just before a send that is in vain."""
        run = _run(permit.upstream)
        self._permits.check_usable(run, permit)
        self._backoffs.begin(run)

    async def wait_for_turn(
        self, names: set[str], request_id: str, patience_s: float
    ) -> upstream_permits.Permit | None:
        """Return the first permit that came in time, None without one."""
        runs = [_run(name) for name in sorted(names)]
        for run in self._permits.soonest(runs, MAX_TURN_ASKS):
            if self._permits.wait_s(run) > patience_s:
                break
            permit = await self.acquire(run.name, request_id, patience_s)
            if permit is not None:
                return permit
        return None

    def return_in_s(self, names: set[str]) -> float:
        """Return after how long a caller may return for a permit."""
        return self._permits.return_in_s([_run(name) for name in names])


def named_pause(response: httpx.Response) -> float | None:
    """Return the pause in s that an upstream asks for, None without one.

    Raise DecodeError for an odd value.
    """
    if response.status_code != HTTP_UNAVAILABLE:
        return None
    return upstream_backoffs.decode_retry_after(
        response.headers.get_list(PAUSE_HEADER)
    )


def _run(name: str) -> upstream_limits.UpstreamRun:
    """Return the upstream; an engine does not tell when it started."""
    return upstream_limits.UpstreamRun(name, 0)


class Parts(typing.NamedTuple):
    """The permits of one entry process."""

    permits: EntryPermits
    # Serves the questions of other VMs.
    keepers: MemberKeepers


def make_parts(
    names: upstream_names.UpstreamNames,
    peer: peers.Node,
    network: link.Network,
    tasks: tasks_module.Tasks,
    clock: clocks.Clock,
) -> Parts:
    """Return the permits of one entry process."""
    known = upstream_limits.UpstreamLimits(clock)
    keepers = MemberKeepers(peer, network, tasks, known, clock)
    permits = upstream_permits.UpstreamPermits(
        known, keepers, clock, random.Random(peer.name)
    )
    backoffs = upstream_backoffs.UpstreamBackoffs(
        clock, random.Random(peer.name)
    )
    return Parts(EntryPermits(names, known, permits, backoffs, clock), keepers)


__all__ = [
    'EntryPermits',
    'MemberKeepers',
    'Parts',
    'make_parts',
    'named_pause',
]
