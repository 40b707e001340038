"""Make the calls to the platform that are one holder's duty at a time."""

import collections.abc

from gentianstair import errors
from gentianstair import verdict as verdicts
from gentianstair.control import lease
from gentianstair.util import checked_call

# The call is dropped when it was not delivered for this long. It must be
# well below what is left of a lease that was just renewed, and many times
# the few milliseconds that a call takes.
CALL_LIFETIME_S = 0.6
CALL_TIMEOUT_S = 0.8


class CloudClient:
    """Report usage and order replicas, with the holder's epoch."""

    def __init__(self, address: str, vm: str) -> None:
        self._address = address
        self._vm = vm

    async def report_usage(
        self,
        authority: lease.Authority,
        window: int,
        counts: collections.abc.Mapping[str, int],
    ) -> None:
        """Report a window's counts; raise UpstreamError, LeaseLostError."""
        body = {'window': window, 'counts': dict(counts)}
        await self._post(authority, '/usage', body)

    async def order_replicas(
        self,
        authority: lease.Authority,
        service: str,
        failure_domain: str,
        count: int,
        reclaimable: bool = False,
    ) -> None:
        """Order a number of replicas of one kind in a failure domain.

        Raise UpstreamError and LeaseLostError; TurnedAwayError when none
        are to be had there now.
        """
        body: dict[str, str | int | bool] = {
            'service': service,
            'zone': failure_domain,
            'desired': count,
        }
        if reclaimable:
            body['spot'] = True
        await self._post(authority, '/scale', body)

    async def _post(
        self,
        authority: lease.Authority,
        path: str,
        body: collections.abc.Mapping,
    ) -> None:
        answer = await checked_call.call(
            f'http://{self._address}{path}',
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
        if answer.status == 409:
            raise errors.TurnedAwayError(
                f'{path}: none to be had now', answer.status
            )
        if answer.status != 200:
            raise errors.UpstreamError(
                f'{path}: {answer.status} {answer.body} to {body}',
                verdicts.Verdict.NOT_RUN,
            )
