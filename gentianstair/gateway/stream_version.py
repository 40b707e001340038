"""Decide at which software version a request's stream may go on.

What two versions produce does not fit together, and replicas do not check
this. A VM that can't know the version of a resumed stream rejects it.
"""

import typing

import httpx

from gentianstair import errors
from gentianstair import verdict as verdicts
from gentianstair.core import stream_origins
from gentianstair.gateway import forward
from gentianstair.gateway import origin_messages
from gentianstair.gateway import replicas
from gentianstair.gateway import request_state
from gentianstair.gateway import version_history
from gentianstair.generated import events
from gentianstair.util import moments

# Added to the longest time that a stream of a route lasts: a caller resumes
# it a little later, and replicas serve on for a while after their entry went.
RESUME_S = 5.0
# A replica that started this long after an event did not produce it.
CLOCK_ERROR_MS = 500
# How long the replica of a stream's last events is asked for its start.
ORIGIN_LIMIT_S = 0.2
# How long a stream's first event waits for its process to tell its start.
PRODUCER_LIMIT_S = 0.5


def _may_be_of(started_ms: int, origin: stream_origins.Origin) -> bool:
    """Return whether a later start than the origin's may have produced it.

    Its replica's entry was then out of date when the stream was placed.
    """
    if started_ms <= origin.started_ms:
        return False
    return started_ms < origin.first_event_ms + CLOCK_ERROR_MS


class StreamVersion:
    """The software version to which one request is bound."""

    def __init__(self, request: request_state.RequestState) -> None:
        self._request = request
        self._node = request.node
        self._lifetime_s = request.route.timeout_s + RESUME_S
        # How long ago its first event may have come.
        self._reach_s = self._lifetime_s + version_history.LATE_RESUME_S
        # Where the last events came from, until its start is confirmed.
        self._unconfirmed: stream_origins.Origin | None = None
        # When the present attempt's answer came.
        self._answered_at = 0
        call = request.call
        self._is_resumed = (
            call.last_event_id is not None or call.resumed_id is not None
        )

    async def resolve(self) -> None:
        """Bind a request that resumes a stream to the stream's version.

        Raise RequestError if it can't be known.
        """
        if not self._is_resumed:
            return
        call = self._request.call
        knowledge = await self._node.origin_keepers.ask(
            origin_messages.Question(
                self._key(call.resumed_id) if call.resumed_id else b'',
                self._request.service,
                self._reach_s,
            )
        )
        if knowledge.origin is not None:
            self._bind_to_origin(knowledge.origin)
            return
        versions = knowledge.versions
        if versions.is_settled:
            self._bind(versions.only_one, 'only-version')
        elif call.last_event_id is not None:
            raise self._unknown(f'{len(versions.found)} versions serve')

    def _key(self, request_id: str) -> bytes:
        return stream_origins.stream_key(
            self._request.customer_name, request_id
        )

    def _versions(self) -> version_history.Versions:
        return self._node.registry.versions.within(
            self._request.service, self._reach_s
        )

    def _bind_to_origin(self, origin: stream_origins.Origin) -> None:
        if origin.service != self._request.service:
            raise self._unknown('it began at another service')
        if origin.version == stream_origins.UNKNOWN_VERSION:
            raise self._unknown('it was told to be at two versions')
        starts_ms = self._node.registry.starts_ms(origin.upstream)
        if any(_may_be_of(started_ms, origin) for started_ms in starts_ms):
            self._disown(origin)
            raise self._unknown('its replica started again about then')
        self._unconfirmed = origin
        self._bind(
            origin.version,
            'origin',
            replica=origin.upstream,
            started_ms=origin.started_ms,
        )

    def _bind(
        self,
        version: str | None,
        known_from: str,
        **fields: typing.Any,
    ) -> None:
        self._request.bind_version(version)
        self._request.log(
            events.STREAM_BOUND,
            'a resumed stream is bound to a software version',
            version=version,
            known_from=known_from,
            **fields,
        )

    def _unknown(self, reason: str) -> errors.RequestError:
        return errors.RequestError(
            503,
            'stream-version-unknown',
            f'the software version of the stream is not known: {reason}',
            self._request.verdict,
        )

    def ask_producer(
        self, replica: replicas.Replica, response: httpx.Response
    ) -> None:
        """Begin to find out which start of a replica answers a request."""
        if not self._request.route.retryable:
            return
        self._answered_at = moments.next_moment()
        self._node.process_starts.ask(
            replica, forward.connection_of(response), self._answered_at
        )

    async def find_producer(
        self, replica: replicas.Replica, response: httpx.Response
    ) -> None:
        """Find out, for the log, which start sends a stream's events."""
        if not self._request.route.retryable:
            return
        self._request.producer = await self._node.process_starts.find(
            replica,
            forward.connection_of(response),
            self._answered_at,
            PRODUCER_LIMIT_S,
        )

    def record_first_event(self, replica: replicas.Replica) -> None:
        """Bind the request to a replica that produced an event of it.

        Call it before the event goes to the caller.
        """
        request = self._request
        is_first = request.version is None
        request.bind_version(replica.version)
        origin = stream_origins.Origin(
            request.service,
            replica.version,
            replica.name,
            replica.started_ms,
            round(self._node.wall_clock() * 1000),
        )
        self._unconfirmed = origin if is_first else None
        self._record(origin)

    async def check(self, replica: replicas.Replica, limit_s: float) -> None:
        """Check that a replica that answers has the request's version.

        Its answer's connection belongs to the process that reports now, or
        to one that has ended. Raise UpstreamError.
        """
        if not self.needs_start_check:
            return
        await self._check_origin(replica)
        try:
            started_ms = await forward.fetch_start_ms(
                self._node.replica_client, replica, limit_s
            )
        except errors.DecodeError as error:
            raise errors.UpstreamError(
                f'the start is not known: {error}', verdicts.Verdict.RAN
            ) from error
        if started_ms != replica.started_ms:
            raise errors.UpstreamError(
                'the replica has started again', verdicts.Verdict.RAN
            )

    async def _check_origin(self, replica: replicas.Replica) -> None:
        """Check that a stream's last events are of the start in its origin.

        A replica that does not tell in time may be gone, which is why most
        streams break.
        """
        origin = self._unconfirmed
        if origin is None or origin.upstream == replica.name:
            return
        producer = self._node.registry.get(origin.upstream)
        if producer is None:
            return
        try:
            started_ms = await forward.fetch_start_ms(
                self._node.replica_client, producer, ORIGIN_LIMIT_S
            )
        except (errors.UpstreamError, errors.DecodeError) as error:
            self._request.log(
                events.ORIGIN_UNCONFIRMED,
                f'the start of a replica is not confirmed: {error}',
                replica=producer.name,
            )
            return
        if _may_be_of(started_ms, origin):
            self._disown(origin)
            raise errors.UpstreamError(
                'the replica of the last events had started again',
                verdicts.Verdict.RAN,
            )

    def _disown(self, origin: stream_origins.Origin) -> None:
        """Tell that nobody can know where a stream began.

        A later start of its replica would hide that from others.
        """
        self._record(origin._replace(version=stream_origins.UNKNOWN_VERSION))

    def _record(self, origin: stream_origins.Origin) -> None:
        call = self._request.call
        for request_id in {call.request_id, call.resumed_id}:
            if request_id:
                self._node.origin_keepers.record(
                    self._key(request_id), origin, self._lifetime_s
                )

    @property
    def needs_start_check(self) -> bool:
        """Return whether a replica must prove the start in its entry.

        An entry may be out of date. That matters only for a stream that has
        events, while there is another version that its replica may have, or
        may have had.
        """
        if self._request.version is None:
            return False
        return not self._versions().is_settled
