"""Run the main job of a fleet on loopback and check each step."""

import argparse
import json
import os
import pathlib
import subprocess
import sys
import tempfile
import time

import httpx

from standins import fleet

MODEL = 'judge'
CUSTOMER = 'burlwood'
BUNDLE = f'note = "demo"\n[models.{MODEL}]\nengine_model = "judging-8b"\n'
WAIT_S = 20.0
COMMAND_S = 20.0
# Short windows, so that a usage report comes while one watches.
WINDOW_FLAGS = ('--usage-window-s=2', '--usage-grace-s=1')


class DemoError(Exception):
    """Report the step that failed."""


def say(text: str) -> None:
    """Print a heading."""
    print(f'\n== {text}', flush=True)


def wait_for(what: str, check, step_s: float = 0.05) -> None:
    """Return once check is true; raise DemoError after WAIT_S."""
    end_s = time.monotonic() + WAIT_S
    while time.monotonic() < end_s:
        try:
            if check():
                return
        except httpx.TransportError:
            pass
        time.sleep(step_s)
    raise DemoError(f'{what}: not within {WAIT_S:g} s')


class Demo:
    """A running fleet and the steps of the main job on it."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self.fleet = fleet.Fleet(folder)
        self.key = str(folder / 'operator.pem')
        self.environ: dict[str, str] = {}
        self.entry_urls: list[str] = []
        self.operator_urls: list[str] = []

    def operate(self, *words: str) -> str:
        """Run the operators' command and return what it printed."""
        shown = ' '.join(words)
        print(f'$ gentianstair {shown}', flush=True)
        done = subprocess.run(
            [sys.executable, '-m', 'gentianstair.ui.main', *words],
            env={**os.environ, **self.environ},
            capture_output=True,
            text=True,
            timeout=COMMAND_S,
        )
        if done.returncode:
            text = (done.stderr or done.stdout).strip()
            raise DemoError(f'gentianstair {shown}: {text}')
        return done.stdout

    def start_outside(self) -> None:
        """Start the stand-ins of what lies outside the system."""
        say('platform, three engines, one plain service')
        platform = self.fleet.start('platform', 'standins.platform')
        self.environ = {
            'GENTIANSTAIR_PLATFORM_URL': platform.url,
            'GENTIANSTAIR_ACTOR': 'demo',
        }
        engine = 'standins.engine'
        self.fleet.start('engine-1', engine, '--name', 'engine-1')
        self.fleet.start(
            'engine-2', engine, '--name', 'engine-2', '--ignores-fencing'
        )
        self.fleet.start('engine-3', engine, '--name', 'engine-3', '--slow=3')
        self.fleet.start('registration', 'standins.service')

    def start_system(self) -> None:
        """Start two VMs' worth of the system itself.

        The entries know the key with which bundles are signed off, and use
        no others.
        """
        made = self.operate('bundle', 'keygen', self.key, '--json')
        public_key = json.loads(made)['public_key']
        say('two entry and two control processes')
        platform_url = self.environ['GENTIANSTAIR_PLATFORM_URL']
        for number, domain in ((1, 'north'), (2, 'south')):
            process = self.fleet.start(
                f'entry-{number}',
                'gentianstair.entry',
                f'--vm-name=vm-{number}',
                f'--failure-domain={domain}',
                f'--platform-url={platform_url}',
                '--listen=127.0.0.1:0',
                '--operator-listen=127.0.0.1:0',
                '--peer-listen=127.0.0.1:0',
                f'--bundle-public-key={public_key}',
                *WINDOW_FLAGS,
            )
            self.entry_urls.append(process.url)
            operator_url = f'http://{fleet.HOST}:{process.ports[1]}'
            self.operator_urls.append(operator_url)
            self.fleet.start(
                f'control-{number}',
                'gentianstair.control',
                f'--vm-name=vm-{number}',
                f'--failure-domain={domain}',
                f'--platform-url={platform_url}',
                '--listen=127.0.0.1:0',
                *WINDOW_FLAGS,
            )
        self.environ['GENTIANSTAIR_ENTRY_URLS'] = ','.join(self.operator_urls)

    def configure(self) -> str:
        """Create a customer, a key, upstreams and a bundle; return the key."""
        say('customer, key, upstreams, bundle')
        self.operate('customer', 'create', CUSTOMER)
        granted = self.operate('key', 'grant', CUSTOMER, '--json')
        for number in (1, 2, 3):
            name = f'engine-{number}'
            words = [
                'upstream',
                'add',
                name,
                self.fleet.processes[name].url,
                f'--failure-domain={("north", "south", "west")[number - 1]}',
                '--models=judging-8b',
            ]
            if number != 2:
                words.append('--checks-fencing')
            self.operate(*words)
        self.operate(
            'upstream',
            'add',
            'registration-1',
            self.fleet.processes['registration'].url,
            '--type=service',
            '--models=registration',
            '--failure-domain=north',
        )
        source = self.folder / 'bundle.toml'
        source.write_text(BUNDLE)
        bundle = str(self.folder / 'bundle.json')
        self.operate('bundle', 'build', str(source), '--output', bundle)
        self.operate('bundle', 'sign', bundle, '--key', self.key)
        self.operate('bundle', 'accept', bundle)
        for url in self.operator_urls:
            wait_for(
                'bundle in force',
                lambda url=url: httpx.get(f'{url}/readyz').status_code == 200,
            )
        return json.loads(granted)['secret']

    def complete(self, secret: str) -> str:
        """Stream one completion through the first VM."""
        say('one streamed completion')
        body = {
            'model': MODEL,
            'prompt': 'Why does bowl seven win the award?',
            'max_tokens': 20,
            'stream': True,
        }
        words = []
        with httpx.stream(
            'POST',
            f'{self.entry_urls[0]}/v1/completions',
            json=body,
            headers={'authorization': f'Bearer {secret}'},
            timeout=WAIT_S,
        ) as response:
            if response.status_code != 200:
                problem = response.read().decode()
                raise DemoError(f'completion: {problem}')
            for line in response.iter_lines():
                if line.startswith('data: {'):
                    choice = json.loads(line[6:])['choices'][0]
                    words.append(choice['text'])
        answer = ''.join(words)
        print(answer)
        if len(answer.split()) != body['max_tokens']:
            raise DemoError(f'completion: {len(answer.split())} words of 20')
        return response.headers['x-request-id']

    def register(self, secret: str) -> None:
        """Register once, and repeat it through the other VM."""
        say('one registration, repeated through the other VM')
        answers = []
        for url in self.entry_urls:
            response = httpx.post(
                f'{url}/services/registration/register',
                json={'piece': 'maple bowl'},
                headers={
                    'authorization': f'Bearer {secret}',
                    'idempotency-key': 'show-2026-piece-7',
                },
                timeout=WAIT_S,
            )
            replayed = response.headers.get('idempotency-replayed', 'false')
            print(response.status_code, response.text, f'replayed={replayed}')
            answers.append(response.json())
        if answers[0] != answers[1]:
            raise DemoError('registration: the repeat got another answer')

    def show_usage(self) -> None:
        """Show the figures reported for the completion's window."""
        say('usage report')
        words = ('usage', 'show', '--customer', CUSTOMER)
        wait_for(
            'usage report',
            lambda: json.loads(self.operate(*words, '--json')),
            step_s=1.0,
        )
        print(self.operate(*words))
        reports = httpx.get(
            self.environ['GENTIANSTAIR_PLATFORM_URL'] + '/v1/usage-reports'
        ).json()['reports']
        billed = [report for report in reports if CUSTOMER in str(report)]
        if len(billed) != 1:
            raise DemoError(f'usage: {len(billed)} reports name {CUSTOMER}')
        print('the platform has', json.dumps(billed[0]))

    def run(self) -> None:
        """Run every step; raise DemoError at the first that fails."""
        self.start_outside()
        self.start_system()
        secret = self.configure()
        request_id = self.complete(secret)
        self.register(secret)
        say('why this engine')
        print(self.operate('explain', request_id))
        say('audit trail')
        print(self.operate('audit'))
        self.show_usage()


def main() -> int:
    """Run the demo and return its exit code."""
    parser = argparse.ArgumentParser(prog='demo')
    parser.add_argument('--keep', action='store_true')
    keep = parser.parse_args().keep
    with tempfile.TemporaryDirectory() as folder:
        demo = Demo(pathlib.Path(folder))
        try:
            demo.run()
            if keep:
                say('running until interrupted')
                print('callers:', ' '.join(demo.entry_urls))
                print('operators:', ' '.join(demo.operator_urls))
                while True:
                    time.sleep(1.0)
        except KeyboardInterrupt:
            return 0
        except (DemoError, fleet.FleetError, httpx.HTTPError) as error:
            print(f'demo failed: {error}', file=sys.stderr)
            return 1
        finally:
            demo.fleet.stop_all()
    say('done')
    return 0


if __name__ == '__main__':
    sys.exit(main())
