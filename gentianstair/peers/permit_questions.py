"""Ask a peer for a permit of an upstream that names a limit, and answer."""

import collections.abc

from gentianstair.core import permit_keeper
from gentianstair.core import upstream_limits
from gentianstair.generated import messages
from gentianstair.peers import link
from gentianstair.peers import questions

ANSWER_TIMEOUT_S = questions.ANSWER_TIMEOUT_S
# How long a VM without an answer does not ask again.
UNANSWERED_RETRY_S = 0.5

# Longer times in a message mean this one.
MAX_TIME_MS = 3600000

UNANSWERED = permit_keeper.Grant(
    False, UNANSWERED_RETRY_S, UNANSWERED_RETRY_S, UNANSWERED_RETRY_S
)

GrantPermit = collections.abc.Callable[
    [permit_keeper.Ask, int], collections.abc.Awaitable[permit_keeper.Grant]
]


class Questions:
    """The questions of this VM that have no answer yet."""

    def __init__(self) -> None:
        self._questions: questions.Questions[permit_keeper.Grant] = (
            questions.Questions()
        )

    async def ask(
        self, channel: link.Channel, ask: permit_keeper.Ask, hops: int
    ) -> permit_keeper.Grant:
        """Ask on a link; hops is how often the question may be passed on."""
        grant = await self._questions.ask(
            channel, lambda number: _encode_ask(number, ask, hops)
        )
        return UNANSWERED if grant is None else grant

    def handle_answer(self, message: messages.Permit) -> None:
        """Take an answer; one that comes too late is passed over."""
        self._questions.handle(
            message['id'],
            permit_keeper.Grant(
                message['granted'],
                _seconds(message['wait_ms']),
                _seconds(message['retry_ms']),
                _seconds(message['spare_wait_ms']),
            ),
        )


async def answer(
    message: messages.PermitAsk, grant_permit: GrantPermit, max_hops: int
) -> messages.Permit:
    """Return the answer to a question of a peer; raise DecodeError."""
    ask = permit_keeper.Ask(
        upstream_limits.UpstreamRun(message['replica'], message['started_ms']),
        upstream_limits.decode_rate(str(message['rate_per_s'])),
        _seconds(message['patience_ms']),
        message['last_resort'],
    )
    grant = await grant_permit(ask, min(max_hops, max(0, message['hops'])))
    return {
        'version': link.PROTOCOL_VERSION,
        'type': 'permit',
        'id': message['id'],
        'granted': grant.is_granted,
        'wait_ms': round(grant.wait_s * 1000),
        'retry_ms': round(grant.retry_s * 1000),
        'spare_wait_ms': round(grant.spare_wait_s * 1000),
    }


def _seconds(time_ms: int) -> float:
    """Return a time of a message, which may hold any number."""
    return min(max(0, time_ms), MAX_TIME_MS) / 1000


def _encode_ask(
    number: int, ask: permit_keeper.Ask, hops: int
) -> messages.PermitAsk:
    return {
        'version': link.PROTOCOL_VERSION,
        'type': 'permit_ask',
        'id': number,
        'replica': ask.run.name,
        'started_ms': ask.run.started_ms,
        'rate_per_s': ask.rate_per_s,
        'patience_ms': round(ask.patience_s * 1000),
        'last_resort': ask.is_last_resort,
        'hops': hops,
    }


__all__ = [
    'ANSWER_TIMEOUT_S',
    'UNANSWERED',
    'UNANSWERED_RETRY_S',
    'Questions',
    'answer',
]
