"""Test which software versions a VM takes for those that served lately."""

import pytest

from gentianstair.gateway import replicas
from gentianstair.gateway import version_history

LIFETIME_S = 10.0


class Clock:
    """A clock that a test sets."""

    now_s = 100.0

    def __call__(self):
        return self.now_s


def replica(name, version, stage='decode'):
    return replicas.Replica(
        name,
        'models',
        f'10.0.0.{name}:80',
        'a',
        64,
        False,
        stage,
        1,
        0,
        False,
        (),
        version,
    )


def make(*versions):
    clock = Clock()
    registry = replicas.Registry(clock)
    found = [replica(str(n), v) for n, v in enumerate(versions)]
    registry.replace(found)
    return clock, registry


def within(registry):
    return registry.versions.within('models', LIFETIME_S)


def test_one_version_is_settled_once_it_served_for_a_streams_life():
    clock, registry = make('v1', 'v1')
    assert within(registry).only_one == 'v1'
    assert not within(registry).is_settled
    clock.now_s += LIFETIME_S
    assert within(registry).is_settled


def test_version_that_is_gone_counts_for_a_streams_life():
    # Guards against streams of the last release that join the next one.
    clock, registry = make('v1')
    clock.now_s += LIFETIME_S
    registry.put(replica('9', 'v2'))
    assert within(registry).found == {'v1', 'v2'}
    clock.now_s += LIFETIME_S
    registry.remove('0')
    assert within(registry).only_one is None
    clock.now_s += LIFETIME_S + 1
    assert within(registry).is_settled
    assert within(registry).only_one == 'v2'


def test_replica_that_is_back_at_another_version_is_seen():
    clock, registry = make('v1')
    clock.now_s += LIFETIME_S
    registry.put(replica('0', 'v2')._replace(started_ms=2))
    assert within(registry).found == {'v1', 'v2'}


@pytest.mark.parametrize(
    ('versions', 'after_outage', 'age_s'),
    [
        (('v1', 'v2'), False, 0.0),
        (('v1',), True, 0.0),
        (('v1',), False, version_history.MAX_AGE_S + 1),
        (('',), False, 0.0),
        ((), False, 0.0),
    ],
    ids=['two', 'outage', 'old', 'unknown', 'none'],
)
def test_what_may_hide_another_version_is_not_settled(
    versions, after_outage, age_s
):
    clock, registry = make(*versions)
    clock.now_s += LIFETIME_S
    if after_outage:
        registry.replace(registry.all(), replicas.Listed.AFTER_OUTAGE)
    registry.versions.age_s = lambda: age_s
    assert not within(registry).is_settled


def test_another_version_is_announced_once():
    _, registry = make('v1')
    announced = []
    registry.versions.on_new_version = lambda: announced.append(1)
    registry.put(replica('8', 'v1'))
    assert not announced
    registry.put(replica('9', 'v2'))
    registry.put(replica('10', 'v2'))
    assert len(announced) == 1


def test_earlier_starts_of_a_replica_are_remembered():
    _, registry = make('v1')
    for started_ms in (5, 9):
        registry.put(replica('0', 'v2')._replace(started_ms=started_ms))
    assert registry.starts_ms('0') == [1, 5, 9]
    registry.remove('0')
    assert registry.starts_ms('0') == []


@pytest.mark.parametrize(
    ('is_first', 'listed', 'expected'),
    [
        (True, replicas.Listed.ALL, True),
        (False, replicas.Listed.ALL, False),
        (True, replicas.Listed.AFTER_OUTAGE, False),
    ],
    ids=['first-start', 'later-start', 'store-was-down'],
)
def test_nothing_served_before_the_first_start_of_all(
    is_first, listed, expected
):
    # Guards against a fresh fleet that takes what it sees for all there was,
    # and against streams of a new fleet that are rejected.
    registry = replicas.Registry(Clock())
    registry.versions.is_of_first_start = is_first
    registry.replace([replica('0', 'v1')], listed)
    assert within(registry).is_settled is expected
