"""Encode and decode what VMs tell each other of parts of prompts.

Times are ages in ms. They are rounded down, so that a VM does not take what
it told itself, and gets back, for something earlier.
"""

import math
import typing

import loguru
import msgspec

from gentianstair import errors
from gentianstair.core import part_knowledge
from gentianstair.core import prompt_faults
from gentianstair.generated import events
from gentianstair.generated import messages
from gentianstair.util import clock as clocks

# Rows in one message; the rest goes with the next.
MAX_ROWS = 500
# Parts in an object of the store.
MAX_STORED = 50
# An age that stands for never.
NEVER_MS = -1


class _EndRow(typing.NamedTuple):
    upstream: str
    started_ms: int
    sent_age_ms: int
    ended_age_ms: int


class _Row(typing.NamedTuple):
    key: bytes
    service: str
    model: str
    name: str
    ends: list[_EndRow]
    answered_age_ms: int
    trial_age_ms: int
    trials: int


class Told(typing.NamedTuple):
    """A part that another VM tells of."""

    key: bytes
    known: prompt_faults.Knowledge


def encode(
    key: bytes, known: prompt_faults.Knowledge, now_s: float
) -> list[typing.Any]:
    """Return the row of a message that tells of a part."""
    limit = prompt_faults.MAX_NAME
    return [
        key,
        *(text[:limit] for text in known.part),
        [
            [
                end.upstream,
                end.started_ms,
                _age_ms(end.sent_s, now_s),
                _age_ms(end.ended_s, now_s),
            ]
            for end in known.ends
        ],
        _age_ms(known.answered_s, now_s),
        _age_ms(known.trial_s, now_s),
        known.trials,
    ]


def _age_ms(time_s: float, now_s: float) -> int:
    if time_s == -math.inf:
        return NEVER_MS
    return max(0, math.floor((now_s - time_s) * 1000))


def decode(rows: typing.Any, now_s: float) -> list[Told]:
    """Return the parts in a message; raise DecodeError."""
    try:
        found = msgspec.convert(rows, list[_Row])
    except msgspec.ValidationError as error:
        raise errors.DecodeError(f'bad parts of prompts: {error}') from error
    return [Told(row.key, _decode_row(row, now_s)) for row in found]


def _decode_row(row: _Row, now_s: float) -> prompt_faults.Knowledge:
    return prompt_faults.Knowledge(
        prompt_faults.Part(row.service, row.model, row.name),
        tuple(
            prompt_faults.End(
                end.upstream,
                end.started_ms,
                _time_s(end.sent_age_ms, now_s),
                _time_s(end.ended_age_ms, now_s),
            )
            for end in row.ends[-part_knowledge.MAX_ENDS :]
        ),
        _time_s(row.answered_age_ms, now_s),
        _time_s(row.trial_age_ms, now_s),
        max(0, row.trials),
    )


def _time_s(age_ms: int, now_s: float) -> float:
    return -math.inf if age_ms < 0 else now_s - age_ms / 1000


class Feed:
    """What one VM that is linked to this one has not been told yet.

    The first rows tell of all parts that are held back, also of those that
    this VM has from others: these may be gone.
    """

    def __init__(
        self,
        faults: prompt_faults.PromptFaults,
        clock: clocks.Clock,
        to_hubs: bool,
    ) -> None:
        self._faults = faults
        self._clock = clock
        self._log = faults.hub_log if to_hubs else faults.log
        self._position = 0
        self._untold = dict.fromkeys(faults.all_held())

    def add_to(
        self, message: messages.GatewayLoad | messages.GatewayFeed
    ) -> None:
        """Add the next rows to a message, if there are any."""
        rows = self.take()
        if rows:
            message['part_faults'] = rows

    def take(self) -> list[list[typing.Any]]:
        """Return the rows of the next message."""
        changed = self._log.since(self._position)
        self._position = self._log.position
        self._untold.update(changed)
        rows = []
        now_s = self._clock()
        for key in list(self._untold)[:MAX_ROWS]:
            del self._untold[key]
            known = self._faults.get(key)
            if known is not None:
                rows.append(encode(key, known, now_s))
        return rows


def apply(
    faults: prompt_faults.PromptFaults,
    rows: typing.Any,
    now_s: float,
    source: str,
    to_hubs: bool = False,
) -> None:
    """Take what another VM tells of parts; raise DecodeError."""
    for told in decode(rows, now_s):
        faults.learn(told.key, told.known, source, to_hubs)


class Stored(msgspec.Struct):
    """The parts that are held back, as an object in the store has them."""

    # Unix time.
    written_ms: int = 0
    rows: list[list[typing.Any]] = []


class HeldParts:
    """The held parts of this VM, for processes that start later."""

    def __init__(
        self,
        faults: prompt_faults.PromptFaults,
        clock: clocks.Clock,
        wall_clock: clocks.Clock,
    ) -> None:
        self._faults = faults
        self._clock = clock
        self._wall_clock = wall_clock

    def export(self) -> Stored:
        """Return the held parts that changed last."""
        now_s = self._clock()
        held = list(self._faults.all_held().items())
        held.sort(key=lambda pair: pair[1].ends[-1].ended_s)
        return Stored(
            round(self._wall_clock() * 1000),
            [encode(key, known, now_s) for key, known in held[-MAX_STORED:]],
        )

    def seed(self, stored: Stored, source: str) -> None:
        """Take what another process has stored."""
        age_s = max(0.0, self._wall_clock() - stored.written_ms / 1000)
        try:
            apply(self._faults, stored.rows, self._clock() - age_s, source)
        except errors.DecodeError as error:
            loguru.logger.bind(event=events.MEMBER_UNREADABLE).warning(
                '{}', error
            )
