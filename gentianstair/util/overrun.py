"""Tell a time limit that passed while this process itself did not run."""

# A process that comes this much later to a time limit was held up: frozen, or
# without a processor. What it waited for may have come in time.
HELD_UP_S = 0.1


def was_held_up(due_s: float, now_s: float) -> bool:
    """Return whether a limit due at due_s passed with this process held up.

    >>> was_held_up(1.0, 1.02), was_held_up(1.0, 1.5)
    (False, True)
    """
    return now_s > due_s + HELD_UP_S
