"""Run gateways on a small site of stand-ins and show the platform's path."""

import pathlib
import signal
import tempfile

import httpx
import trio

from standins.site import processes
from standins.site import site as sites

HOST = 'judging.example'
KEY = 'club-key-1'
REPORT_S = 15.0
GATEWAYS = 2


def say(text: str) -> None:
    """Print a heading."""
    print(f'\n== {text}', flush=True)


async def call(
    gateway: processes.Gateway,
    method: str,
    path: str,
    request_id: str,
    **headers: str,
) -> httpx.Response:
    """Make a call as a caller does."""
    base = {
        'host': HOST,
        'x-request-id': request_id,
        'x-request-deadline-ms': '3000',
        'authorization': f'Bearer {KEY}',
    }
    async with httpx.AsyncClient(trust_env=False) as client:
        return await client.request(
            method, gateway.url + path, headers={**base, **headers}
        )


async def stop(gateway: processes.Gateway) -> int:
    """Ask a process to stop; return its exit code."""
    gateway.signal(signal.SIGTERM)
    return await gateway.wait()


async def show_calls(
    site: sites.Site, gateways: list[processes.Gateway]
) -> None:
    """Make a call of each kind and check what came."""
    say('a prompt is read on one engine and its answer made on another')
    answer = await call(
        gateways[0],
        'POST',
        '/ask/rule',
        'demo-1',
        **{
            'x-model': 'm',
            'x-token-count': '15000,80',
            'x-prefix-hash': '5c1e:13300,91bd:1700',
        },
    )
    print(answer.text)
    assert answer.text.count('data: word') == 5
    print('read by', [r.name for r in site.replicas if r.reads])

    say('a registration runs once, and a broken one is not called not run')
    answer = await call(gateways[1], 'POST', '/register/bowl', 'demo-2')
    print(answer.status_code, answer.text)
    assert answer.status_code == 200
    for replica in site.replicas:
        replica.faults.fails_with = 500
    answer = await call(gateways[1], 'POST', '/register/bowl', 'demo-3')
    print(answer.status_code, answer.text)
    assert answer.status_code == 500
    for replica in site.replicas:
        replica.faults.fails_with = 0

    say('an unknown key is refused')
    answer = await call(
        gateways[0], 'GET', '/lookup/', 'demo-4', authorization='Bearer none'
    )
    print(answer.status_code)
    assert answer.status_code == 401


async def show_usage(site: sites.Site) -> None:
    """Wait for the usage report of what was called."""
    say('usage is reported by one holder')
    with trio.fail_after(REPORT_S):
        while site.cloud.counts().get('club', 0) < 3:
            await trio.sleep(0.1)
    for report in site.cloud.reports:
        print(report)
    print('holders and epochs:', sorted(set(site.cloud.holders)))


async def run(folder: pathlib.Path) -> None:
    """Run the whole demo."""
    async with sites.running() as site:
        gateways = [
            processes.Gateway(folder, number) for number in range(GATEWAYS)
        ]
        try:
            for gateway in gateways:
                gateway.start(
                    site.store_port,
                    site.cloud_port,
                    gateways[0].ports['control'],
                )
            for gateway in gateways:
                await gateway.ready()
            # The registry is read about when the configuration is.
            await trio.sleep(1)
            await show_calls(site, gateways)
            await show_usage(site)
            say('a planned stop ends with success')
            codes = [await stop(gateway) for gateway in gateways]
            print('exit codes', codes)
            assert codes == [0] * GATEWAYS
            say('what one VM logged of the first call')
            for line in gateways[0].log.read_text().splitlines():
                if 'demo-1' in line:
                    print(line)
        finally:
            for gateway in gateways:
                gateway.signal(signal.SIGKILL)


def main() -> None:
    """Run the demo in a folder that is removed at the end."""
    with tempfile.TemporaryDirectory() as folder:
        trio.run(run, pathlib.Path(folder))
    print('\ndone')


if __name__ == '__main__':
    main()
