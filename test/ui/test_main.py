"""Test the program as an operator meets it: lines, codes, no traceback."""

import contextlib
import io
import json

import pytest
import trio

from gentianstair.ui import main
from standins.platform import app as platform_app

MISTAKES = [
    (['nonsense'], "Invalid command 'nonsense'"),
    (['customer', 'create'], "'name' requires an argument"),
    (['customer', 'create', 'a/b'], "'a/b' is not a name"),
    (['customer', 'create', 'x', '--weight', '0'], '--weight: 0.0'),
    (['customer', 'create', 'x', '--weight', 'nan'], '--weight: nan'),
    (['customer', 'create', 'x', '--concurrent', 'y'], 'y'),
    (['key', 'grant', 'nobody'], 'customer nobody does not exist'),
    (['key', 'revoke', 'ab'], 'at least 12 first hex digits'),
    (['key', 'revoke', '0' * 12], 'no keys start with'),
    (['upstream', 'add', 'x', 'nowhere', '--failure-domain', 'n'], 'nowhere'),
    (['upstream', 'drain', 'x'], 'upstream x does not exist'),
    (['bundle', 'accept', '/nowhere'], 'No such file'),
    (['bundle', 'accept', __file__], 'not a bundle'),
    (['bundle', 'withdraw'], 'no bundle is in force'),
    (['bundle', 'sign', __file__, '--key', __file__], 'not a bundle'),
    (['bundle', 'build', __file__, '--output', '/x'], 'not TOML'),
    (['audit', '--since', 'yesterday'], '--since'),
    (['snapshot', 'restore', __file__], 'its digest is wrong'),
    (['explain', 'x'], '--entry-urls'),
    (['usage', 'show', '--windows', '0'], '--windows'),
    (['customer', 'list', '--platform-url', 'http://[x'], 'not an http URL'),
    (['settings', 'check', 'control', '--file', '/dev/null'], '--vm-name'),
    (['build', '/nowhere'], '/nowhere: not the folder of a package'),
]


@contextlib.asynccontextmanager
async def open_platform():
    """Yield the stand-in platform and a function that runs the program."""
    async with platform_app.running() as (platform, url):

        async def run(*argv):
            out = io.StringIO()
            words = list(argv)
            if '--platform-url' not in words:
                words += ['--platform-url', url]
            code = await trio.to_thread.run_sync(main.run, words, out)
            return code, out.getvalue()

        yield platform, run


async def test_a_mistake_is_one_line_and_changes_nothing(capfd):
    async with open_platform() as (platform, run):
        for argv, said in MISTAKES:
            code, out = await run(*argv)
            lines = capfd.readouterr().err.strip().splitlines()
            assert code == main.EXIT_REFUSED, argv
            assert out == '', argv
            assert said in ' '.join(lines), argv
            assert all(x.startswith('gentianstair') for x in lines), argv
            assert argv[0] == 'settings' or len(lines) == 1, argv
        assert platform.table.revision == 0


async def test_the_day_of_an_operator(tmp_path):
    async with open_platform() as (platform, run):
        assert (await run('customer', 'create', 'burlwood'))[0] == 0
        _, out = await run('key', 'grant', 'burlwood', '--json')
        granted = json.loads(out)
        assert granted['secret'] not in json.dumps(
            [item.value for item in platform.table.objects.values()]
        )
        _, out = await run('key', 'list', '--json')
        assert json.loads(out)[0]['key'] == granted['key']
        assert (await run('key', 'revoke', granted['key'][:12]))[0] == 0
        source, built = tmp_path / 'a.toml', tmp_path / 'a.json'
        key = tmp_path / 'key.pem'
        await run('bundle', 'keygen', str(key))
        for number, model in [(1, 'old'), (2, 'new')]:
            source.write_text(f'[models.{model}]')
            await run('bundle', 'build', str(source), '--output', str(built))
            await run('bundle', 'sign', str(built), '--key', str(key))
            # Not signed with the key that the entries have.
            other = ('--public-key', '00' * 32)
            assert (await run('bundle', 'accept', str(built), *other))[0] == 1
            code, out = await run('bundle', 'accept', str(built), '--json')
            assert (code, json.loads(out)['bundle']) == (0, number)
        assert (await run('bundle', 'accept', str(built)))[0] == 1
        code, _ = await run('bundle', 'withdraw', '--key', str(key))
        assert code == 0
        number = platform.table.get('accepted', 'current').value['number']
        assert number == 3
        assert list(platform.table.get('bundle', '3').value['models']) == [
            'old'
        ]
        _, out = await run('audit', '--target', 'key/', '--json')
        trail = json.loads(out)
        assert [row['action'] for row in trail] == ['key grant', 'key revoke']
        assert [row['outcome'] for row in trail] == ['done', 'done']
        assert trail[1]['before']['revoked'] is False
        assert trail[1]['after']['revoked'] is True


async def test_codes_tell_no_effect_from_unknown_effect():
    async with open_platform() as (platform, run):
        platform.faults.down = True
        assert (await run('customer', 'create', 'x'))[0] == 3
        platform.faults.down = False
        code, _ = await run(
            'bundle', 'status', '--platform-url', 'http://127.0.0.1:1'
        )
        assert code == 3


COMMANDS = [
    *(f'customer {leaf}' for leaf in ('create', 'list')),
    *(f'key {leaf}' for leaf in ('grant', 'revoke', 'list')),
    *(f'bundle {leaf}' for leaf in ('keygen', 'build', 'sign', 'accept')),
    *(f'bundle {leaf}' for leaf in ('withdraw', 'status')),
    *(f'upstream {leaf}' for leaf in ('add', 'drain', 'withdraw', 'list')),
    *('vm list', 'lease list', 'usage show', 'audit', 'explain'),
    *('settings check', 'snapshot save', 'snapshot restore'),
]


@pytest.mark.parametrize('command', COMMANDS)
def test_every_command_has_help_with_an_example(command, capsys):
    assert main.run([*command.split(), '--help']) == 0
    shown = ' '.join(capsys.readouterr().out.split())
    assert f'Example: gentianstair {command}' in shown


def test_completion_is_a_script_that_no_screen_width_folds(capsys):
    assert main.run(['--completion', 'generate']) == 0
    script = capsys.readouterr().out
    assert 'COMPLETION_LOCATION=$((COMP_CWORD+1)) $1 --compl' in script
