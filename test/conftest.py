"""Check how tests ask for their clock; pass over those known to fail."""

import inspect

import pytest

from test import known_red

CLOCKS = ('autojump_clock', 'mock_clock')


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(session, items):
    # Before tests are left out by an option.
    known_red.mark(session, items)
    _check_clocks(items)


def _check_clocks(items):
    """Refuse tests that ask for a clock of their own by a fixture only.

    Such a test would run on the machine's clock without a word: it takes
    as long as what it plays, and fails when the machine is busy. The clock
    becomes the run's only if it is an argument of the test itself.
    """
    for item in items:
        asked = set(CLOCKS).intersection(getattr(item, 'fixturenames', ()))
        if not asked:
            continue
        if not asked.intersection(inspect.signature(item.function).parameters):
            raise pytest.UsageError(
                f'{item.nodeid}: name {min(asked)} among its arguments'
            )
