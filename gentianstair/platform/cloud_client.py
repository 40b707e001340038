"""Call the platform API that only the leader may use."""

import collections.abc

from gentianstair import errors
from gentianstair import verdict as verdicts
from gentianstair.control import lease
from gentianstair.util import leased_call

# A call that the platform has not received after this time is dropped, so
# that it cannot arrive after the lease has lapsed. Must be well below what is
# left of a lease that was just renewed, and many times the few milliseconds
# that a call takes.
CALL_LIFETIME_S = 0.6
CALL_TIMEOUT_S = 0.8
HTTP_OK = 200
HTTP_CONFLICT = 409


class CloudClient:
    """Reports usage and orders replicas, with the lease epoch as token."""

    def __init__(
        self, address_of: collections.abc.Callable[[], str], vm: str
    ) -> None:
        # The settings may name another address (HOST:PORT) at any time.
        self._address_of = address_of
        self._vm = vm

    async def report_usage(
        self,
        authority: lease.Authority,
        window: int,
        counts: collections.abc.Mapping[str, int],
    ) -> None:
        """Report the request counts of a window by customer.

        Raise UpstreamError or LeaseLostError.
        """
        body = {'window': window, 'counts': dict(counts)}
        response = await self._post(authority, '/usage', body)
        _check_status('/usage', response, body)

    async def order_replicas(
        self,
        authority: lease.Authority,
        service: str,
        failure_domain: str,
        count: int,
        reclaimable: bool = False,
    ) -> None:
        """Set the desired number of replicas of a service in a failure domain.

        On-demand and reclaimable replicas are ordered separately. Raise
        UpstreamRejectedError if no capacity is available there, and
        UpstreamError or LeaseLostError.
        """
        body: dict[str, str | int | bool] = {
            'service': service,
            'zone': failure_domain,
            'desired': count,
        }
        if reclaimable:
            body['spot'] = True
        response = await self._post(authority, '/scale', body)
        if response.status == HTTP_CONFLICT:
            raise errors.UpstreamRejectedError(
                '/scale: no capacity available', response.status
            )
        _check_status('/scale', response, body)

    async def _post(
        self,
        authority: lease.Authority,
        path: str,
        body: collections.abc.Mapping,
    ) -> leased_call.Response:
        return await leased_call.call(
            f'http://{self._address_of()}{path}',
            'POST',
            body,
            check=lambda: authority.check(CALL_LIFETIME_S),
            lifetime_s=CALL_LIFETIME_S,
            timeout_s=CALL_TIMEOUT_S,
            headers={
                'X-Lease-Holder': self._vm,
                'X-Fencing-Token': str(authority.epoch),
            },
        )


def _check_status(
    path: str, response: leased_call.Response, body: collections.abc.Mapping
) -> None:
    """Raise UpstreamError for a call that the platform did not accept."""
    if response.status != HTTP_OK:
        raise errors.UpstreamError(
            f'{path}: status {response.status} {response.body} for {body}',
            verdicts.Verdict.MAY_HAVE_RUN,
        )
