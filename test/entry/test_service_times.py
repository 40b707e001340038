"""Test the fit of service times."""

import random

import pytest

from gentianstair.entry import service_times


@pytest.mark.parametrize(
    ('prompt_s', 'output_s', 'slowdown'),
    [
        (0.0002, 0.03, 1.0),
        (0.001, 0.004, 1.0),
        (0.0002, 0.03, 4.0),
    ],
    ids=['output-much-slower', 'output-slightly-slower', 'engines-slow-down'],
)
def test_long_prompt_is_not_estimated_at_the_cost_of_output_tokens(
    prompt_s, output_s, slowdown
):
    # A single time for both kinds of token, learned from short prompts,
    # overestimates a long prompt, which is then refused as too late.
    rng = random.Random(1)
    estimator = service_times.ServiceTimes()

    def finish(factor):
        prompt = rng.randint(20, 400)
        output = rng.randint(20, 400)
        took_s = factor * (prompt * prompt_s + output * output_s)
        estimator.learn(prompt, output, prompt + 4.0 * output, took_s)

    for _ in range(200):
        finish(1.0)
    for _ in range(400):
        finish(slowdown)
    expected_s = slowdown * (20000 * prompt_s + 100 * output_s)
    assert estimator.service_s(20000, 100) == pytest.approx(
        expected_s, rel=0.1
    )
