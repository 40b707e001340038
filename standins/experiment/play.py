"""Play a described site once, with gateways as processes of their own."""

import collections
import pathlib
import typing

import trio

from standins.experiment import readings
from standins.experiment import requesters
from standins.experiment import troubles
from standins.experiment import vm_lines
from standins.site import sheet as sheets
from standins.site import site as sites
from standins.soak import record
from standins.soak import strikes

MIN_VMS = 10
# After the last trouble, for what is still under way.
REST_S = 5.0


class Setting(typing.NamedTuple):
    """What is played: which site, how, and by which product."""

    sheet: sheets.Sheet
    seed: int
    length_s: float
    # Of the traffic that the sheet describes.
    share: float
    # One of troubles.ODD.
    odd: str
    # The checkout whose gateways are played, None for this one.
    product: pathlib.Path | None
    # Which resumed runs begin anew at all replicas; see replicas.Faults.
    starts_over: str = ''
    # The share of tries at resumable streams that callers leave.
    leaves: float = 0.0
    # One of single_events.EVENTS, or its PAIR, which is then the only trouble.
    event: str = ''


class Result(typing.NamedTuple):
    """What a play showed."""

    statuses: collections.Counter[int]
    # Of requests that may run once: how many were asked, served, refused.
    run_once: int
    run_once_served: int
    refused: int
    # Refused requests that have run, under each reading, as records.
    ran: dict[str, list[str]]
    # Refused requests of which replicas read the prompt apart and began
    # nothing else.
    after_prefill: list[str]
    ran_twice: list[str]
    streams: readings.Streams
    differences: vm_lines.Differences


async def play(setting: Setting, folder: pathlib.Path) -> Result:
    """Play a setting; logs of the processes stay in folder."""
    sheet = setting.sheet
    vms = max(MIN_VMS, sheet.vms)
    config = sheets.config(sheet)
    found = sheets.make_replicas(sheet)
    faults = troubles.draw(
        setting.seed, setting.length_s, sheet, setting.odd, setting.event
    )
    async with sites.running(found, config) as site:
        async with trio.open_nursery() as nursery:
            soak = strikes.Soak(
                site,
                folder,
                vms,
                config,
                setting.product,
                setting.starts_over,
            )
            await soak.start_links(nursery)
            callers = requesters.Requesters(
                soak, sheet, setting.seed, setting.share, setting.leaves
            )
            try:
                await soak.start_all()
                nursery.start_soon(callers.run)
                began_s = trio.current_time()
                async with trio.open_nursery() as fault_nursery:
                    for fault in faults:
                        fault_nursery.start_soon(soak.strike, fault)
                left_s = setting.length_s - (trio.current_time() - began_s)
                await trio.sleep(max(REST_S, left_s))
            finally:
                await soak.kill_all()
            nursery.cancel_scope.cancel()
    lines = vm_lines.read(gateway.log for gateway in soak.gateways)
    return _result(callers, soak, lines)


def _result(
    callers: requesters.Requesters,
    soak: strikes.Soak,
    lines: dict[str, vm_lines.Line],
) -> Result:
    told, found = callers.told, soak.site.replicas
    run_once = [one for one in told if not one.repeatable]
    return Result(
        collections.Counter(one.status for one in told),
        len(run_once),
        sum(one.status == requesters.OK for one in run_once),
        len(readings.refused(told)),
        {
            name: [record.line(one, found) for one in ran]
            for name, ran in readings.counts(told, found).items()
        },
        [
            record.line(one, found)
            for one in readings.after_prefill(told, found)
        ],
        [record.line(one, found) for one in readings.ran_twice(told, found)],
        readings.streams(callers.followed, found, sheets.MAX_EVENTS),
        vm_lines.differences(told, found, lines),
    )
