"""Track which prompt parts each replica holds in its KV cache."""

import collections
import typing

from gentianstair.gateway import calls


class _CachedPart(typing.NamedTuple):
    tokens: int
    # Whether the replica reported the part, or a prefill of it has ended.
    # Parts whose prefill is running can't be copied to other replicas yet.
    confirmed: bool


class _ReplicaCache:
    """The parts at one replica, the least recently used first."""

    def __init__(self) -> None:
        self.parts: collections.OrderedDict[str, _CachedPart] = (
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
            self.parts[name] = _CachedPart(tokens, confirmed)

    def cached_tokens(self, part: calls.PromptPart, confirmed: bool) -> int:
        known = self.parts.get(part.name)
        if known is None or (confirmed and not known.confirmed):
            return 0
        return min(known.tokens, part.tokens)


class PrefixIndex:
    """The parts at each replica, by cache events and requests sent there.

    It may be out of date: replicas evict parts before their events arrive.
    """

    def __init__(self) -> None:
        self._caches: dict[str, _ReplicaCache] = {}
        # The replicas that hold a part, by the part's name.
        self._holders: dict[str, set[str]] = {}

    def forget(self, replica: str) -> None:
        """Drop the parts of a replica that left or has restarted."""
        cache = self._caches.pop(replica, None)
        for name in cache.parts if cache else ():
            self._drop_holder(replica, name)

    def _drop_holder(self, replica: str, name: str) -> None:
        holders = self._holders.get(name)
        if holders is not None:
            holders.discard(replica)
            if not holders:
                del self._holders[name]

    def is_held(self, part: str) -> bool:
        """Return whether any replica holds a part, or is computing it."""
        return part in self._holders

    def holders(self, prompt: calls.Prompt) -> typing.Collection[str]:
        """Return the replicas that hold the first part of a prompt."""
        if not prompt.parts:
            return ()
        return self._holders.get(prompt.parts[0].name, ())

    def update(self, replica: str, part: str, tokens: int) -> None:
        """Record how many tokens of a part a replica reports as cached."""
        self._set(replica, part, tokens, confirmed=True)

    def _set(
        self, replica: str, part: str, tokens: int, confirmed: bool
    ) -> None:
        cache = self._caches.setdefault(replica, _ReplicaCache())
        cache.set(part, tokens, confirmed)
        if tokens:
            self._holders.setdefault(part, set()).add(replica)
        else:
            self._drop_holder(replica, part)

    def expect(
        self, replica: str, prompt: calls.Prompt, capacity_tokens: int
    ) -> list[str]:
        """Add the parts of a prompt whose prefill begins at a replica.

        So requests that share a part are sent to the same replica before its
        cache event arrives. The least recently used parts beyond the
        replica's capacity are dropped. Return the names of the new parts.
        """
        cache = self._caches.setdefault(replica, _ReplicaCache())
        new = [p.name for p in prompt.parts if p.name not in cache.parts]
        for part in prompt.parts:
            self._set(replica, part.name, part.tokens, confirmed=False)
        while cache.tokens > capacity_tokens and len(cache.parts) > 1:
            self._set(replica, next(iter(cache.parts)), 0, confirmed=False)
        return new

    def confirm(self, replica: str, prompt: calls.Prompt) -> None:
        """Mark the parts of a prompt as cached after its prefill."""
        cache = self._caches.get(replica)
        for part in prompt.parts if cache else ():
            if part.name in cache.parts:
                self._set(replica, part.name, part.tokens, confirmed=True)

    def retract(self, replica: str, parts: typing.Iterable[str]) -> None:
        """Drop the parts that expect() added for a prefill that failed."""
        if replica in self._caches:
            for part in parts:
                self._set(replica, part, 0, confirmed=False)

    def uncached_tokens(
        self, replica: str, prompt: calls.Prompt, confirmed: bool = False
    ) -> int:
        """Return how many tokens of a prompt a replica must compute.

        A part counts as cached only if all parts before it are cached whole.
        With confirmed, parts whose prefill is running don't count.
        """
        cache = self._caches.get(replica)
        uncached = max(
            prompt.tokens, sum(part.tokens for part in prompt.parts)
        )
        if cache is None:
            return uncached
        for part in prompt.parts:
            cached = cache.cached_tokens(part, confirmed)
            uncached -= cached
            if cached < part.tokens:
                break
        return uncached
