"""Test what VMs whose wall clocks differ make of what others have stored."""

import pytest

from gentianstair.core import prompt_fault_rows
from gentianstair.core import prompt_faults

BAD = prompt_faults.Part('models', 'm', 'bad0')
APART = {
    'same': 0.0,
    'ahead-2-s': 2.0,
    'ahead-2400-s': 2400.0,
    'behind-2-s': -2.0,
    'behind-2400-s': -2400.0,
}
# How long after it was stored a fresh VM reads it.
LATER_S = 5.0
# A request may try a held part again in this time, as its VM has it.
MOST_S = 2.0


class Vm:
    """A VM with a wall clock of its own; the other one is shared."""

    def __init__(self, ahead_s=0.0):
        self.now_s = 10000.0
        self.faults = prompt_faults.PromptFaults(lambda: self.now_s)
        self.held = prompt_fault_rows.HeldParts(
            self.faults,
            lambda: self.now_s,
            lambda: 1.8e9 + self.now_s + ahead_s,
        )

    def hold(self, ends):
        """Hold a part back after so many ends, one after the other."""
        for number in range(ends):
            self.now_s += 1.0
            self.faults.record_end(
                [BAD],
                prompt_faults.End(
                    f'i-{number}', 1, self.now_s - 0.1, self.now_s
                ),
            )

    def next_trial_in_s(self):
        """Return when a part may be tried, None if it is not held."""
        holds = self.faults.holds([BAD.key])
        return holds[0].next_trial_s - self.now_s if holds else None


def seeded(ahead_s, ends):
    """Return a VM that has held a part, and one that was seeded by it."""
    old, fresh = Vm(), Vm(ahead_s)
    old.hold(ends)
    stored = old.held.export()
    old.now_s += LATER_S
    fresh.now_s = old.now_s
    fresh.held.seed(stored, 'store')
    return old, fresh


@pytest.mark.parametrize('ends', [2, 5, 8])
@pytest.mark.parametrize('ahead_s', APART.values(), ids=APART)
def test_fresh_vm_holds_a_stored_part_whatever_its_clock(ahead_s, ends):
    # Guards against a part that ends upstreams and is tried by each fresh VM
    # whose clock is ahead of the one that stored it.
    old, fresh = seeded(ahead_s, ends)
    assert old.next_trial_in_s() is not None
    assert fresh.next_trial_in_s() is not None
    assert fresh.next_trial_in_s() >= old.next_trial_in_s() - LATER_S


@pytest.mark.parametrize('ahead_s', APART.values(), ids=APART)
def test_fresh_vm_may_try_a_stored_part_soon_whatever_its_clock(ahead_s):
    # Guards against a sound part that is held back for as long as clocks are
    # apart.
    old, fresh = seeded(ahead_s, 2)
    assert fresh.next_trial_in_s() <= MOST_S
