"""Test what the answers of the platform to a leader's calls mean."""

import pytest

from gentianstair import errors
from gentianstair import verdict
from gentianstair.control import lease
from gentianstair.platform import cloud_client
from gentianstair.util import leased_call


@pytest.fixture
def authority():
    found = lease.Authority('duties', 'vm-1', 7, lambda: 0.0)
    found.valid_until_s = 60.0
    return found


def answering(monkeypatch, status):
    """Return a client whose calls get this status."""

    async def call(*_, **__):
        return leased_call.Response(status, b'{}')

    monkeypatch.setattr(leased_call, 'call', call)
    return cloud_client.CloudClient(lambda: '127.0.0.1:1', 'vm-1')


@pytest.mark.parametrize(
    ('status', 'error'),
    [
        (200, None),
        (409, errors.UpstreamRejectedError),
        (429, errors.UpstreamError),
        (500, errors.UpstreamError),
    ],
)
async def test_refused_order_says_whether_capacity_is_missing(
    status, error, authority, monkeypatch
):
    client = answering(monkeypatch, status)
    if error is None:
        await client.order_replicas(authority, 's', 'a', 3)
        return
    with pytest.raises(errors.UpstreamError) as raised:
        await client.order_replicas(authority, 's', 'a', 3)
    assert type(raised.value) is error


async def test_refused_report_is_not_called_missing_capacity(
    authority, monkeypatch
):
    # A window that was reported with other counts would look like an order.
    client = answering(monkeypatch, 409)
    with pytest.raises(errors.UpstreamError, match='/usage: status 409') as e:
        await client.report_usage(authority, 5, {'club': 1})
    assert not isinstance(e.value, errors.UpstreamRejectedError)


@pytest.mark.parametrize('status', [429, 500, 503, 504])
async def test_call_without_a_confirmation_may_have_taken_effect(
    status, authority, monkeypatch
):
    # Guards against a report that is sent again though it was taken.
    client = answering(monkeypatch, status)
    with pytest.raises(errors.UpstreamError) as raised:
        await client.report_usage(authority, 5, {'club': 1})
    assert raised.value.verdict is verdict.Verdict.MAY_HAVE_RUN
