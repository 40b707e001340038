"""Test which changes of the time of day are followed."""

import pytest

from gentianstair.util import steady_wall_clock


@pytest.mark.parametrize(
    ('jumps', 'expected_s'),
    [
        # (seconds on the steady clock, what the time of day is off by)
        ([(1, 0.1), (2, 0.2)], 0.2),
        ([(1, 5.0), (6, 0.0)], 0.0),
        ([(1, -5.0), (6, -5.0)], 0.0),
        ([(1, 5.0), (20, 5.0), (32, 5.0)], 5.0),
        ([(1, 5.0), (20, 0.0), (25, 5.0), (40, 5.0)], 0.0),
    ],
)
def test_jumps(jumps, expected_s):
    now_s = 0.0
    off_s = 0.0
    wall = steady_wall_clock.SteadyWallClock(
        lambda: 1e9 + now_s + off_s, lambda: now_s
    )
    for now_s, off_s in jumps:  # noqa: B007
        found_s = wall()
    assert found_s - 1e9 - now_s == pytest.approx(expected_s)
