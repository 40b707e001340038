"""Test the homes of shared parts that nobody has cached."""

import collections
import types

import pytest

from gentianstair.gateway import calls
from gentianstair.gateway import prefix_homes

FLEET = [types.SimpleNamespace(name=f'i-{n}') for n in range(30)]
PART = calls.PromptPart('book', 13300)


@pytest.mark.parametrize(
    ('parts', 'tokens', 'expected'),
    [
        ((), 0, None),
        (('own',), 900, None),
        (('book', 'own'), 900, 'book'),
        (('book', 'own'), prefix_homes.MIN_HOME_TOKENS - 1, None),
        (('club', 'notes', 'own'), 900, 'notes'),
    ],
    ids=['no parts', 'one part', 'two parts', 'short parts', 'three parts'],
)
def test_last_long_shared_part_has_the_home(parts, tokens, expected):
    prompt = calls.Prompt(
        'm',
        tokens * len(parts),
        10,
        tuple(calls.PromptPart(name, tokens) for name in parts),
    )
    found = prefix_homes.shared_part(prompt)
    assert (found and found.name) == expected


def test_all_vms_choose_the_same_homes():
    # Otherwise each would have the part computed at another replica.
    found = prefix_homes.choose(PART, FLEET)
    assert prefix_homes.choose(PART, reversed(FLEET)) == found
    assert sorted(found.savings.values(), reverse=True) == list(
        prefix_homes.EXPECTED_SAVINGS
    )


def test_homes_of_many_parts_are_spread():
    taken = collections.Counter()
    for number in range(300):
        part = calls.PromptPart(f'book-{number}', 100)
        homes = prefix_homes.choose(part, FLEET).savings
        taken.update(name for name, share in homes.items() if share == 1.0)
    assert len(taken) == len(FLEET)
    assert max(taken.values()) <= 3 * 300 / len(FLEET)


def test_loss_of_a_replica_moves_only_its_own_parts():
    for number in range(50):
        part = calls.PromptPart(f'book-{number}', 100)
        before = prefix_homes.choose(part, FLEET).savings
        after = prefix_homes.choose(part, FLEET[1:]).savings
        if 'i-0' not in before:
            assert after == before


@pytest.mark.parametrize(
    ('fleet', 'name', 'expected'),
    [
        (FLEET[:1], 'i-0', 13300.0),
        (FLEET[:1], 'i-1', 0.0),
        ([], 'i-0', 0.0),
    ],
    ids=['home', 'no home', 'no replicas'],
)
def test_saved_tokens(fleet, name, expected):
    homes = prefix_homes.choose(PART, fleet)
    assert homes.saved_tokens(name) == expected
    assert prefix_homes.NO_HOMES.saved_tokens(name) == 0.0
