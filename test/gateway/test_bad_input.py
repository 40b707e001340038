"""Test responses to malformed and malicious requests."""

import pytest
import trio

from standins.site import site as sites
from test.gateway import gateways

HEAD = (
    b'POST /register/bowl HTTP/1.1\r\n'
    b'host: judging.example\r\n'
    b'x-request-id: b1\r\n'
    b'x-request-deadline-ms: 1500\r\n'
    b'authorization: Bearer club-key-1\r\n'
)
LOOKUP = (
    b'GET /lookup/entry HTTP/1.1\r\n'
    b'host: judging.example\r\n'
    b'x-request-id: b2\r\n'
    b'x-request-deadline-ms: 1500\r\n'
    b'authorization: Bearer club-key-1\r\n\r\n'
)
# The body limit of the sample configuration.
MAX_BODY_BYTES = 100_000


async def exchange(gateway, *parts, pause_s=0.0, limit_s=4.0):
    """Send raw bytes; return all bytes that come back."""
    stream = await trio.open_tcp_stream('127.0.0.1', gateway.values['front'])
    response = b''
    async with stream:
        for part in parts:
            try:
                await stream.send_all(part)
            except trio.BrokenResourceError:
                break
            await trio.sleep(pause_s)
        with trio.move_on_after(limit_s):
            while data := await stream.receive_some(65536):
                response += data
                if response.endswith(b'done by i-desk-1') or response.endswith(
                    b'done by i-desk-2'
                ):
                    break
    return response


def desk_request_ids(site):
    desks = [r for r in site.replicas if r.service == 'desk']
    return [run.request_id for desk in desks for run in desk.runs]


@pytest.mark.parametrize(
    ('parts', 'status'),
    [
        # A body above the limit, with and without its length announced.
        ([HEAD + b'content-length: 100001\r\n\r\n'], b'413'),
        (
            [
                HEAD + b'transfer-encoding: chunked\r\n\r\n',
                b'19000\r\n' + b'x' * 0x19000 + b'\r\n',
            ],
            b'413',
        ),
        # A header list that is too long.
        ([HEAD + b'x-long: ' + b'y' * 70_000 + b'\r\n\r\n'], b'4'),
        # A duplicate header, of which two parsers may pick different values.
        (
            [HEAD + b'x-request-id: b3\r\ncontent-length: 0\r\n\r\n'],
            b'400',
        ),
        ([b'GARBAGE\r\n\r\n'], b'400'),
    ],
    ids=[
        'announced-body-too-long',
        'chunked-body-too-long',
        'headers-too-long',
        'duplicate-request-id',
        'no-http',
    ],
)
async def test_malformed_request_is_refused_and_not_run(
    tmp_path, parts, status
):
    async with sites.running() as site:
        async with gateways.running(site, tmp_path) as (gateway,):
            response = await exchange(gateway, *parts, limit_s=2.0)
            assert response.startswith(b'HTTP/1.1 ' + status), response[:200]
            assert desk_request_ids(site) == []
            # The process still serves others.
            answer = await gateway.call('GET', '/lookup/entry')
            assert answer.status_code == 200


async def test_request_inside_a_body_is_not_run(tmp_path):
    """Guard against request smuggling by a body that looks like a request."""
    async with sites.running() as site:
        async with gateways.running(site, tmp_path) as (gateway,):
            length = b'content-length: %d\r\n\r\n' % len(LOOKUP)
            await exchange(gateway, HEAD + length + LOOKUP, limit_s=1.0)
        assert desk_request_ids(site) == ['b1']


async def test_request_behind_conflicting_lengths_is_not_run(tmp_path):
    """Guard against request smuggling by two conflicting body lengths."""
    async with sites.running() as site:
        async with gateways.running(site, tmp_path) as (gateway,):
            both = b'content-length: 6\r\ntransfer-encoding: chunked\r\n\r\n'
            await exchange(
                gateway, HEAD + both + b'0\r\n\r\n' + LOOKUP, limit_s=1.0
            )
        assert 'b2' not in desk_request_ids(site)


async def test_unfinished_body_times_out_with_408(tmp_path):
    """Guard against a caller with an unfinished body that waits for long."""
    async with sites.running() as site:
        async with gateways.running(site, tmp_path) as (gateway,):
            started_s = trio.current_time()
            response = await exchange(
                gateway, HEAD + b'content-length: 500\r\n\r\nhalf'
            )
            assert response.startswith(b'HTTP/1.1 408')
            assert trio.current_time() - started_s < 2.5
        assert desk_request_ids(site) == []


async def test_refusal_leaves_no_unread_body_on_the_connection(tmp_path):
    """Guard against an unread body after an early refusal.

    The next request on the connection would be taken for the rest of it.
    """
    async with sites.running() as site:
        async with gateways.running(site, tmp_path) as (gateway,):
            refused = HEAD.replace(b'club-key-1', b'no-such-key')
            response = await exchange(
                gateway,
                refused + b'content-length: 50000\r\n\r\n' + b'x' * 50_000,
                LOOKUP,
                pause_s=0.2,
            )
        assert response.startswith(b'HTTP/1.1 401')
        assert b'done by i-desk' in response
