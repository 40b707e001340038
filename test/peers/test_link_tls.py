"""Test links on real sockets with certificates."""

import pytest

from gentianstair.peers import link
from test.peers import test_link
from test.util import test_tls


def _network(authority, folder):
    folder.mkdir()
    files = authority.issue(folder, folder.name)
    given = {
        'peer_tls_cert_file': files.cert,
        'peer_tls_key_file': files.key,
        'peer_tls_ca_file': files.ca,
    }
    return link.make_network(test_link.make_settings(**given))


async def test_peers_without_the_fleets_authority_are_refused(tmp_path):
    """A process outside the fleet sends a VM its own configuration.

    Without a certificate of the fleet's authority, it must be refused both
    as a server and as a client.
    """
    authority = test_tls.Authority(tmp_path)
    ours = _network(authority, tmp_path / 'vm-1')
    second = _network(authority, tmp_path / 'vm-2')
    assert await test_link.exchange(ours, second) == b'hello'
    strangers = test_tls.Authority(tmp_path, 'other')
    stranger = _network(strangers, tmp_path / 'vm-x')
    plain = link.make_network(test_link.make_settings())
    for server, client in [
        (ours, stranger),
        (stranger, ours),
        (ours, plain),
        (plain, ours),
    ]:
        with pytest.RaisesGroup(link.LinkClosedError):
            await test_link.exchange(server, client)
