"""Test that a stopped process does not send after its time."""

import os
import signal
import socket
import subprocess
import sys
import time

import pytest

from gentianstair import errors
from gentianstair import verdict
from gentianstair.util import leased_call

# Stops itself in the last look at the clock before the send.
CHILD = """
import os, signal, sys, time, trio
from gentianstair.util import leased_call
calls = []
began_s = time.monotonic()
def check():
    calls.append(1)
    left_s = began_s + float(sys.argv[2]) - time.monotonic()
    if len(calls) == 3:
        os.kill(os.getpid(), signal.SIGSTOP)
    return left_s
async def main():
    await leased_call.call(
        sys.argv[1], 'POST', {'order': 1},
        check=check, lifetime_s=1.0, timeout_s=5.0,
    )
trio.run(main)
"""


def run_stopped(stop_s, left_s):
    """Stop a sender for stop_s; return its exit code and what it sent."""
    with socket.create_server(('127.0.0.1', 0)) as server:
        url = f'http://127.0.0.1:{server.getsockname()[1]}/orders'
        args = [sys.executable, '-c', CHILD, url, str(left_s)]
        popen = subprocess.Popen(args, stderr=subprocess.DEVNULL)
        connection, _ = server.accept()
        with connection:
            _, status = os.waitpid(popen.pid, os.WUNTRACED)
            assert os.WIFSTOPPED(status)
            time.sleep(stop_s)
            popen.send_signal(signal.SIGCONT)
            connection.settimeout(10.0)
            received = connection.recv(65536)
            answer = b'HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nnull'
            if received:
                connection.sendall(answer)
            return popen.wait(10.0), received


@pytest.mark.promise
@pytest.mark.process
@pytest.mark.parametrize(
    ('stop_s', 'left_s', 'code'),
    [(0.1, 8.0, 0), (1.5, 1.0, -signal.SIGALRM)],
)
def test_process_stopped_before_its_send(stop_s, left_s, code):
    """A holder is stopped between its last check and its send.

    When it goes on after its lease has lapsed, it must not send what it
    still has in hand; one that was stopped for less may.
    """
    ended, received = run_stopped(stop_s, left_s)
    assert ended == code
    assert bool(received) == (code == 0)


TOO_LATE = """
import sys, trio
from gentianstair import errors
from gentianstair.util import leased_call
async def main():
    try:
        await leased_call.call(
            sys.argv[1], 'POST', {},
            check=lambda: float(sys.argv[2]) * leased_call.TIMER_MARGIN_S,
            lifetime_s=1.0, timeout_s=5.0,
        )
    except errors.LeaseLostError:
        print('refused')
trio.run(main)
"""


@pytest.mark.process
@pytest.mark.parametrize('allowances', [0.5, 1.000001, 2.0])
def test_a_lease_that_just_ends_does_not_end_the_process(allowances):
    # The timer was set to a moment that was past, or came at once.
    with socket.create_server(('127.0.0.1', 0)) as server:
        url = f'http://127.0.0.1:{server.getsockname()[1]}/orders'
        done = subprocess.run(
            [sys.executable, '-c', TOO_LATE, url, str(allowances)],
            capture_output=True,
            text=True,
            timeout=30,
            check=False,
        )
    assert (done.returncode, done.stdout) == (0, 'refused\n')


async def test_refusals_tell_whether_anything_was_sent():
    def lapsed():
        raise errors.LeaseLostError('lapsed')

    with socket.create_server(('127.0.0.1', 0)) as server:
        url = f'http://127.0.0.1:{server.getsockname()[1]}/orders'
        terms = {'lifetime_s': 0.2, 'timeout_s': 0.2}
        with pytest.raises(errors.LeaseLostError):
            await leased_call.call(url, 'POST', {}, check=lapsed, **terms)
        with pytest.raises(errors.UpstreamError) as caught:
            await leased_call.call(url, 'POST', {}, check=lambda: 9.0, **terms)
        assert caught.value.verdict is verdict.Verdict.MAY_HAVE_RUN
    with pytest.raises(errors.UpstreamError) as caught:
        await leased_call.call(url, 'POST', {}, check=lambda: 9.0, **terms)
    assert caught.value.verdict is verdict.Verdict.NOT_RUN


async def test_a_peer_that_does_not_accept_is_reported_as_such():
    """The platform is silent while a report is due.

    Connecting ran out of time, which closed the socket; the clean-up then
    failed on the closed socket, and the whole process ended.
    """
    with socket.create_server(('127.0.0.1', 0), backlog=0) as server:
        address = server.getsockname()
        waiting = []
        for _ in range(4):
            # What is not accepted fills the queue of new connections.
            sock = socket.socket()
            sock.setblocking(False)
            sock.connect_ex(address)
            waiting.append(sock)
        url = f'http://127.0.0.1:{address[1]}/usage'
        with pytest.raises(errors.UpstreamError) as caught:
            await leased_call.call(
                url,
                'POST',
                {},
                check=lambda: 9.0,
                lifetime_s=0.3,
                timeout_s=0.3,
            )
        for sock in waiting:
            sock.close()
    assert caught.value.verdict is verdict.Verdict.NOT_RUN
