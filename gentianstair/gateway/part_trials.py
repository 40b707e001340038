"""Ask whether a request may try a part of prompts that is held back.

All VMs together make one trial at a time. The hub that ranks highest for the
part grants them; a leaf asks through its hub.
"""

import collections.abc
import typing

import loguru

from gentianstair.core import prompt_fault_rows
from gentianstair.core import prompt_faults
from gentianstair.generated import events
from gentianstair.generated import messages
from gentianstair.peers import link
from gentianstair.peers import questions
from gentianstair.util import clock as clocks

# Links that a question passes, as one for a permit.
MAX_HOPS = 3
# When to come back if nobody answers.
UNANSWERED_WAIT_S = 1.0
# A longer time in a message means this one.
MAX_WAIT_MS = 3600000

Grant = prompt_faults.Grant


class Keepers(typing.Protocol):
    """The VMs that grant; the keepers of permits are."""

    def is_own(self, name: str) -> bool:
        """Return whether this VM keeps what is known by this name."""

    def awaits_reports(self) -> bool:
        """Return whether this VM is new and no hub has told it anything."""

    def link_towards(self, name: str) -> link.Channel | None:
        """Return the link on which to ask the keeper, if there is one."""


class PartTrials:
    """The trials that this VM asks for, and those that it grants."""

    def __init__(
        self,
        faults: prompt_faults.PromptFaults,
        keepers: Keepers,
        clock: clocks.Clock,
    ) -> None:
        self._faults = faults
        self._keepers = keepers
        self._clock = clock
        self._questions: questions.Questions[Grant] = questions.Questions()

    async def ask(
        self, key: bytes, interval_s: float, hops: int = MAX_HOPS
    ) -> Grant:
        """Ask for a trial of a part; without an answer it is denied.

        interval_s is the least time since the latest end or trial.
        """
        name = key.hex()
        if self._keepers.is_own(name):
            if self._keepers.awaits_reports():
                # What it has read in the store may lack the latest ends.
                return Grant(False, UNANSWERED_WAIT_S)
            return self._faults.grant_trial(key, interval_s)
        channel = self._keepers.link_towards(name)
        known = self._faults.get(key)
        if channel is None or known is None or not hops:
            return Grant(False, UNANSWERED_WAIT_S)
        row = prompt_fault_rows.encode(key, known, self._clock())
        grant = await self._questions.ask(
            channel,
            lambda number: _encode_ask(number, row, interval_s, hops - 1),
        )
        if grant is None:
            loguru.logger.bind(
                event=events.PROMPT_PART_TRIAL, part=known.part.name
            ).info('no answer about a trial of a part')
        return grant or Grant(False, UNANSWERED_WAIT_S)

    async def answer(
        self, message: messages.PartTrialAsk
    ) -> messages.PartTrial:
        """Return the answer to another VM's question; raise DecodeError."""
        (told,) = prompt_fault_rows.decode([message['row']], self._clock())
        # The keeper may have just become one, and know nothing.
        self._faults.learn(told.key, told.known, 'trial')
        hops = min(MAX_HOPS - 1, max(0, message['hops']))
        interval_s = max(0, message['interval_ms']) / 1000
        grant = await self.ask(told.key, interval_s, hops)
        return {
            'version': link.PROTOCOL_VERSION,
            'type': 'part_trial',
            'id': message['id'],
            'granted': grant.is_granted,
            'wait_ms': round(grant.wait_s * 1000),
        }

    def handle_answer(self, message: messages.PartTrial) -> None:
        """Take a keeper's answer; one that comes too late is passed over."""
        wait_ms = min(max(0, message['wait_ms']), MAX_WAIT_MS)
        self._questions.handle(
            message['id'], Grant(message['granted'], wait_ms / 1000)
        )


def _encode_ask(
    number: int, row: list[typing.Any], interval_s: float, hops: int
) -> messages.PartTrialAsk:
    return {
        'version': link.PROTOCOL_VERSION,
        'type': 'part_trial_ask',
        'id': number,
        'row': row,
        'interval_ms': round(interval_s * 1000),
        'hops': hops,
    }


AskTrial = collections.abc.Callable[
    [bytes, float], collections.abc.Awaitable[Grant]
]
