"""Parse HTTP/1.1, ignoring data after the last request."""

import h11


class ServerConnection(h11.Connection):
    """An h11 connection that ignores data after its last request.

    RFC 9112, section 9.6: data after a request with "Connection: close"
    must not be processed. Hypercorn would respond to it with 400 and close,
    in place of the response that is in flight.
    """

    def receive_data(self, data: bytes) -> None:
        """Receive data, or b'' at the end of the stream."""
        if data and self.their_state is h11.MUST_CLOSE:
            return
        super().receive_data(data)

    def next_event(self) -> h11.Event | type[h11.NEED_DATA | h11.PAUSED]:
        """Return the next event; raise RemoteProtocolError if invalid."""
        if self.their_state is h11.MUST_CLOSE and self.trailing_data[0]:
            return h11.NEED_DATA
        return super().next_event()
