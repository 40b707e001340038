"""Show operators the parts of prompts that are held back, and lift a hold."""

import typing

import msgspec

from gentianstair import errors
from gentianstair.core import exchange as exchanges
from gentianstair.core import prompt_faults
from gentianstair.util import clock as clocks
from gentianstair.util import json_codec

PATH = '/operator/prompt-parts'
LIFT_PATH = '/operator/prompt-parts/lift'
JSON = 'application/json'
MAX_BODY_BYTES = 4096
BODY_TIMEOUT_S = 2.0


class Lift(msgspec.Struct):
    """What an operator asks for."""

    part: str


def rows(
    faults: prompt_faults.PromptFaults, now_s: float
) -> list[dict[str, typing.Any]]:
    """Return a row for each part that is held back, the latest end first."""
    held = sorted(
        faults.all_held().values(), key=lambda one: -one.ends[-1].ended_s
    )
    return [
        {
            'part': one.part.name,
            'service': one.part.service,
            'model': one.part.model,
            'ends_in_turn': one.ends_in_turn,
            'replicas': [end.upstream for end in one.ends],
            'last_end_age_s': round(now_s - one.ends[-1].ended_s, 1),
            'trials': one.trials,
            'next_trial_in_s': round(
                max(0.0, one.next_trial_s(one.trial_interval_s) - now_s), 1
            ),
        }
        for one in held
    ]


async def serve(
    exchange: exchanges.Exchange,
    faults: prompt_faults.PromptFaults,
    clock: clocks.Clock,
) -> bool:
    """Serve an operator's request; return false if it asks for nothing here.

    Raise RequestError if its body can't be had.
    """
    if (exchange.method, exchange.path) == ('GET', PATH):
        await _respond(exchange, 200, {'parts': rows(faults, clock())})
        return True
    if (exchange.method, exchange.path) != ('POST', LIFT_PATH):
        return False
    body = await exchange.read_body(MAX_BODY_BYTES, BODY_TIMEOUT_S)
    try:
        part = json_codec.decode(body, Lift).part
    except errors.DecodeError as error:
        await _respond(exchange, 400, {'problem': str(error)})
        return True
    await _respond(exchange, 200, {'lifted': faults.lift(part)})
    return True


async def _respond(
    exchange: exchanges.Exchange, status: int, value: dict[str, typing.Any]
) -> None:
    await exchange.respond(status, JSON, msgspec.json.encode(value))
