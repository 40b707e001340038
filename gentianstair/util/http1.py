"""Read HTTP/1.1 as the library does, but for what follows the last request."""

import h11


class ServerConnection(h11.Connection):
    """A connection that passes over bytes behind its last request.

    RFC 9112, section 9.6: nothing that follows a request with "Connection:
    close" is processed. The library answers it with 400 and closes, in
    place of the answer that is under way.
    """

    def receive_data(self, data: bytes) -> None:
        """Take bytes, or b'' for the caller's end."""
        if data and self.their_state is h11.MUST_CLOSE:
            return
        super().receive_data(data)

    def next_event(self) -> h11.Event | type[h11.NEED_DATA | h11.PAUSED]:
        """Return what comes next; raise RemoteProtocolError at no HTTP."""
        if self.their_state is h11.MUST_CLOSE and self.trailing_data[0]:
            return h11.NEED_DATA
        return super().next_event()
