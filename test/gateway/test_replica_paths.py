"""Test what a VM concludes from connections to replicas."""

import loguru
import pytest

from gentianstair.gateway import replica_paths


@pytest.fixture
def logged():
    """Collect the events that are logged, in order."""
    found = []
    sink = loguru.logger.add(
        lambda message: found.append(message.record['extra']['event']),
        level='INFO',
    )
    yield found
    loguru.logger.remove(sink)


@pytest.mark.parametrize(
    ('outcomes', 'is_cut', 'events'),
    [
        ('-a', False, []),
        ('-a -a -a', False, []),
        ('-a +b -c', False, []),
        ('-a -b', True, ['replicas-lost']),
        ('+a -a -b -c', True, ['replicas-lost']),
        ('-a -b +c', False, ['replicas-lost', 'replicas-back']),
        (
            '-a -b +c -a -b',
            True,
            ['replicas-lost', 'replicas-back', 'replicas-lost'],
        ),
    ],
)
def test_vm_that_reaches_no_replica_says_so(logged, outcomes, is_cut, events):
    now_s = 0.0
    paths = replica_paths.ReplicaPaths(lambda: now_s)
    for outcome in outcomes.split():
        now_s += 0.5
        if outcome[0] == '+':
            paths.record_reached(outcome[1:])
        else:
            paths.record_unreached(outcome[1:])
    assert paths.is_cut() == is_cut
    assert logged == events
