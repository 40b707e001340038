"""Test that logs say who closed the connection of a request, and why."""

import io
import socket
import struct

import h2.connection
import loguru
import pytest
import trio

from gentianstair.core import grace_period
from gentianstair.gateway import main
from gentianstair.generated import events
from gentianstair.ui import losses
from gentianstair.ui import stories
from gentianstair.util import connection_server
from gentianstair.util import connections
from gentianstair.util import log_lines
from gentianstair.util import logs
from gentianstair.util import stop_signals
from standins.site import site as sites
from test.gateway import gateways

WAIT_S = 5.0
GRACE_S = 0.5


class Disconnect:
    """Ways to end the connection of a request that runs at a replica."""

    def __init__(self, stream, client, servers, stop):
        self.stream = stream
        # The client's HTTP/2 connection state, None for HTTP/1.1.
        self.client = client
        self.servers = servers
        self.stop = stop

    async def reset(self):
        off = struct.pack('ii', 1, 0)
        self.stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, off)
        await self.stream.aclose()

    async def half_close(self):
        await self.stream.send_eof()

    async def reset_stream(self):
        self.client.reset_stream(1)
        await self.stream.send_all(self.client.data_to_send())

    async def close_here(self):
        (server,) = (s for s in self.servers if s.connection.request_id)
        server.connection.note_end(connections.EndReason.KEEP_ALIVE_EXPIRED)
        await server.stream.aclose()

    async def outlast_grace_period(self):
        self.stop.set()


@pytest.fixture
def log_lines_written():
    """Collect log lines as the process would write them."""
    lines = []

    def collect(message):
        lines.append(logs.to_line(message.record))

    sink = loguru.logger.add(collect, level='INFO')
    yield lines
    loguru.logger.remove(sink)


@pytest.fixture
def servers(monkeypatch):
    """Collect the server of each connection."""
    servers_made = []
    original_init = connection_server.ConnectionServer.__init__

    def make(self, *args):
        original_init(self, *args)
        servers_made.append(self)

    monkeypatch.setattr(connection_server.ConnectionServer, '__init__', make)
    return servers_made


def request(gateway):
    headers = gateway.headers('r1')
    lines = [f'{name}: {value}' for name, value in headers.items()]
    lines = ['POST /register/x HTTP/1.1', *lines, 'content-length: 0']
    return '\r\n'.join([*lines, '', '']).encode()


def request_stream(client, gateway):
    headers = gateway.headers('r1')
    head = {':method': 'POST', ':path': '/register/x', ':scheme': 'http'}
    head[':authority'] = headers['host']
    client.initiate_connection()
    client.send_headers(1, {**head, **headers}.items(), end_stream=True)
    return client.data_to_send()


async def wait_for_line(log_lines_written, event):
    """Wait for the log line of an event of the request."""
    with trio.fail_after(WAIT_S):
        while True:
            for line in parse_lines(log_lines_written):
                if (line.get('event'), line.get('request_id')) == (
                    event,
                    'r1',
                ):
                    return line
            await trio.sleep(0.01)


def parse_lines(log_lines_written):
    return list(
        log_lines.Reader([io.BytesIO(''.join(log_lines_written).encode())])
    )


@pytest.mark.parametrize(
    ('disconnect', 'event', 'end', 'status', 'cause'),
    [
        (
            Disconnect.reset,
            events.CALLER_GONE,
            'caller-reset',
            499,
            losses.Cause.CALLER_GONE,
        ),
        (
            Disconnect.half_close,
            events.CALLER_GONE,
            'caller-ended',
            499,
            losses.Cause.CALLER_GONE,
        ),
        (
            Disconnect.reset_stream,
            events.CALLER_GONE,
            'stream-reset',
            499,
            losses.Cause.CALLER_GONE,
        ),
        (
            Disconnect.close_here,
            events.CLOSED_HERE,
            'keep-alive-over',
            444,
            losses.Cause.CLOSED_HERE,
        ),
        (
            Disconnect.outlast_grace_period,
            None,
            'grace-over',
            444,
            losses.Cause.CLOSED_HERE,
        ),
    ],
)
async def test_log_names_the_side_that_closed(
    disconnect,
    event,
    end,
    status,
    cause,
    tmp_path,
    monkeypatch,
    log_lines_written,
    servers,
):
    # Guards against a close by this process that is logged as a disconnect of
    # the caller.
    stop = trio.Event()
    monkeypatch.setattr(stop_signals, 'watch_stop_signals', lambda: stop)
    monkeypatch.setattr(main, 'BALANCER_DRAIN_S', 0.0)
    # Keep the request running past the grace period instead of ending it with
    # a response.
    monkeypatch.setattr(grace_period.GracePeriod, 'expire_in', lambda *_: None)
    async with sites.running() as site:
        desks = [r for r in site.replicas if r.service == 'desk']
        for desk in desks:
            desk.faults.silent = True
        async with gateways.running(site, tmp_path, grace_s=GRACE_S) as (
            gateway,
        ):
            stream = await trio.open_tcp_stream(
                '127.0.0.1', gateway.values['front']
            )
            client = None
            data = request(gateway)
            if disconnect is Disconnect.reset_stream:
                client = h2.connection.H2Connection()
                data = request_stream(client, gateway)
            await stream.send_all(data)
            with trio.fail_after(WAIT_S):
                while not sum(len(desk.runs) for desk in desks):
                    await trio.sleep(0.01)
            await disconnect(Disconnect(stream, client, servers, stop))
            answer = await wait_for_line(log_lines_written, events.ANSWER)
            if client is None:
                await wait_for_line(log_lines_written, events.CONNECTION_CUT)
            await stream.aclose()
    assert answer['status'] == status
    # A replica received the request, so it may have run.
    if event is not None:
        assert answer['verdict'] == 'MAY_HAVE_RUN'
    lines = parse_lines(log_lines_written)
    logged_ends = [
        (line['event'], line['end'], line['closed_by'])
        for line in lines
        if line.get('event') in (events.CALLER_GONE, events.CLOSED_HERE)
    ]
    side = connections.EndReason(end).closed_by.value
    assert logged_ends == ([(event, end, side)] if event else [])
    cut_lines = [
        (line['end'], line['closed_by'], line['requests'])
        for line in lines
        if line.get('event') == events.CONNECTION_CUT
        # Connections of the stand-ins have no request id.
        and line['request_id'] == 'r1'
    ]
    # An HTTP/2 connection stays open when one stream is reset.
    assert cut_lines == ([(end, side, 1)] if client is None else [])
    judge = losses.Judge()
    lost = [
        found
        for line in parse_lines(log_lines_written)
        if (found := judge.take(line))
    ]
    assert [one.cause for one in lost] == [cause]
    story_events = [row.event for row in stories.of_request(lines, 'r1')]
    assert (events.CONNECTION_CUT in story_events) == bool(cut_lines)
