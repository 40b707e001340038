"""Test permits of limited replicas at many VMs, in a simulation."""

import pytest

from gentianstair.bench import replica_limits
from gentianstair.bench import replica_limits_world as worlds

WAY = replica_limits.WAYS['permits']
CASES = [
    pytest.param(worlds.Case(vms, limit_per_s), id=f'{vms}-at-{limit_per_s}')
    for vms in (8, 90, 300, 3000)
    for limit_per_s in (0.5, 3.0)
]
FAULTS = [
    pytest.param({'cut_share': 0.33}, id='a-third-cut'),
    pytest.param({'restart_s': 15.0}, id='all-restart'),
    pytest.param({'loss': 0.1}, id='messages-lost'),
]


@pytest.mark.parametrize('case', CASES)
def test_fleets_of_all_sizes_keep_and_use_a_limit(case):
    result = worlds.Play(case, WAY, 1).run()
    assert result.worst <= 1.0
    assert result.used >= 0.95


@pytest.mark.parametrize('fault', FAULTS)
def test_faults_break_no_limit(fault):
    # Guards against permits that two keepers give out at the same time.
    result = worlds.Play(worlds.Case(90, 3.0, **fault), WAY, 1).run()
    assert result.worst <= 1.0
    assert result.used >= 0.7


def test_load_below_the_limit_is_served():
    case = worlds.Case(8, 1.0, load=0.7, end_s=120.0)
    result = worlds.Play(case, WAY, 1).run()
    assert result.served >= 0.97


def test_even_parts_break_the_limit():
    # The check sees a way that does not keep it.
    way = replica_limits.WAYS['even']
    assert worlds.Play(worlds.Case(90, 1.0), way, 1).run().worst > 1.0
