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


async def test_links_take_peers_and_refuse_others(tmp_path):
    """A process outside the fleet feeds a VM configuration of its own.

    It speaks the peers' protocol, but has no certificate of the fleet's
    authority. Neither side takes the other.
    """
    authority = test_tls.Authority(tmp_path)
    mine = _network(authority, tmp_path / 'vm-1')
    other = _network(authority, tmp_path / 'vm-2')
    assert await test_link.exchange(mine, other) == b'hello'
    strangers = test_tls.Authority(tmp_path, 'other')
    stranger = _network(strangers, tmp_path / 'vm-x')
    plain = link.make_network(test_link.make_settings())
    for server, client in [
        (mine, stranger),
        (stranger, mine),
        (mine, plain),
        (plain, mine),
    ]:
        with pytest.RaisesGroup(link.LinkClosedError):
            await test_link.exchange(server, client)
