"""Test what VMs tell each other of queues and limits."""

import pytest

from gentianstair.entry import admission
from gentianstair.entry import limits
from gentianstair.entry import sharing
from gentianstair.generated import messages

GOOD = {'version': 1, 'vm': 'vm-2', 'incarnation': 'a', 'rows': []}


@pytest.mark.parametrize(
    'summary',
    [
        {},
        {**GOOD, 'rows': None},
        {**GOOD, 'rows': [{}]},
        {**GOOD, 'rows': [{'customer': 1}]},
        {**GOOD, 'version': 'two'},
    ],
)
@pytest.mark.parametrize('part', ['queue', 'limits'])
def test_odd_summary_is_dropped(part, summary):
    # A VM of another version spreads a summary without a field. It comes
    # by way of others, and each VM that takes it raised a KeyError and
    # closed the link to the one that had only passed it on.
    if part == 'queue':
        merge = admission.make_queue().merge
        take = sharing.validated(messages.FairnessSummary, merge)
    else:
        made = limits.make_limits('vm-1', lambda name: limits.CustomerLimits())
        take = sharing.validated(messages.LimitsSummary, made.merge)
    before = sharing.DROPPED_SUMMARIES._value.get()
    take('vm-2', summary)
    assert sharing.DROPPED_SUMMARIES._value.get() == before + 1


def test_a_row_that_changed_once_is_sent_twice():
    rows = sharing.RowRepeater()
    one = {'customer': 'a', 'running': 1}
    first = rows.add_previous({**GOOD, 'rows': [one]})
    second = rows.add_previous({**GOOD, 'rows': []})
    third = rows.add_previous({**GOOD, 'rows': []})
    assert [len(s['rows']) for s in (first, second, third)] == [1, 1, 0]
