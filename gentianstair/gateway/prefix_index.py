"""Believe which parts of prompts each replica keeps in its KV cache."""

import collections
import typing

from gentianstair.gateway import calls


class _Part(typing.NamedTuple):
    tokens: int
    # Whether the replica has said so, or a read of it has ended. One that is
    # only being read can't be copied to another replica yet.
    confirmed: bool


class _ReplicaCache:
    """One replica's parts, the least recently used first."""

    def __init__(self) -> None:
        self.parts: collections.OrderedDict[str, _Part] = (
            collections.OrderedDict()
        )
        self.tokens = 0

    def set(self, name: str, tokens: int, confirmed: bool) -> None:
        known = self.parts.pop(name, None)
        if known is not None:
            self.tokens -= known.tokens
            confirmed = confirmed or (
                known.confirmed and known.tokens >= tokens
            )
        if tokens:
            self.tokens += tokens
            self.parts[name] = _Part(tokens, confirmed)

    def kept(self, part: calls.PromptPart, confirmed: bool) -> int:
        """Return how many tokens of a part are kept."""
        known = self.parts.get(part.name)
        if known is None or (confirmed and not known.confirmed):
            return 0
        return min(known.tokens, part.tokens)


class PrefixIndex:
    """What each replica is believed to keep, from events and sendings."""

    def __init__(self) -> None:
        self._kept: dict[str, _ReplicaCache] = {}
        # The replicas that keep a part, by its name.
        self._holders: dict[str, set[str]] = {}

    def forget(self, replica: str) -> None:
        """Forget a replica that left, or started again with nothing."""
        kept = self._kept.pop(replica, None)
        for name in kept.parts if kept else ():
            self._drop_holder(replica, name)

    def _drop_holder(self, replica: str, name: str) -> None:
        holders = self._holders.get(name)
        if holders is not None:
            holders.discard(replica)
            if not holders:
                del self._holders[name]

    def replicas(self) -> typing.Iterable[str]:
        """Return the replicas that something is believed of."""
        return list(self._kept)

    def holders(self, prompt: calls.Prompt) -> typing.Collection[str]:
        """Return the replicas that keep the beginning of a prompt."""
        if not prompt.parts:
            return ()
        return self._holders.get(prompt.parts[0].name, ())

    def update(self, replica: str, part: str, tokens: int) -> None:
        """Take what a replica says it keeps of a part."""
        self._set(replica, part, tokens, confirmed=True)

    def _set(
        self, replica: str, part: str, tokens: int, confirmed: bool
    ) -> None:
        kept = self._kept.setdefault(replica, _ReplicaCache())
        kept.set(part, tokens, confirmed)
        if tokens:
            self._holders.setdefault(part, set()).add(replica)
        else:
            self._drop_holder(replica, part)

    def expect(
        self, replica: str, prompt: calls.Prompt, capacity_tokens: int
    ) -> list[str]:
        """Note that a prompt is being read; its parts will be kept.

        Requests that share a part and arrive before the replica's event
        says so would each be read elsewhere. Parts past the replica's
        memory, the least recently used, are believed gone. Return the names
        of those that are new.
        """
        kept = self._kept.setdefault(replica, _ReplicaCache())
        new = [p.name for p in prompt.parts if p.name not in kept.parts]
        for part in prompt.parts:
            self._set(replica, part.name, part.tokens, confirmed=False)
        while kept.tokens > capacity_tokens and len(kept.parts) > 1:
            self._set(replica, next(iter(kept.parts)), 0, confirmed=False)
        return new

    def confirm(self, replica: str, prompt: calls.Prompt) -> None:
        """Note that a prompt has been read."""
        kept = self._kept.get(replica)
        for part in prompt.parts if kept else ():
            if part.name in kept.parts:
                self._set(replica, part.name, part.tokens, confirmed=True)

    def retract(self, replica: str, parts: typing.Iterable[str]) -> None:
        """Take back what was expected of a read that failed."""
        if replica in self._kept:
            for part in parts:
                self._set(replica, part, 0, confirmed=False)

    def uncached_tokens(
        self, replica: str, prompt: calls.Prompt, confirmed: bool = False
    ) -> int:
        """Return how many tokens of a prompt the replica must read.

        A part counts only if all parts before it are cached whole, and with
        confirmed only if its prefill has ended.
        """
        kept = self._kept.get(replica)
        total = max(prompt.tokens, sum(part.tokens for part in prompt.parts))
        if kept is None:
            return total
        for part in prompt.parts:
            found = kept.kept(part, confirmed)
            total -= found
            if found < part.tokens:
                break
        return total
