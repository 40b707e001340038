"""Believe which parts of prompts each replica keeps in its KV cache."""

import collections
import typing

from gentianstair.gateway import calls


class _Kept:
    """One replica's parts, the least recently used first."""

    def __init__(self) -> None:
        self.parts: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self.tokens = 0

    def set(self, part: str, tokens: int) -> None:
        self.tokens += tokens - self.parts.pop(part, 0)
        if tokens:
            self.parts[part] = tokens


class PrefixCache:
    """What each replica is believed to keep, from events and sendings."""

    def __init__(self) -> None:
        self._kept: dict[str, _Kept] = {}

    def forget(self, replica: str) -> None:
        """Forget a replica that left, or started again with nothing."""
        self._kept.pop(replica, None)

    def replicas(self) -> typing.Iterable[str]:
        """Return the replicas that something is believed of."""
        return list(self._kept)

    def set(self, replica: str, part: str, tokens: int) -> None:
        """Take what a replica says it keeps of a part."""
        self._kept.setdefault(replica, _Kept()).set(part, tokens)

    def expect(
        self, replica: str, prompt: calls.Prompt, capacity_tokens: int
    ) -> list[str]:
        """Note that a prompt is being read; its parts will be kept.

        Requests that share a part and arrive before the replica's event
        says so would each be read elsewhere. Parts past the replica's
        memory, the least recently used, are believed gone. Return the names
        of those that are new.
        """
        kept = self._kept.setdefault(replica, _Kept())
        new = [p.name for p in prompt.parts if p.name not in kept.parts]
        for part in prompt.parts:
            kept.set(part.name, part.tokens)
        while kept.tokens > capacity_tokens and len(kept.parts) > 1:
            _, tokens = kept.parts.popitem(last=False)
            kept.tokens -= tokens
        return new

    def retract(self, replica: str, parts: typing.Iterable[str]) -> None:
        """Take back what was expected of a read that failed."""
        kept = self._kept.get(replica)
        if kept is not None:
            for part in parts:
                kept.set(part, 0)

    def unread_tokens(self, replica: str, prompt: calls.Prompt) -> int:
        """Return how many tokens of a prompt the replica must read.

        A part counts only if all parts before it are kept whole.
        """
        kept = self._kept.get(replica)
        total = max(prompt.tokens, sum(part.tokens for part in prompt.parts))
        if kept is None:
            return total
        for part in prompt.parts:
            found = min(kept.parts.get(part.name, 0), part.tokens)
            total -= found
            if found < part.tokens:
                break
        return total
