"""Test which changes of the VM's clock are followed."""

import pytest

from gentianstair.util import steady_wall_clock


@pytest.mark.parametrize(
    ('jumps', 'expected_s'),
    [
        # (monotonic time, offset of the VM's clock), both in seconds
        ([(1, 0.1), (2, 0.2)], 0.2),
        ([(1, 5.0), (6, 0.0)], 0.0),
        ([(1, -5.0), (6, -5.0)], 0.0),
        ([(1, 5.0), (20, 5.0), (32, 5.0)], 5.0),
        ([(1, 5.0), (20, 0.0), (25, 5.0), (40, 5.0)], 0.0),
    ],
)
def test_only_drift_and_lasting_jumps_are_followed(jumps, expected_s):
    now_s = 0.0
    offset_s = 0.0
    wall_clock = steady_wall_clock.SteadyWallClock(
        lambda: 1e9 + now_s + offset_s, lambda: now_s
    )
    for now_s, offset_s in jumps:  # noqa: B007
        found_s = wall_clock()
    assert found_s - 1e9 - now_s == pytest.approx(expected_s)
