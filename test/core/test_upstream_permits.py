"""Test when a permit of a limited upstream may still be used."""

import random

import pytest

from gentianstair import errors
from gentianstair.core import upstream_limits
from gentianstair.core import upstream_permits

RUN = upstream_limits.UpstreamRun('i-1', 1000)
OTHER = upstream_limits.UpstreamRun('i-2', 1000)
NOW_S = 100.0


def make_permits():
    known = upstream_limits.UpstreamLimits(lambda: NOW_S)
    known.record(RUN, upstream_limits.Answer(1.0, 90.0, 90.1))
    return upstream_permits.UpstreamPermits(
        known, None, lambda: NOW_S, random.Random(1)
    )


USABLE = [
    pytest.param(RUN, NOW_S - 0.1, True, id='fresh'),
    pytest.param(OTHER, NOW_S - 9.0, False, id='no-limit'),
]
LAPSED = [
    pytest.param(RUN, NOW_S - 0.8, True, id='old'),
    pytest.param(RUN, NOW_S - 0.1, False, id='named-since'),
]


@pytest.mark.parametrize(('run', 'granted_s', 'is_limited'), USABLE)
def test_permit_is_used_soon(run, granted_s, is_limited):
    permit = upstream_permits.Permit(run.name, granted_s, is_limited)
    make_permits().check_usable(run, permit)


@pytest.mark.parametrize(('run', 'granted_s', 'is_limited'), LAPSED)
def test_permit_lapses(run, granted_s, is_limited):
    # Guards against permits that are used late, many at once.
    permit = upstream_permits.Permit(run.name, granted_s, is_limited)
    with pytest.raises(errors.PermitLapsedError):
        make_permits().check_usable(run, permit)
