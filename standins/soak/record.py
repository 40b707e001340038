"""Tell of a request and its arrivals in the form of the users' records."""

import typing

from standins.site import replica as replicas
from standins.soak import callers

# Stands for what did not happen.
NONE = '-'


class Arrival(typing.NamedTuple):
    """A request at one replica, from its arrival to the answer."""

    replica: replicas.Replica
    came: replicas.Arrival
    run: replicas.Run | None
    answer: replicas.Answer | None


Named = typing.TypeVar(
    'Named', replicas.Arrival, replicas.Run, replicas.Answer
)


def _of(found: list[Named], request_id: str) -> list[Named]:
    return [one for one in found if one.request_id == request_id]


def arrivals(found: list[replicas.Replica], request_id: str) -> list[Arrival]:
    """Return the arrivals of a request at any replica, by replica."""
    return [
        arrival
        for replica in found
        for arrival in _arrivals_at(replica, request_id)
    ]


def _arrivals_at(replica: replicas.Replica, request_id: str) -> list[Arrival]:
    came = _of(replica.came, request_id)
    runs = _of(replica.runs, request_id)
    answers = _of(replica.answers, request_id)
    # Each lasts until the next one is read.
    ends_s = [*(one.read_s for one in came), float('inf')][1:]
    return [
        Arrival(
            replica,
            one,
            _first_between(runs, one.read_s, end_s),
            _first_between(answers, one.read_s, end_s),
        )
        for one, end_s in zip(came, ends_s, strict=True)
    ]


Timed = typing.TypeVar('Timed', replicas.Run, replicas.Answer)


def _first_between(
    found: list[Timed], from_s: float, to_s: float
) -> Timed | None:
    return next((one for one in found if from_s <= one.at_s < to_s), None)


def _time(at_s: float | None) -> str:
    return NONE if at_s is None else f'{at_s:.3f}'


def _arrival_text(arrival: Arrival, vm: str) -> str:
    replica, answer = arrival.replica, arrival.answer
    denied = answer is not None and answer.says_not_run
    return (
        f'[{replica.name} {replica.service}/{replica.version} '
        f'{replica.failure_domain} from {vm} '
        f'at {_time(arrival.came.at_s)} '
        f'ran {_time(arrival.run and arrival.run.at_s)} '
        f'end {_time(answer and answer.at_s)} '
        f'status {answer.status if answer else NONE}'
        f'{" says not run" if denied else ""}]'
    )


class Told(typing.NamedTuple):
    """A request, and what its caller was told."""

    request_id: str
    kind: str
    repeatable: bool
    method: str
    path: str
    vm: str
    at_s: float
    ended_s: float
    status: int


def of(sent: callers.Sent) -> Told:
    """Return what the caller of a soak's request was told."""
    path, method, repeatable = callers.KINDS[sent.kind]
    return Told(
        sent.request_id,
        sent.kind,
        repeatable,
        method,
        path,
        sent.vm,
        sent.at_s,
        sent.ended_s,
        sent.status,
    )


def line(told: Told, found: list[replicas.Replica]) -> str:
    """Return what was seen of a request, as one line.

    The VM that sent it to a replica is taken for the one that was asked.
    """
    seen = ' '.join(
        _arrival_text(arrival, told.vm)
        for arrival in arrivals(found, told.request_id)
    )
    return (
        f'id {told.request_id} {told.kind}/'
        f'{"safe" if told.repeatable else "unsafe"} {told.method} {told.path} '
        f'at node {told.vm} sent {_time(told.at_s)} end {_time(told.ended_s)} '
        f'answered status {told.status} {seen or "[no arrival]"}'
    )
