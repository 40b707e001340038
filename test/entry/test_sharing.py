"""Test the exchange of fairness and limits summaries between VMs."""

import pytest

from gentianstair.entry import admission
from gentianstair.entry import limits
from gentianstair.entry import sharing
from gentianstair.generated import messages

VALID_SUMMARY = {'version': 1, 'vm': 'vm-2', 'incarnation': 'a', 'rows': []}


@pytest.mark.parametrize(
    'summary',
    [
        {},
        {**VALID_SUMMARY, 'rows': None},
        {**VALID_SUMMARY, 'rows': [{}]},
        {**VALID_SUMMARY, 'rows': [{'customer': 1}]},
        {**VALID_SUMMARY, 'version': 'two'},
    ],
)
@pytest.mark.parametrize('summary_type', ['queue', 'limits'])
def test_invalid_summary_is_dropped(summary_type, summary):
    # An exception for a summary of another version would close the link to
    # the VM that only forwarded it.
    if summary_type == 'queue':
        merge = admission.make_queue().merge
        handle = sharing.validated(messages.FairnessSummary, merge)
    else:
        customer_limits = limits.make_limits(
            'vm-1', lambda name: limits.CustomerLimits()
        )
        handle = sharing.validated(
            messages.LimitsSummary, customer_limits.merge
        )
    before = sharing.DROPPED_SUMMARIES._value.get()
    handle('vm-2', summary)
    assert sharing.DROPPED_SUMMARIES._value.get() == before + 1


def test_row_of_an_unsent_summary_is_repeated_in_the_next():
    rows = sharing.RowRepeater()
    row = {'customer': 'a', 'running': 1}
    first = rows.add_previous({**VALID_SUMMARY, 'rows': [row]})
    second = rows.add_previous({**VALID_SUMMARY, 'rows': []})
    third = rows.add_previous({**VALID_SUMMARY, 'rows': []})
    assert [len(s['rows']) for s in (first, second, third)] == [1, 1, 0]
