"""Test TLS contexts, mutual authentication and renewal of certificates."""

import datetime
import ipaddress
import pathlib
import ssl

from cryptography import x509
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.hazmat.primitives.asymmetric import rsa
from cryptography.x509 import oid
import pytest
import trio
import trio.testing

from gentianstair import errors
from gentianstair.util import serving
from gentianstair.util import tls

PEM = serialization.Encoding.PEM


def _builder(name, issuer, key):
    now = datetime.datetime.now(datetime.UTC)
    day = datetime.timedelta(days=1)
    builder = x509.CertificateBuilder().subject_name(name).issuer_name(issuer)
    builder = builder.public_key(key.public_key())
    builder = builder.serial_number(x509.random_serial_number())
    return builder.not_valid_before(now - day).not_valid_after(now + day)


def _name(text):
    return x509.Name([x509.NameAttribute(oid.NameOID.COMMON_NAME, text)])


class Authority:
    """A private authority that signs certificates for one test."""

    def __init__(self, folder, name='ca'):
        self.key = ec.generate_private_key(ec.SECP256R1())
        self.name = _name(name)
        basic = x509.BasicConstraints(ca=True, path_length=0)
        builder = _builder(self.name, self.name, self.key)
        builder = builder.add_extension(basic, critical=True)
        self.path = folder / f'{name}.pem'
        signed = builder.sign(self.key, hashes.SHA256())
        self.path.write_bytes(signed.public_bytes(PEM))

    def issue(self, folder, name, key=None):
        """Write a certificate and its key; return their paths."""
        key = key or ec.generate_private_key(ec.SECP256R1())
        address = x509.IPAddress(ipaddress.ip_address('127.0.0.1'))
        names = x509.SubjectAlternativeName([address])
        builder = _builder(_name(name), self.name, key)
        signed = builder.add_extension(names, critical=False).sign(
            self.key, hashes.SHA256()
        )
        cert, private = folder / 'cert.pem', folder / 'key.pem'
        cert.write_bytes(signed.public_bytes(PEM))
        text = key.private_bytes(
            PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
        private.write_bytes(text)
        return tls.CertificateFiles(str(cert), str(private), str(self.path))


@pytest.fixture
def authority(tmp_path):
    return Authority(tmp_path)


def _folder(tmp_path, name):
    folder = tmp_path / name
    folder.mkdir()
    return folder


async def _shake_hands(server, client):
    """Do a handshake; return the peer's name as seen by each side."""
    near, far = trio.testing.memory_stream_pair()
    one = trio.SSLStream(near, client, server_hostname='127.0.0.1')
    two = trio.SSLStream(far, server, server_side=True)
    seen = {}

    async def hello(stream, who):
        await stream.do_handshake()
        await stream.send_all(b'x')
        assert await stream.receive_some(1) == b'x'
        found = stream.getpeercert()
        seen[who] = found['subject'][0][0][1] if found else None

    with trio.fail_after(5):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(hello, one, 'client')
            nursery.start_soon(hello, two, 'server')
    return seen


async def _is_refused(server, client):
    refused = False
    try:
        await _shake_hands(server, client)
    except* trio.BrokenResourceError:
        refused = True
    return refused


async def test_peers_with_the_same_authority_can_connect(tmp_path, authority):
    files = [
        authority.issue(_folder(tmp_path, name), name)
        for name in ('vm-1', 'vm-2')
    ]
    first, second = (tls.make_peer_credentials(item) for item in files)
    seen = await _shake_hands(first.server, second.client)
    assert seen == {'client': 'vm-1', 'server': 'vm-2'}


async def test_peers_of_another_authority_are_refused(tmp_path, authority):
    """Guards against peer connections with processes outside the fleet.

    They have a certificate of another authority, or none.
    """
    own = tls.make_peer_credentials(
        authority.issue(_folder(tmp_path, 'a'), 'vm-1')
    )
    other = Authority(tmp_path, 'other')
    foreign = tls.make_peer_credentials(
        other.issue(_folder(tmp_path, 'b'), 'vm-x')
    )
    without_certificate = ssl.create_default_context(
        cafile=str(authority.path)
    )
    for server, client in [
        (own.server, foreign.client),
        (foreign.server, own.client),
        (own.server, without_certificate),
    ]:
        assert await _is_refused(server, client)


@pytest.mark.parametrize('new_key', ['same type', 'other type'])
async def test_new_connections_use_the_changed_certificate(
    tmp_path, authority, new_key
):
    """Guards against using an expired certificate that was replaced.

    The new key may be of another type than the old one.
    """
    folder = _folder(tmp_path, 'a')
    files = authority.issue(folder, 'old')
    credentials = tls.make_peer_credentials(files)
    assert not credentials.reload_if_changed()
    key = None
    if new_key == 'other type':
        key = rsa.generate_private_key(65537, 2048)
    authority.issue(folder, 'new', key)
    assert credentials.reload_if_changed()
    assert not credentials.reload_if_changed()
    seen = await _shake_hands(credentials.server, credentials.client)
    assert seen == {'client': 'new', 'server': 'new'}


async def test_removed_authority_is_no_longer_trusted(tmp_path, authority):
    """Guards against certificates of an authority that was replaced.

    Loading an authority into an existing context only adds it.
    """
    files = authority.issue(_folder(tmp_path, 'a'), 'vm-1')
    credentials = tls.make_peer_credentials(files)
    old = tls.make_peer_credentials(
        authority.issue(_folder(tmp_path, 'b'), 'vm-old')
    )
    await _shake_hands(credentials.server, old.client)
    Authority(tmp_path).issue(tmp_path / 'a', 'vm-1')
    assert credentials.reload_if_changed()
    # The old peer trusts the new authority, so only the server can refuse.
    old.client.load_verify_locations(str(authority.path))
    assert await _is_refused(credentials.server, old.client)
    assert len(await _shake_hands(credentials.server, credentials.client)) == 2


@pytest.mark.parametrize('damage', ['garbage', 'other key', 'gone'])
async def test_incomplete_replacement_keeps_the_old_certificate(
    tmp_path, authority, damage
):
    """Guards against failing connections between two file writes.

    A reload that sees only one new file must be retried later.
    """
    folder = _folder(tmp_path, 'a')
    files = authority.issue(folder, 'old')
    credentials = tls.make_peer_credentials(files)
    spare = authority.issue(_folder(tmp_path, 'b'), 'new')
    key = pathlib.Path(files.key)
    if damage == 'gone':
        key.unlink()
    else:
        cert = pathlib.Path(spare.cert).read_bytes()
        pathlib.Path(files.cert).write_bytes(cert)
        if damage == 'garbage':
            key.write_text('half')
    assert not credentials.reload_if_changed()
    seen = await _shake_hands(credentials.server, credentials.client)
    assert seen == {'client': 'old', 'server': 'old'}
    authority.issue(folder, 'new')
    assert credentials.reload_if_changed()
    seen = await _shake_hands(credentials.server, credentials.client)
    assert seen == {'client': 'new', 'server': 'new'}


async def test_callers_are_served_with_the_reloaded_certificate(
    tmp_path, authority
):
    async def app(scope, receive, send):
        # ASGI allows an application to raise on scopes it does not support.
        assert scope['type'] == 'http'
        head = {'type': 'http.response.start', 'status': 200, 'headers': []}
        await send(head)
        await send({'type': 'http.response.body', 'body': b'hello'})

    folder = _folder(tmp_path, 'a')
    files = authority.issue(folder, 'old')
    credentials = tls.make_caller_credentials(
        files.cert, files.key, '10.0.0.1:443', False
    )
    trust = ssl.create_default_context(cafile=files.ca)
    sock = serving.listen('127.0.0.1:0')
    port = sock.getsockname()[1]

    async def ask():
        stream = await trio.open_ssl_over_tcp_stream(
            '127.0.0.1', port, ssl_context=trust, https_compatible=True
        )
        async with stream:
            await stream.do_handshake()
            name = stream.getpeercert()['subject'][0][0][1]
            await stream.send_all(
                b'GET / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n'
            )
            answer = b''
            while part := await stream.receive_some(1000):
                answer += part
            assert answer.endswith(b'hello\r\n0\r\n\r\n')
            return name

    with trio.fail_after(5):
        async with trio.open_nursery() as nursery:
            stop = (trio.sleep_forever, 0.1, credentials.server)
            nursery.start_soon(serving.serve, app, sock, *stop)
            assert await ask() == 'old'
            authority.issue(folder, 'new')
            assert credentials.reload_if_changed()
            assert await ask() == 'new'
            nursery.cancel_scope.cancel()


@pytest.mark.parametrize(
    ('files', 'message'),
    [
        (tls.CertificateFiles('c', ''), 'together'),
        (tls.CertificateFiles('c', 'k'), '--peer-tls-ca-file'),
        (tls.CertificateFiles('/nowhere/c', '/nowhere/k', 'a'), '/nowhere/c'),
    ],
)
def test_unusable_files_raise_settings_error(files, message):
    with pytest.raises(errors.SettingsError, match=message):
        tls.make_peer_credentials(files)
    assert tls.make_peer_credentials(tls.CertificateFiles('', '')) is None


@pytest.mark.parametrize(
    ('address', 'allowed', 'accepted'),
    [
        ('127.0.0.1:80', False, True),
        ('127.9.9.9:80', False, True),
        ('[::1]:80', False, True),
        ('localhost:80', False, True),
        ('10.0.0.1:80', False, False),
        ('0.0.0.0:80', False, False),
        ('localhost.example:80', False, False),
        ('10.0.0.1:80', True, True),
    ],
)
def test_only_loopback_may_be_served_without_tls(address, allowed, accepted):
    if accepted:
        tls.check_plaintext_allowed(address, allowed, '--listen')
        return
    with pytest.raises(errors.SettingsError, match='--insecure-plain'):
        tls.check_plaintext_allowed(address, allowed, '--listen')
