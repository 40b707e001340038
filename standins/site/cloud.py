"""Take usage reports and orders for replicas, and keep what came."""

import typing

import quart
import quart_trio
import trio


class DutyCall(typing.NamedTuple):
    """One call as it arrived: when, from whom, with which epoch."""

    at_s: float
    holder: str
    epoch: int


class Cloud:
    """What the platform was told, in the order of arrival."""

    def __init__(self) -> None:
        self.reports: list[dict[str, typing.Any]] = []
        self.orders: list[dict[str, typing.Any]] = []
        # (holder, epoch) of each call.
        self.holders: list[tuple[str, int]] = []
        self.calls: list[DutyCall] = []

    def note_holder(self) -> None:
        """Keep who called."""
        headers = quart.request.headers
        holder = headers['x-lease-holder']
        epoch = int(headers['x-fencing-token'])
        self.holders.append((holder, epoch))
        self.calls.append(DutyCall(trio.current_time(), holder, epoch))

    def counts(self) -> dict[str, int]:
        """Return the requests reported so far, by customer."""
        found: dict[str, int] = {}
        for report in {r['window']: r for r in self.reports}.values():
            for customer, count in report['counts'].items():
                found[customer] = found.get(customer, 0) + count
        return found


def create_app(cloud: Cloud) -> quart_trio.QuartTrio:
    """Return the application of the platform's interface for duties."""
    app = quart_trio.QuartTrio('standins.site.cloud')

    @app.post('/usage')
    async def usage():
        cloud.note_holder()
        cloud.reports.append(await quart.request.get_json())
        return {}

    @app.post('/scale')
    async def scale():
        cloud.note_holder()
        cloud.orders.append(await quart.request.get_json())
        return {}

    return app
