"""Test that a suspended process does not send after its lease."""

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

# Stops itself in the last lease check before the send.
CHILD_STOPS_ITSELF = """
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
    """Suspend a sender for stop_s; return its exit code and sent bytes."""
    with socket.create_server(('127.0.0.1', 0)) as server:
        url = f'http://127.0.0.1:{server.getsockname()[1]}/orders'
        args = [sys.executable, '-c', CHILD_STOPS_ITSELF, url, str(left_s)]
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
def test_process_suspended_past_its_lease_does_not_send(stop_s, left_s, code):
    """Guards against a send after a suspension in which the lease expired.

    The process is suspended between its last check and its send.
    """
    ended, received = run_stopped(stop_s, left_s)
    assert ended == code
    assert bool(received) == (code == 0)


CHILD_NEAR_EXPIRY = """
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
@pytest.mark.parametrize('margins', [0.5, 1.000001, 2.0])
def test_lease_about_to_expire_does_not_kill_the_process(margins):
    # Guards against a watchdog that fires at once.
    with socket.create_server(('127.0.0.1', 0)) as server:
        url = f'http://127.0.0.1:{server.getsockname()[1]}/orders'
        done = subprocess.run(
            [sys.executable, '-c', CHILD_NEAR_EXPIRY, url, str(margins)],
            capture_output=True,
            text=True,
            timeout=30,
            check=False,
        )
    assert (done.returncode, done.stdout) == (0, 'refused\n')


async def test_errors_report_whether_the_request_was_sent():
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


async def test_connect_timeout_raises_not_run():
    """Guards against a clean-up that fails on an already closed socket.

    A connect that times out closes its socket.
    """
    with socket.create_server(('127.0.0.1', 0), backlog=0) as server:
        address = server.getsockname()
        pending = []
        for _ in range(4):
            # Connections that are not accepted fill the backlog.
            sock = socket.socket()
            sock.setblocking(False)
            sock.connect_ex(address)
            pending.append(sock)
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
        for sock in pending:
            sock.close()
    assert caught.value.verdict is verdict.Verdict.NOT_RUN
