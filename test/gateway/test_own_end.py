"""Test that a gateway that ends by itself says why in its last line."""

import json
import os
import subprocess
import sys

import pytest
import trio

from standins.site import site as sites
from test.gateway import gateways
from test.gateway import samples

END_S = 20.0
# Ends when a request has been under way for a moment.
SCRIPT = """
import trio
from gentianstair.gateway import handler, main

async def fail(_):
    while not handler.RUNNING.collect()[0].samples[0].value:
        await trio.sleep(0.01)
    await trio.sleep(0.3)
    raise RuntimeError('planted')

main._campaign_for_duties = fail
main.main()
"""


async def call(gateway):
    """Make one request; its answer does not matter."""
    stream = await trio.open_tcp_stream('127.0.0.1', gateway.values['front'])
    headers = gateway.headers('r1').items()
    lines = [f'{name}: {value}' for name, value in headers]
    head = '\r\n'.join(['GET /lookup/x HTTP/1.1', *lines, '', ''])
    async with stream:
        await stream.send_all(head.encode())
        while await stream.receive_some():
            pass


@pytest.mark.process
async def test_a_process_that_ends_by_itself_says_why(tmp_path):
    # Guards against cut requests whose process only shows a new start.
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
        with trio.fail_after(END_S):
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
