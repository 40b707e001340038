"""Test what a VM concludes from connections to upstreams."""

import loguru
import pytest

from gentianstair.core import upstream_paths


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
        ('-a -b', False, ['upstreams-lost']),
        ('+a -a -b -c', False, ['upstreams-lost']),
        ('-a -a -a +b -a', False, []),
        ('-a -b +c', False, ['upstreams-lost', 'upstreams-back']),
        (
            '-a -b +c -a -b',
            False,
            ['upstreams-lost', 'upstreams-back', 'upstreams-lost'],
        ),
        ('~a', False, ['path-lost']),
        ('~a ~a +a', False, ['path-lost', 'path-back']),
        ('~a ~b', True, ['path-lost', 'path-lost', 'upstreams-lost']),
        (
            '~a ~b +b',
            False,
            ['path-lost', 'path-lost', 'upstreams-lost']
            + ['upstreams-back', 'path-back'],
        ),
        ('~a +c ~b', True, ['path-lost', 'path-lost']),
    ],
)
def test_vm_tells_lost_paths_from_upstreams_that_are_down(
    logged, outcomes, is_cut, events
):
    # + reached, - not reached, ~ reached through a peer only.
    now_s = 0.0
    paths = upstream_paths.UpstreamPaths(lambda: now_s)
    for outcome in outcomes.split():
        now_s += 1.0
        sign, address = outcome
        if sign == '+':
            paths.record_reached(address)
        elif sign == '-':
            paths.record_unreached(address)
        else:
            paths.record_lost(address, 'peer')
    assert paths.is_cut() == is_cut
    assert logged == events


@pytest.mark.parametrize(
    ('outcomes', 'distrusted'),
    [
        ('-a', {}),
        ('~a', {'a': 1.0}),
        ('~a ~b', {'a': 2.0, 'b': 2.0, 'c': 2.0}),
        ('~a ~b +a', {'b': 2.0}),
    ],
)
def test_connections_of_a_lost_path_are_distrusted(outcomes, distrusted):
    # Guards against requests that run once at most on connections that were
    # kept from before a cut.
    now_s = 0.0
    paths = upstream_paths.UpstreamPaths(lambda: now_s)
    for sign, address in outcomes.split():
        now_s += 1.0
        if sign == '+':
            paths.record_reached(address)
        elif sign == '-':
            paths.record_unreached(address)
        else:
            paths.record_lost(address, 'peer')
    found = {address: paths.distrusted_before_s(address) for address in 'abc'}
    assert {a: s for a, s in found.items() if s > 0} == distrusted
