"""Decide which prompts leave the prefill replicas to others.

This answers prompts of several kinds that come faster than the prefill
replicas compute them, as after a cold start: each would take the place that
ends it first, and prompts with a tight objective would queue behind others
that a decode replica computes in time.
"""

import collections.abc
import statistics

# Prefill replicas are short when half of them have at least this much queued.
SHORT_QUEUE_S = 0.05
# A decode replica is sure to be in time if it is expected to take at most this
# share of the time that is left to the objective.
SAFE_OBJECTIVE_SHARE = 0.4


def spares_prefill_replicas(
    queued_s: collections.abc.Collection[float],
    elsewhere_s: float,
    objective_left_s: float,
) -> bool:
    """Return whether a prompt is computed at its decode replica.

    queued_s is the work queued at each prefill replica, elsewhere_s the
    expected time to the first event without them.

    >>> spares_prefill_replicas([0.2, 0.2, 0.0], 0.3, 1.2)
    True
    >>> spares_prefill_replicas([0.2, 0.0, 0.0], 0.3, 1.2)
    False
    >>> spares_prefill_replicas([0.2, 0.2, 0.0], 0.6, 1.2)
    False
    """
    if statistics.median_low(queued_s) <= SHORT_QUEUE_S:
        return False
    return elsewhere_s <= SAFE_OBJECTIVE_SHARE * objective_left_s
