"""Choose where a shared part of a prompt that nobody has cached is computed.

This answers the load of many VMs that get prompts with the same part within
the second or two until they know of each other's prefills, as after a cold
start or a reclaim. Each would compute the part at another replica. Instead
all prefer the same replica, the part's home: the second prompt waits there
for the first and computes only what they do not share.
"""

import typing

from gentianstair.gateway import calls
from gentianstair.gateway import hubs
from gentianstair.gateway import replicas

# The share of the part's prefill that a prompt is expected to save at each
# home, in order. A second home takes over when the first one has a queue.
EXPECTED_SAVINGS = (1.0, 0.5)
# Shorter parts have no home: they are computed in less time than a wait for
# another prompt takes.
MIN_HOME_TOKENS = 500


class Homes(typing.NamedTuple):
    """The homes of a part, by replica name, with the expected savings."""

    part: calls.PromptPart | None
    savings: dict[str, float]

    def saved_tokens(self, replica: str) -> float:
        """Return how many tokens of the part need not be computed there."""
        if self.part is None:
            return 0.0
        return self.savings.get(replica, 0.0) * self.part.tokens


NO_HOMES = Homes(None, {})


def shared_part(prompt: calls.Prompt) -> calls.PromptPart | None:
    """Return the last part that other prompts may share, if it is long.

    The last part of a prompt is its own.
    """
    if len(prompt.parts) < 2 or prompt.parts[-2].tokens < MIN_HOME_TOKENS:
        return None
    return prompt.parts[-2]


def choose(
    part: calls.PromptPart, fleet: typing.Iterable[replicas.Replica]
) -> Homes:
    """Return the homes of a part among the replicas of one stage.

    All VMs that see the same replicas choose the same homes.
    """
    names = hubs.top_ranked(
        (replica.name for replica in fleet), part.name, len(EXPECTED_SAVINGS)
    )
    return Homes(part, dict(zip(names, EXPECTED_SAVINGS, strict=False)))
