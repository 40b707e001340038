"""Check how tests ask for the clock that they run on."""

import inspect

import pytest

CLOCK = 'autojump_clock'


def pytest_collection_modifyitems(items):
    """Refuse tests that ask for the jumping clock through a fixture only.

    Such a test would run on the machine's clock without a word: it takes
    as long as what it plays, and fails when the machine is busy. The clock
    becomes the run's only if it is an argument of the test itself.
    """
    for item in items:
        if CLOCK not in getattr(item, 'fixturenames', ()):
            continue
        if CLOCK not in inspect.signature(item.function).parameters:
            raise pytest.UsageError(
                f'{item.nodeid}: name {CLOCK} among its arguments'
            )
