"""Decide whose events may follow those of a request's stream.

What two software versions produce does not fit together, and replicas do not
check this. Who sent an event is proven by its process, not looked up; a VM
that can't know where a resumed stream began rejects it.
"""

import functools

import httpx

from gentianstair import errors
from gentianstair import verdict as verdicts
from gentianstair.core import stream_origins
from gentianstair.gateway import forward
from gentianstair.gateway import known_starts
from gentianstair.gateway import origin_messages
from gentianstair.gateway import replicas
from gentianstair.gateway import request_state
from gentianstair.gateway import version_history
from gentianstair.generated import events
from gentianstair.upstreams import transport
from gentianstair.util import moments

# Added to the longest time that a stream of a route lasts: a caller resumes
# it a little later, and replicas serve on for a while after their entry went.
RESUME_S = 5.0
# How long a new stream's first event waits for its process to tell its start.
PRODUCER_LIMIT_S = 0.5


class StreamVersion:
    """The software version to which one request is bound."""

    def __init__(self, request: request_state.RequestState) -> None:
        self._request = request
        self._node = request.node
        self._lifetime_s = request.route.timeout_s + RESUME_S
        # How long ago its first event may have come.
        self._reach_s = request.node.registry.versions.widen(
            request.service, self._lifetime_s + version_history.LATE_RESUME_S
        )
        # Where the stream began, once that is known.
        self._origin: stream_origins.Origin | None = None
        # The moment at which the present attempt's answer came.
        self._answered_at = 0
        self._is_checked = False
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
        key = self._key(call.resumed_id) if call.resumed_id else self._digest
        knowledge = await self._node.origin_keepers.ask(self._question(key))
        if knowledge.origin is not None:
            self._bind_to_origin(knowledge.origin)
            return
        versions = knowledge.versions
        if versions.is_settled:
            self._bind(
                known_starts.Producer(None, versions.only_one), 'only-version'
            )
        elif call.last_event_id is not None:
            raise self._unknown(f'{len(versions.found)} versions serve')

    def _key(self, request_id: str) -> bytes:
        return stream_origins.stream_key(
            self._request.customer_name, request_id
        )

    @property
    def _digest(self) -> bytes:
        """Return the key of a stream whose caller names no request.

        Only streams that may go on nowhere are kept by it, as others may
        ask for the same.
        """
        return stream_origins.stream_key(
            self._request.customer_name, f'\0{self._request.digest}'
        )

    def _bind_to_origin(self, origin: stream_origins.Origin) -> None:
        if origin.service != self._request.service:
            raise self._unknown('it began at another service')
        if origin.version == stream_origins.UNKNOWN_VERSION:
            raise self._unknown('nobody can tell where it may go on')
        registry = self._node.registry
        registry.starts.record_heard(origin.run, origin.service)
        version: str | None = origin.version
        if version == stream_origins.UNTOLD_VERSION:
            registry.record_served(origin.service, origin.run)
            version = registry.starts.version_of(origin.run)
        if version:
            origin = origin._replace(version=version)
        self._origin = origin
        self._bind(known_starts.Producer(origin.run, version), 'origin')

    def _bind(self, producer: known_starts.Producer, known_from: str) -> None:
        self._request.bind(producer)
        self._request.log(
            events.STREAM_BOUND,
            'a resumed stream is bound to a software version',
            version=self._node.registry.starts.version_by(producer),
            known_from=known_from,
            **(producer.run._asdict() if producer.run else {}),
        )

    def _unknown(self, reason: str) -> errors.RequestError:
        return errors.RequestError(
            503,
            'stream-version-unknown',
            f'the software version of the stream is not known: {reason}',
            self._request.verdict,
        )

    def acceptor(self, replica: replicas.Replica) -> transport.Accepts:
        """Return what tells which kept connections an attempt may use."""
        return functools.partial(self._node.process_starts.accepts, replica)

    def question(self, replica: replicas.Replica) -> transport.Question | None:
        """Return what to ask on a new connection before the request.

        What must not be repeated is not sent on one that may be closed by
        then, as one is that has carried an answer.
        """
        if not self._request.route.retryable:
            return None
        return self._node.process_starts.question(replica)

    def ask_producer(
        self, replica: replicas.Replica, response: httpx.Response
    ) -> None:
        """Begin to find out which start of a replica answers a request."""
        self._answered_at = moments.next_moment()
        self._is_checked = False
        self._node.process_starts.ask(
            replica, forward.connection_of(response), self._answered_at
        )

    async def check_producer(
        self,
        replica: replicas.Replica,
        response: httpx.Response,
        limit_s: float,
    ) -> None:
        """Bind a stream to the start that sends its first event.

        A stream that has events waits limit_s for its replica to tell that
        it may go on, and raises OtherStartError. Call it before the event
        goes to the caller.
        """
        if self._is_checked:
            return
        self._is_checked = True
        is_new = self._request.producer is None
        run = await self._node.process_starts.find(
            replica,
            forward.connection_of(response),
            self._answered_at,
            PRODUCER_LIMIT_S if is_new else limit_s,
        )
        self._request.record_newest_start(replica)
        if is_new:
            await self._begin(run)
        else:
            self._go_on(run)

    async def _begin(self, run: known_starts.Run | None) -> None:
        """Bind a new stream to a start, and record it.

        Raise OtherStartError if that is not known to be enough.
        """
        request = self._request
        origin = self._origin = self._origin_of(run)
        if run is None:
            request.bind(known_starts.NOBODY)
        else:
            self._node.registry.record_served(request.service, run)
            request.bind(known_starts.Producer(run))
        if origin.version == stream_origins.UNKNOWN_VERSION:
            self._record_unknown(origin)
        else:
            self._record(origin)
        try:
            await self._confirm(origin)
        except errors.OtherStartError:
            # The caller has no event, so any replica may send the first.
            request.bind(None)
            self._origin = None
            raise

    def _go_on(self, run: known_starts.Run | None) -> None:
        """Record that a start goes on with the stream.

        Raise OtherStartError unless it is known that it may.
        """
        producer, starts = self._request.producer, self._node.registry.starts
        if (
            run is None
            or producer is None
            or not starts.may_follow(run, producer)
        ):
            raise errors.OtherStartError(
                'not known to have the version of the stream',
                verdicts.Verdict.RAN,
            )
        self._record(self._origin or self._origin_of(run))

    async def _confirm(self, origin: stream_origins.Origin) -> None:
        """Have another VM know a stream whose version nobody has told.

        Raise OtherStartError if none does.
        """
        if origin.version not in stream_origins.WITHOUT_VERSION:
            return
        request_id = self._request.call.request_id
        key = self._key(request_id) if request_id else self._digest
        if not await self._node.origin_keepers.confirm(self._question(key)):
            raise errors.OtherStartError(
                'no other VM could be told of the stream', verdicts.Verdict.RAN
            )

    def _question(self, key: bytes) -> origin_messages.Question:
        return origin_messages.Question(
            key, self._request.service, self._reach_s
        )

    def spoil(self) -> None:
        """Let the stream go on nowhere: its caller lacks an event.

        Call it before the caller can tell that the part has ended.
        """
        self._record_unknown(self._origin_of(None))

    def _record_unknown(self, origin: stream_origins.Origin) -> None:
        """Keep a stream that may go on nowhere, under any name."""
        self._record(origin)
        self._node.origin_keepers.record(
            self._digest, origin, self._lifetime_s
        )

    def _origin_of(
        self, run: known_starts.Run | None
    ) -> stream_origins.Origin:
        version = None
        if run is not None:
            version = self._node.registry.starts.version_of(run)
            if version is None and self._request.call.request_id:
                version = stream_origins.UNTOLD_VERSION
        return stream_origins.Origin(
            self._request.service,
            version or stream_origins.UNKNOWN_VERSION,
            run.name if run else '',
            run.started_ms if run else 0,
            round(self._node.wall_clock() * 1000),
        )

    def _record(self, origin: stream_origins.Origin) -> None:
        call = self._request.call
        for request_id in {call.request_id, call.resumed_id}:
            if request_id:
                self._node.origin_keepers.record(
                    self._key(request_id), origin, self._lifetime_s
                )
