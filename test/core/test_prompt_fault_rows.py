"""Test what VMs tell each other of parts under which upstreams end."""

import math

import pytest

from gentianstair import errors
from gentianstair.core import part_knowledge
from gentianstair.core import prompt_fault_rows
from gentianstair.core import prompt_faults

BAD = prompt_faults.Part('models', 'm', 'bad0')
BOOK = prompt_faults.Part('models', 'm', '5c1e')


class Vm:
    """One VM; its clock has nothing to do with that of others."""

    def __init__(self, offset_s=0.0):
        self.offset_s = offset_s
        self.shared_s = 0.0
        self.faults = prompt_faults.PromptFaults(self.clock)
        self.feeds = {}

    def clock(self):
        return self.shared_s + self.offset_s

    def end(self, part, upstream, at_s):
        self.shared_s = at_s
        end = prompt_faults.End(upstream, 1, self.clock() - 0.1, self.clock())
        self.faults.record_end([part], end)

    def tell(self, other, at_s, to_hubs=True):
        """Tell another VM what is new; return how many parts."""
        feed = self.feeds.setdefault(
            other, prompt_fault_rows.Feed(self.faults, self.clock, to_hubs)
        )
        self.shared_s = at_s
        rows = feed.take()
        other.shared_s = at_s + 0.002
        prompt_fault_rows.apply(other.faults, rows, other.clock(), 'peer')
        return len(rows)

    def is_held(self, part=BAD):
        return self.faults.is_any_held([part.key])


def test_ends_that_different_vms_saw_count_together():
    # Guards against five ends at five VMs, none of which sees a second.
    first, second, third = Vm(), Vm(1000.0), Vm(-50.0)
    first.end(BAD, 'i-1', 10.0)
    second.end(BAD, 'i-2', 10.5)
    first.tell(third, 10.6)
    second.tell(third, 10.7)
    assert third.is_held()
    assert not first.is_held()


def test_news_between_two_vms_comes_to_an_end():
    # Guards against VMs that tell each other the same for ever.
    first, second = Vm(), Vm(1000.0)
    for number in range(3):
        first.end(BAD, f'i-{number}', 10.0 + number)
    rows = [
        vm.tell(other, 20.0 + turn / 10)
        for turn in range(40)
        for vm, other in ((first, second), (second, first))
    ]
    assert sum(rows[4:]) == 0
    assert first.is_held() and second.is_held()


def test_first_news_have_what_was_learned_from_vms_that_are_gone():
    # Guards against fresh VMs that know nothing of what others saw.
    gone, there, fresh = Vm(), Vm(), Vm()
    for number in range(3):
        gone.end(BAD, f'i-{number}', 10.0 + number)
    gone.tell(there, 14.0)
    there.tell(fresh, 15.0, to_hubs=False)
    assert fresh.is_held()


def test_vm_that_knows_of_answers_tells_so():
    # Guards against a popular part that two ends at one VM hold everywhere.
    first, second = Vm(), Vm()
    second.shared_s = 9.0
    second.faults.record_answer([BOOK])
    first.end(BOOK, 'i-1', 10.0)
    first.tell(second, 10.1)
    second.tell(first, 10.2)
    first.end(BOOK, 'i-2', 10.5)
    assert not first.is_held(BOOK)
    first.tell(second, 10.6)
    assert not second.is_held(BOOK)


def test_answer_at_one_vm_lifts_the_part_at_all():
    first, second = Vm(), Vm()
    for number in range(3):
        first.end(BAD, f'i-{number}', 10.0 + number)
    first.tell(second, 13.0)
    second.shared_s = 14.0
    second.faults.record_answer([BAD])
    second.tell(first, 14.1)
    assert not first.is_held()
    assert not second.is_held()


def test_more_rows_than_a_message_takes_come_with_the_next(monkeypatch):
    monkeypatch.setattr(prompt_fault_rows, 'MAX_ROWS', 3)
    first, second = Vm(), Vm()
    for number in range(8):
        part = prompt_faults.Part('models', 'm', str(number))
        first.end(part, 'i-1', 10.0 + number)
    assert [first.tell(second, 20.0 + n) for n in range(4)] == [3, 3, 2, 0]


def test_stored_parts_are_as_old_as_they_are():
    # Guards against a restart of all VMs that forgets what ends replicas.
    before, after = Vm(), Vm(500.0)
    for number in range(5):
        before.end(BAD, f'i-{number}', 10.0 + number)
    stored = prompt_fault_rows.HeldParts(
        before.faults, before.clock, lambda: 1e9 + 15.0
    ).export()
    after.shared_s = 45.0
    prompt_fault_rows.HeldParts(
        after.faults, after.clock, lambda: 1e9 + 45.0
    ).seed(stored, 'gone')
    assert after.is_held()
    known = after.faults.get(BAD.key)
    assert after.clock() - known.ends[-1].ended_s == pytest.approx(31.0, abs=1)


@pytest.mark.parametrize(
    'rows',
    [
        17,
        [[]],
        [[17, 'models', 'm', 'bad0', [], -1, -1, 0]],
        [[b'k', 'models', 'm', 'bad0', [['i-1', 1, 2]], -1, -1, 0]],
        [[b'k', 'models', 'm', 'bad0', [], -1, -1, 'many']],
    ],
)
def test_odd_rows_are_told_apart(rows):
    with pytest.raises(errors.DecodeError):
        prompt_fault_rows.decode(rows, 100.0)


def test_large_numbers_in_rows_do_no_harm():
    ends = [['i-1', 1, 200, 100], ['i-2', 1, 50, 10]]
    row = [b'k' * 12, 'models', 'm', 'bad0', ends, -1, 5, 10**9]
    (found,) = prompt_fault_rows.decode([row], 100.0)
    assert found.known.answered_s == -math.inf
    assert found.known.trial_interval_s == part_knowledge.MAX_RARE_TRIAL_S
