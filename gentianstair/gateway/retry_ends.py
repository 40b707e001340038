"""Name why no attempt at a replica follows a failed one, or a first."""

import enum

import prometheus_client

WITHHELD = prometheus_client.Counter(
    'gentianstair_retries_withheld',
    'Requests that ended without a further attempt after a failed one',
    ['reason'],
)


class NoRetry(enum.Enum):
    """Why no attempt follows."""

    # It may run once, and may have.
    RUN_ONCE = 'run-once'
    NO_TIME = 'no-time'
    # Replicas ended under the same request.
    HELD = 'held'
    # The route allows no more.
    MAX_ATTEMPTS = 'max-attempts'
    # The last connects to all that are left failed, or too many did.
    UNREACHABLE = 'unreachable'
    NO_REPLICA = 'no-replica'
    # The service's retry budget is spent.
    NO_BUDGET = 'no-budget'


__all__ = ['WITHHELD', 'NoRetry']
