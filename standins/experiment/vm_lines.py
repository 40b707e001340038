"""Lay what VMs logged of requests beside what callers and replicas saw."""

import collections.abc
import json
import pathlib
import typing

from standins.site import replica as replicas
from standins.soak import record

ANSWER = 'answer'
NOT_SENT = 'not-sent'


class Line(typing.NamedTuple):
    """A VM's last line of a request."""

    status: int
    verdict: str
    # How its attempts ended, as text; empty if there was none.
    outcomes: str


class Differences(typing.NamedTuple):
    """Requests of which the lines tell something else, as text."""

    # How many requests have both a line and an answer.
    compared: int
    # The caller was told another status.
    other_status: list[str]
    # No attempt was sent, by the line, and a replica has an arrival.
    sent_unsaid: list[str]
    # It has not run, by the line, and a replica began to work on it.
    ran_unsaid: list[str]


def read(files: collections.abc.Iterable[pathlib.Path]) -> dict[str, Line]:
    """Return the last lines of requests by id, from VMs' logs."""
    found = {}
    for file in files:
        for text in file.read_text(errors='replace').splitlines():
            if f'"event": "{ANSWER}"' not in text:
                continue
            try:
                fields = json.loads(text)
            except ValueError:
                # A process that was killed may have cut its last line.
                continue
            found[fields['request_id']] = Line(
                fields['status'],
                fields['verdict'],
                fields.get('outcomes', ''),
            )
    return found


def differences(
    told: list[record.Told],
    found: list[replicas.Replica],
    lines: dict[str, Line],
) -> Differences:
    """Return where the lines differ from callers and replicas.

    A caller that got no status was told nothing.
    """
    came = {one.request_id for replica in found for one in replica.came}
    began = {one.request_id for replica in found for one in replica.runs}
    pairs = [
        (one, lines[one.request_id])
        for one in told
        if one.status and one.request_id in lines
    ]
    return Differences(
        len(pairs),
        [_text(*pair) for pair in pairs if pair[0].status != pair[1].status],
        [
            _text(one, line)
            for one, line in pairs
            if one.request_id in came and _says_not_sent(line)
        ],
        [
            _text(one, line)
            for one, line in pairs
            if one.request_id in began and line.verdict == 'NOT_RUN'
        ],
    )


def _text(told: record.Told, line: Line) -> str:
    return (
        f'id {told.request_id} {told.kind} at {told.vm} told {told.status}, '
        f'its line: {line.status} {line.verdict} ({line.outcomes})'
    )


def _says_not_sent(line: Line) -> bool:
    return set(filter(None, line.outcomes.split(', '))) <= {NOT_SENT}


__all__ = ['Differences', 'Line', 'differences', 'read']
