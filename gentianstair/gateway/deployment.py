"""Define the settings of the deployment that a process runs in."""

import typing

from gentianstair.limits import rate_limit


class Bounds(typing.NamedTuple):
    """Time limits, retry budget and guarantees from the settings file."""

    # How long after it starts draining a replica still serves; new requests
    # must stop going to it within this time.
    drain_s: float
    # How long a process may take to stop after SIGTERM.
    grace_s: float
    # Time in which a new configuration must be active, and how much longer
    # a VM without access to the store may take.
    config_apply_s: float
    config_stretch_s: float
    # Retries allowed in a window, over all VMs: retry_ratio times the
    # requests, plus retry_allowance.
    retry_ratio: float
    retry_window_s: float
    retry_allowance: float
    # Whether the platform rejects orders with an outdated fencing token.
    orders_fenced: bool
    lease_s: float
    # Length of a usage reporting window, and how late its report may be.
    usage_window_s: float
    usage_late_s: float
    # By how much the rate limits of customers may be exceeded.
    limit_tolerance: rate_limit.Tolerance = rate_limit.Tolerance()


class Deployment(typing.NamedTuple):
    """One VM's place in the deployment; addresses are HOST:PORT."""

    vm: str
    failure_domain: str
    region: str
    ip: str
    callers_address: str
    ready_address: str
    # Where peers connect to this VM, and where it looks for its first peers;
    # the seeds may be out of date.
    peer_address: str
    peer_seeds: tuple[str, ...]
    store_address: str
    store_reads_per_s: float
    store_writes_per_s: float
    duties_address: str
    duty_calls_per_s: float
    memory_mb: float
    max_fds: int
    # This process's share of a core times the core's relative speed.
    cores: float
    replica_heartbeat_s: float
    # Whether all VMs start for the first time, so that no earlier process
    # has held a lease or spent retries.
    whole_system_starts: bool
    bounds: Bounds


class LiveSettings:
    """The current settings; a reload replaces the whole object."""

    def __init__(self, current: Deployment) -> None:
        self.current = current
