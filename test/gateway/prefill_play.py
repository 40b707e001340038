"""Play replicas that prefill one prompt after the other, in simulated time."""

import heapq
import itertools

from gentianstair.gateway import prefill_costs

# How many times as long a prefill takes at a decode replica.
DECODE_SLOWDOWN = 2.0


class Play:
    """A fleet of replicas that cache all they compute, and a schedule.

    ``coefficients`` are the seconds of latency, for a thousand tokens and
    for a million pairs at a prefill replica.
    """

    def __init__(self, fleet, coefficients):
        self.now_s = 0.0
        self.fleet = fleet
        self.coefficients = coefficients
        self.free_s = {replica.name: 0.0 for replica in fleet}
        self.cached = {replica.name: set() for replica in fleet}
        self.computed = set()
        # Tokens that were computed though some replica had computed them.
        self.repeated_tokens = 0
        self.events = []
        self.sequence = itertools.count()

    def schedule(self, at_s, callback):
        heapq.heappush(self.events, (at_s, next(self.sequence), callback))

    def advance(self, to_s):
        """Run the scheduled events up to a time, in order."""
        while self.events and self.events[0][0] <= to_s:
            self.now_s, _, callback = heapq.heappop(self.events)
            callback()
        self.now_s = to_s

    def prefill(self, replica, prompt, copied_from=None):
        """Return when the prefill of a prompt sent now ends."""
        latency_s, thousand_s, pairs_s = self.coefficients
        cached = self.cached[replica.name]
        if copied_from is not None:
            cached |= self.cached[copied_from]
        uncached = [part for part in prompt.parts if part.name not in cached]
        self.repeated_tokens += sum(
            part.tokens for part in uncached if part.name in self.computed
        )
        names = {part.name for part in prompt.parts}
        cached |= names
        self.computed |= names
        _, thousands, pairs = prefill_costs.features(
            sum(part.tokens for part in uncached), prompt.tokens
        )
        work_s = thousands * thousand_s + pairs * pairs_s
        if replica.stage == prefill_costs.DECODE:
            work_s *= DECODE_SLOWDOWN
        begins_s = max(self.now_s, self.free_s[replica.name])
        self.free_s[replica.name] = begins_s + work_s
        return begins_s + work_s + latency_s

    def prefill_by_plan(self, plan, prompt):
        """Return the replica of a plan's prefill, and when that ends."""
        replica = plan.prefill_replica or plan.decode_replica
        source = plan.copy.address
        source = source.partition(':')[0] if source else None
        return replica, self.prefill(replica, prompt, source)
