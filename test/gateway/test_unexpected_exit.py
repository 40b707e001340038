"""Test that a gateway logs the cause of an unexpected exit."""

import json
import os
import subprocess
import sys

import pytest
import trio

from standins.site import site as sites
from test.gateway import gateways
from test.gateway import samples

EXIT_TIMEOUT_S = 20.0
# A gateway that fails shortly after a request has started.
SCRIPT = """
import trio
from gentianstair.gateway import handler, main

async def fail(*_):
    while not handler.RUNNING.collect()[0].samples[0].value:
        await trio.sleep(0.01)
    await trio.sleep(0.3)
    raise RuntimeError('planted')

main._drain = fail
main.main()
"""


async def call(gateway):
    """Send one request and read until the connection closes."""
    stream = await trio.open_tcp_stream('127.0.0.1', gateway.values['front'])
    headers = gateway.headers('r1').items()
    lines = [f'{name}: {value}' for name, value in headers]
    head = '\r\n'.join(['GET /lookup/x HTTP/1.1', *lines, '', ''])
    async with stream:
        await stream.send_all(head.encode())
        while await stream.receive_some():
            pass


@pytest.mark.process
async def test_last_log_line_has_the_cause_of_an_unexpected_exit(tmp_path):
    # Guards against an exit whose only trace in the log is the next start.
    async with sites.running() as site:
        for replica in site.replicas:
            replica.faults.silent = True
        values = gateways.values_for(site)
        file = tmp_path / 'settings.toml'
        file.write_text(samples.settings(**values))
        gateway = gateways.Gateway(values, None)
        environ = {**os.environ, 'GENTIANSTAIR_NODE_FILE': str(file)}
        process = await trio.lowlevel.open_process(
            [sys.executable, '-c', SCRIPT],
            stdout=subprocess.PIPE,
            env=environ,
        )
        text = b''
        with trio.fail_after(EXIT_TIMEOUT_S):
            while not await gateway.ready():
                await trio.sleep(0.05)
            await call(gateway)
            while part := await process.stdout.receive_some():
                text += part
            assert await process.wait() == 1
    lines = [json.loads(line) for line in text.splitlines()]
    last = lines[-1]
    assert last['event'] == 'ended'
    assert last['error'] == 'RuntimeError: planted'
    assert 'in fail' in last['exception']
    assert last['requests_cut'] == 1
    cut = [line for line in lines if line.get('event') == 'connection-cut']
    assert [(c['request_id'], c['end']) for c in cut] == [
        ('r1', 'process-ended')
    ]
