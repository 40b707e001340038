"""Test message decoding, and links on real sockets."""

import ast
import errno
import pathlib

import cbor2
import hypothesis
from hypothesis import strategies
import pytest
import trio

from gentianstair import errors
from gentianstair import settings as settings_module
from gentianstair.generated import messages
from gentianstair.generated import settings as generated
from gentianstair.peers import link
from test.util import test_tls

BEAT = {'type': 'beat', 'sent_ms': 1, 'revision': 2, 'digest': 3}


def nested(depth):
    value = {}
    for _ in range(depth):
        value = {'a': value}
    return value


def make_settings(**flags):
    defaults = {
        'vm_name': 'v',
        'failure_domain': 'a',
        'platform_url': 'http://127.0.0.1:1',
        'peer_listen': '127.0.0.1:0',
    }
    values = settings_module.collect(generated.ENTRY, defaults | flags, {})
    return generated.EntrySettings(**values)


def test_unknown_field_is_ignored_and_unknown_type_is_dropped():
    """Two versions that run together in a rollout break each other."""
    newer = link.encode({**BEAT, 'mood': 'good'})
    assert link.decode(newer) == {'version': 1, **BEAT}
    assert link.decode(link.encode({**BEAT, 'type': 'song'})) is None


@pytest.mark.parametrize(
    'data',
    [
        b'',
        b'\xff\x00',
        cbor2.dumps([1, 2]),
        cbor2.dumps({'type': 7}),
        cbor2.dumps({'version': 1, **BEAT, 'revision': 'x'}),
        cbor2.dumps({'version': 1, 'type': 'beat'}),
        cbor2.dumps({'version': 1, **BEAT, 'more': nested(50)}),
        b'\x9f' * 1000,
        b'x' * (link.MAX_MESSAGE_BYTES + 1),
    ],
    ids=[
        'empty',
        'not CBOR',
        'not a map',
        'type not a text',
        'field of a wrong type',
        'missing fields',
        'nested too deeply',
        'indefinite length',
        'too large',
    ],
)
def test_invalid_messages_are_refused(data):
    with pytest.raises(errors.DecodeError):
        link.decode(data)


@pytest.mark.parametrize(
    'flags, allowed',
    [
        ({}, True),
        ({'peer_listen': '0.0.0.0:0'}, False),
        ({'peer_listen': '0.0.0.0:0', 'insecure_plain': 'true'}, True),
        ({'peer_tls_cert_file': '/nonexistent'}, False),
    ],
    ids=['loopback', 'plain', 'insecure_plain', 'missing TLS file'],
)
def test_plain_links_need_loopback_or_insecure_plain(flags, allowed):
    if allowed:
        link.make_network(make_settings(**flags))
        return
    with pytest.raises(errors.SettingsError):
        link.make_network(make_settings(**flags))


async def exchange(server, client):
    """Send one message to the server's echo and return what comes back."""

    async def echo(channel):
        with pytest.raises(link.LinkClosedError):
            while True:
                await channel.send(await channel.receive())

    with trio.fail_after(5.0):
        async with trio.open_nursery() as nursery:
            address = await nursery.start(server.serve, echo)
            async with client.open(address) as channel:
                await channel.send(b'hello')
                answer = await channel.receive()
            nursery.cancel_scope.cancel()
    return answer


async def test_websocket_delivers_and_refused_connection_closes_link():
    network = link.make_network(make_settings())
    assert await exchange(network, network) == b'hello'
    with pytest.raises(link.LinkClosedError):
        async with network.open('127.0.0.1:1'):
            pass


def make_tls_network(folder, authority, name):
    folder = folder / name
    folder.mkdir()
    files = authority.issue(folder, name)
    return link.make_network(
        make_settings(
            peer_tls_cert_file=files.cert,
            peer_tls_key_file=files.key,
            peer_tls_ca_file=files.ca,
        )
    )


async def test_certificate_of_another_authority_is_refused(tmp_path):
    """A process with another authority's certificate joins the fleet."""
    ours = test_tls.Authority(tmp_path, 'ours')
    others = test_tls.Authority(tmp_path, 'others')
    server = make_tls_network(tmp_path, ours, 'server')
    client = make_tls_network(tmp_path, ours, 'client')
    stranger = make_tls_network(tmp_path, others, 'stranger')
    assert await exchange(server, client) == b'hello'
    with pytest.RaisesGroup(link.LinkClosedError):
        await exchange(server, stranger)


def leaves():
    return (
        strategies.none()
        | strategies.booleans()
        | strategies.integers(-(2**70), 2**70)
        | strategies.floats()
        | strategies.text()
        | strategies.binary()
        | strategies.builds(
            cbor2.CBORTag, strategies.integers(0, 300), strategies.text()
        )
    )


def values():
    return strategies.recursive(
        leaves(),
        lambda inner: (
            strategies.lists(inner, max_size=4)
            | strategies.dictionaries(strategies.text(), inner, max_size=4)
        ),
        max_leaves=12,
    )


def try_decode(data):
    try:
        link.decode(data)
    except errors.DecodeError:
        pass


@hypothesis.settings(derandomize=True, max_examples=400, deadline=None)
@hypothesis.given(strategies.binary(max_size=200))
def test_any_bytes_decode_or_are_refused(data):
    try_decode(data)


@hypothesis.settings(derandomize=True, max_examples=400, deadline=None)
@hypothesis.given(
    strategies.sampled_from(sorted(link.MESSAGE_TYPES)),
    strategies.dictionaries(
        strategies.sampled_from(
            ['member', 'members', 'states', 'objects', 'buckets', 'body']
        ),
        values(),
    ),
    strategies.integers(0, 60),
    strategies.integers(0, 255),
)
def test_any_message_decodes_or_is_refused(name, fields, offset, byte):
    data = bytearray(cbor2.dumps({'version': 1, 'type': name, **fields}))
    try_decode(bytes(data))
    data[offset % len(data)] = byte
    try_decode(bytes(data))


@pytest.mark.parametrize(
    'address', ['', 'nowhere', 'a:b', '127.0.0.1:99999999', '::::', 'x y:1']
)
async def test_malformed_address_raises_link_closed(address):
    network = link.make_network(make_settings())
    with pytest.raises(link.LinkClosedError):
        with trio.fail_after(10.0):
            async with network.open(address):
                pass


async def test_socket_closed_on_connect_raises_link_closed(monkeypatch):
    """A peer killed right after it accepted a link ends this process.

    The socket is gone when its delivery timeout is set.
    """

    def raise_bad_descriptor(*_):
        raise OSError(errno.EBADF, 'Bad file descriptor')

    network = link.WebsocketNetwork('127.0.0.1:0', None)

    async def handler(channel):
        await trio.sleep_forever()

    async with trio.open_nursery() as nursery:
        address = await nursery.start(network.serve, handler)
        monkeypatch.setattr(
            trio.SocketStream, 'setsockopt', raise_bad_descriptor
        )
        with pytest.raises(
            errors.GentianstairError, match='connection closed before use'
        ):
            async with network.open(address):
                pass
        nursery.cancel_scope.cancel()


SOURCES = pathlib.Path(link.__file__).parents[1]
# Types in objects and messages that do not go over links between peers.
OTHER_TYPES = {
    'http.response.start',
    'http.response.body',
    'websocket.close',
}


def sent_types():
    """Return the types in all messages that this package makes."""
    found = set()
    for path in SOURCES.rglob('*.py'):
        if 'bench' in path.parts or 'generated' in path.parts:
            continue
        for node in ast.walk(ast.parse(path.read_text())):
            if not isinstance(node, ast.Dict):
                continue
            for key, value in zip(node.keys, node.values, strict=True):
                if isinstance(key, ast.Constant) and key.value == 'type':
                    if isinstance(value, ast.Constant):
                        found.add(value.value)
    return found


def test_each_type_that_is_sent_is_read_at_the_other_end():
    # Guards against messages that each VM drops as of a newer release.
    assert sent_types() - OTHER_TYPES == set(link.MESSAGE_TYPES)


def test_each_message_between_peers_in_the_schema_is_read():
    # Guards against a message whose schema exists and that nobody reads.
    known = {
        found
        for found in vars(messages).values()
        if isinstance(found, type)
        and {'version', 'type'} <= getattr(found, '__annotations__', {}).keys()
    }
    assert known == set(link.MESSAGE_TYPES.values())
