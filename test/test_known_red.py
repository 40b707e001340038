"""Test that a run passes over the tests known to fail, and no others."""

import pathlib
import subprocess
import sys

import pytest

ROOT = pathlib.Path(__file__).parents[1]
SETTINGS = '[pytest]\ntrio_mode = true\n'
CONFTEST = """
import pytest

from test import known_red


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(session, items):
    known_red.mark(session, items)
"""
TESTS = """
import pytest


def test_fails():
    assert 0


def test_passes():
    pass


@pytest.mark.parametrize('row', ['one', 'two words'])
def test_rows(row):
    assert row == 'one'
"""
HEAD = (
    '# test_it.py::test_commented\n\nbench of the users\n  gone.py::test_x\n'
)
FAILS = 'test_it.py::test_fails seed 3 [7]\n  what was seen\n\n'
NONE = ': no such test'
ROW = 'test_it.py::test_rows[two words] (always)\n'


def _run(folder, listed, *options):
    (folder / 'pytest.ini').write_text(SETTINGS)
    (folder / 'conftest.py').write_text(CONFTEST)
    (folder / 'test_it.py').write_text(TESTS)
    (folder / 'KNOWN-RED.txt').write_text(HEAD + listed)
    command = [sys.executable, '-m', 'pytest', '-p', 'no:cacheprovider']
    return subprocess.run(
        [*command, *options],
        cwd=folder,
        env={'PYTHONPATH': str(ROOT)},
        capture_output=True,
        text=True,
    )


@pytest.mark.parametrize(
    ('listed', 'options', 'status', 'said'),
    [
        (FAILS + ROW, [], 0, '2 passed, 2 xfailed'),
        (FAILS + ROW, ['-n', '2'], 0, '2 passed, 2 xfailed'),
        # One that isn't listed.
        (FAILS, [], 1, '1 failed, 2 passed, 1 xfailed'),
        # Those that pass.
        (FAILS + ROW + 'test_it.py::test_passes', [], 1, '1 failed'),
        (FAILS + 'test_it.py::test_rows', [], 1, '1 failed'),
        # Those that are no more.
        (FAILS + ROW + 'test_it.py::test_old', [], 1, NONE),
        (FAILS + ROW + 'test_it.py::test_old', ['.'], 1, NONE),
        (FAILS + ROW + 'test_it.py::test_old', ['-n', '2'], 1, NONE),
        (FAILS + ROW + 'test_it.py::test_rows[three]', [], 1, NONE),
        (FAILS + ROW + 'old/test_it.py::test_fails', [], 1, NONE),
        # Runs that weren't asked for the whole.
        (FAILS + ROW, ['-k', 'passes'], 0, '1 passed, 3 deselected'),
        (FAILS + ROW, ['test_it.py::test_passes'], 0, '1 passed'),
        (FAILS + ROW, ['test_it.py::test_fails'], 0, '1 xfailed'),
    ],
)
def test_only_listed_tests_may_fail(tmp_path, listed, options, status, said):
    run = _run(tmp_path, listed, *options)
    assert said in run.stdout + run.stderr
    assert run.returncode == status
