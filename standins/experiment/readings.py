"""Count refused requests that have run, under several readings of that."""

import collections.abc
import itertools
import typing

from standins.experiment import requesters
from standins.site import replica as replicas
from standins.soak import order
from standins.soak import record

MISDIRECTED = 421
# With the mark these deny a run, by the platform's pages.
DENIAL_STATUSES = (421, 429, 503)


def _began(arrival: record.Arrival) -> bool:
    return arrival.run is not None


def _is_unsaid(arrival: record.Arrival) -> bool:
    """Return whether its answer says nothing, or never came."""
    answer = arrival.answer
    return answer is None or answer.is_unsaid


def _has_other_status(arrival: record.Arrival) -> bool:
    answer = arrival.answer
    return answer is not None and answer.status not in DENIAL_STATUSES


def _has_flaw(arrival: record.Arrival) -> bool:
    answer = arrival.answer
    if answer is None:
        return True
    marks = ((), ('1',)) if answer.status == MISDIRECTED else (('1',),)
    return answer.signed or answer.marks not in marks


# Each counts what those before it do, and more.
READINGS: dict[str, collections.abc.Callable[[record.Arrival], bool]] = {
    'work began': _began,
    'an arrival whose answer does not deny': _is_unsaid,
    'a denial with another status': _has_other_status,
    'a denial with a flaw': _has_flaw,
    'any arrival': lambda _: True,
}


def refused(told: list[record.Told]) -> list[record.Told]:
    """Return the requests that may run once and got a promise."""
    return [
        one
        for one in told
        if not one.repeatable and one.status in requesters.PROMISES
    ]


def counts(
    told: list[record.Told], found: list[replicas.Replica]
) -> dict[str, list[record.Told]]:
    """Return the refused requests that have run, under each reading."""
    seen: dict[str, list[record.Told]] = {name: [] for name in READINGS}
    for one in refused(told):
        arrivals = [
            arrival
            for arrival in record.arrivals(found, one.request_id)
            if not arrival.came.is_prefill
        ]
        has_run = False
        for name, is_run in READINGS.items():
            has_run = has_run or any(map(is_run, arrivals))
            if has_run:
                seen[name].append(one)
    return seen


def after_prefill(
    told: list[record.Told], found: list[replicas.Replica]
) -> list[record.Told]:
    """Return the refused requests that were only prefilled."""
    return [
        one
        for one in refused(told)
        if any(one.request_id in replica.reads for replica in found)
        and not any(map(_began, record.arrivals(found, one.request_id)))
    ]


def ran_twice(
    told: list[record.Told], found: list[replicas.Replica]
) -> list[record.Told]:
    """Return the requests that may run once and began more than once."""
    return [
        one
        for one in told
        if not one.repeatable
        and sum(map(_began, record.arrivals(found, one.request_id))) > 1
    ]


class Streams(typing.NamedTuple):
    """What was seen of streams, over their callers' tries."""

    followed: int
    # By their callers.
    resumed: int
    # Runs that were to go on after an event; runs from a handle; both.
    resumed_runs: int
    from_handles: int
    resumed_from_handles: int
    # Those with flaws, as text.
    out_of_order: list[str]
    # Those with events of two versions, as text.
    mixed: list[str]


def streams(
    followed: dict[str, list[order.Part]],
    found: list[replicas.Replica],
    last: int,
) -> Streams:
    """Return what was seen of streams of last events, by their first id."""
    runs = [headers for replica in found for headers in replica.headers]
    resumed = [one for one in runs if 'last-event-id' in one]
    flawed = [
        (name, flaws, parts)
        for name, parts in followed.items()
        if (flaws := order.flaws(parts, last))
    ]
    return Streams(
        len(followed),
        sum(any(part.events for part in p[:-1]) for p in followed.values()),
        len(resumed),
        sum('x-kv-source' in headers for headers in runs),
        sum('x-kv-source' in headers for headers in resumed),
        [
            f'{name}: {", ".join(flaws)}: '
            f'{[[n for n, _ in part.events] for part in parts]}'
            for name, flaws, parts in flawed
        ],
        [
            f'{name}: {[_versions(part) for part in parts]}'
            for name, parts in followed.items()
            if len({v for part in parts for _, v in part.events}) > 1
        ],
    )


def _versions(part: order.Part) -> list[str]:
    """Return how many events of which version came, in order."""
    runs = itertools.groupby(version for _, version in part.events)
    return [f'{len(list(same))} of {version}' for version, same in runs]
