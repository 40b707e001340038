"""Test that a program can listen where it is told to."""

import socket

from standins import ports


def test_ports_are_no_ends_of_connections():
    """A test's program was told a port that was in use when it came.

    The port was free when it was found, and a moment later the near end of
    another program's connection: the system had handed it out for both.
    """
    found = {ports.free_port() for _ in range(200)}
    assert all(ports.FIRST <= port < ports.LAST for port in found)
    with socket.socket() as sock:
        sock.bind(('127.0.0.1', 0))
        handed_out = sock.getsockname()[1]
    assert handed_out >= ports.LAST


def test_a_port_is_not_given_out_twice():
    # Guards against a process that ends as its own second port is in use.
    found = [ports.free_port() for _ in range(2000)]
    assert len(set(found)) == len(found)


def test_test_processes_draw_from_parts_of_their_own():
    # Two drew the same port, and one program ended with 'cannot listen'.
    drawn = [set(ports.part(f'gw{n}')) for n in range(ports.PARTS)]
    assert len(set.union(*drawn)) == sum(len(one) for one in drawn)
    assert set.union(*drawn) <= set(range(ports.FIRST, ports.LAST))


def test_processes_of_different_runs_hold_parts_of_their_own():
    # Guards against callers of one run that reach the gateways of another.
    first, ours = ports.hold_part('gw3')
    second, theirs = ports.hold_part('gw3')
    with first, second:
        assert not set(ours) & set(theirs)
        assert len(ours) == len(theirs)
