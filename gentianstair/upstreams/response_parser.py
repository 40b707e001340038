"""Parse one response of an upstream, and bound what is no response."""

import collections.abc

import httptools

from gentianstair import errors
from gentianstair import verdict as verdicts
from gentianstair.upstreams import foreign_responses

# Most bytes of one read.
READ_BYTES = 65536
# Lower status codes (1xx) are interim responses.
MIN_FINAL_STATUS = 200
# Responses that have no body, regardless of their headers.
BODYLESS_STATUSES = (204, 304)
# Upstreams echo the request's id in this header.
REQUEST_ID_HEADER = b'x-request-id'
MAX_HEADER_BYTES = 65536
# Bytes in a row that bring neither a part of a body nor the end of anything:
# of a status line, a header, a chunk's size, a trailer.
MAX_IDLE_BYTES = 65536
# Bytes of responses that are skipped before the one that is waited for.
MAX_SKIPPED_BYTES = 8 * 1024 * 1024
# All that httptools raises for what it reads. An upgrade (101) is no
# HttpParserError of it; nobody here asks for one.
_PARSER_ERRORS = (httptools.HttpParserError, httptools.HttpParserUpgrade)

RecordForeign = collections.abc.Callable[
    [foreign_responses.ForeignResponse], None
]


def may_have_run(message: str) -> errors.UpstreamError:
    """Return the error of a request that may have run."""
    return errors.UpstreamError(message, verdicts.Verdict.MAY_HAVE_RUN)


class ResponseParser:
    """Parses one response; the on_ methods are called by httptools.

    Interim responses (1xx) before it are dropped. So is each response that
    doesn't bear the id of a request that has one: more bytes, or a second
    response, may follow that to an earlier request on this connection. If
    more bytes follow the response, the connection is not used again.
    """

    def __init__(
        self,
        answer_id: bytes | None = None,
        record_foreign: RecordForeign | None = None,
    ) -> None:
        self.httptools_parser = httptools.HttpResponseParser(self)
        self.status = 0
        self.headers: list[tuple[bytes, bytes]] = []
        self.body_parts: list[bytes] = []
        self._request_id = answer_id
        # Called with each response that doesn't bear the id.
        self._record_foreign = record_foreign
        self._header_bytes = 0
        # Bytes since something was complete, and before the final headers.
        self._idle_bytes = 0
        self._skipped_bytes = 0
        self._is_for_other_request = False
        # Whether the headers of the response that comes now are complete.
        self._is_past_headers = False
        self.done = False
        # A body without a length ends when the connection closes.
        self.body_ends_at_close = False
        # Read when the response ends; later the parser no longer has it.
        self.keep_alive = False

    def feed(self, data: bytes) -> None:
        """Parse what came.

        Raise InvalidResponseError for bytes that are no response, and if
        they go on without becoming one, as the parser keeps what is not
        complete. Such bytes after a whole response do not make it invalid.
        """
        had_headers = self.headers_done
        self._idle_bytes += len(data)
        self._parse(data)
        if self.done:
            return
        if not had_headers:
            self._skipped_bytes += len(data)
        if self._idle_bytes > MAX_IDLE_BYTES + READ_BYTES:
            raise errors.InvalidResponseError('bytes that are no response')
        if self._skipped_bytes > MAX_SKIPPED_BYTES:
            raise errors.InvalidResponseError('too much before the response')

    def _parse(self, data: bytes) -> None:
        try:
            self.httptools_parser.feed_data(data)
        except _PARSER_ERRORS as error:
            self.keep_alive = False
            if not self.done:
                raise errors.InvalidResponseError(
                    f'{type(error).__name__} while reading'
                ) from error

    @property
    def headers_done(self) -> bool:
        """Return whether the final response's headers are complete."""
        return (
            self.status >= MIN_FINAL_STATUS and not self._is_for_other_request
        )

    def on_message_begin(self) -> None:
        if self.done:
            # Bytes after the response could be read as the response to the
            # next request.
            self.keep_alive = False

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.done:
            return
        self._header_bytes += len(name) + len(value)
        if self._header_bytes > MAX_HEADER_BYTES:
            # httptools turns this into an HttpParserError.
            raise ValueError(
                f'response headers exceed {MAX_HEADER_BYTES} bytes'
            )
        if not self._is_past_headers:
            # Not a trailer, which comes too late to decide anything.
            self.headers.append((name, value))

    def header(self, wanted_name: bytes) -> bytes | None:
        """Return a header's value, or None; the name is in lower case."""
        for name, value in self.headers:
            if name.lower() == wanted_name:
                return value
        return None

    def on_headers_complete(self) -> None:
        self._idle_bytes = 0
        if self.done:
            return
        self._is_past_headers = True
        self.status = self.httptools_parser.get_status_code()
        self._is_for_other_request = self._is_foreign()
        self.body_ends_at_close = (
            self.status not in BODYLESS_STATUSES
            and self.header(b'content-length') is None
            and self.header(b'transfer-encoding') is None
        )

    def _is_foreign(self) -> bool:
        """Return whether this is another response than the one awaited."""
        if self._request_id is None or self.status < MIN_FINAL_STATUS:
            return False
        ids = tuple(
            value.strip()
            for name, value in self.headers
            if name.lower() == REQUEST_ID_HEADER
        )
        owner = foreign_responses.owner_of(ids, self._request_id)
        if owner is foreign_responses.Owner.OURS:
            return False
        if self._record_foreign is not None:
            self._record_foreign(
                foreign_responses.ForeignResponse(owner, self.status, ids)
            )
        return True

    def on_body(self, body: bytes) -> None:
        self._idle_bytes = 0
        if self.headers_done and not self.done:
            self.body_parts.append(body)

    def on_message_complete(self) -> None:
        self._idle_bytes = 0
        if self.done:
            return
        if self.headers_done:
            self.done = True
            self.keep_alive = self.httptools_parser.should_keep_alive()
            return
        self.headers.clear()
        self.status = 0
        self._is_for_other_request = False
        self._is_past_headers = False

    def on_close(self) -> bool:
        """Handle the connection's end; return whether the body is whole."""
        if self.headers_done and self.body_ends_at_close:
            self.done = True
        return self.done


__all__ = ['READ_BYTES', 'ResponseParser', 'may_have_run']
