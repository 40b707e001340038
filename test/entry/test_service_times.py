"""Test what admission learns of speed."""

import random

import pytest

from gentianstair.entry import service_times


@pytest.mark.parametrize(
    ('prompt_s', 'output_s', 'slow'),
    [(0.0002, 0.03, 1.0), (0.001, 0.004, 1.0), (0.0002, 0.03, 4.0)],
)
def test_prompt_and_output_are_told_apart(prompt_s, output_s, slow):
    # Reading a prompt token takes an engine a hundredth of writing one.
    # With one figure for both, learned on short prompts, a rulebook of
    # 20,000 tokens looks like ten minutes of work and is refused as late;
    # and all engines may get slower while it learns.
    rng = random.Random(1)
    learned = service_times.ServiceTimes()

    def finish(factor):
        prompt = rng.randint(20, 400)
        output = rng.randint(20, 400)
        took_s = factor * (prompt * prompt_s + output * output_s)
        learned.learn(prompt, output, prompt + 4.0 * output, took_s)

    for _ in range(200):
        finish(1.0)
    for _ in range(400):
        finish(slow)
    expected_s = slow * (20000 * prompt_s + 100 * output_s)
    assert learned.service_s(20000, 100) == pytest.approx(expected_s, rel=0.1)
