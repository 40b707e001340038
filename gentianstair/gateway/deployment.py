"""Say what a process is told of the deployment that it runs in."""

import typing


class Bounds(typing.NamedTuple):
    """What the users allow; seconds and shares, from the settings file."""

    drain_s: float
    grace_s: float
    config_apply_s: float
    config_stretch_s: float
    retry_ratio: float
    retry_window_s: float
    retry_allowance: float
    orders_fenced: bool
    lease_s: float
    usage_window_s: float
    usage_late_s: float
    prefix_reuse_s: float


class Deployment(typing.NamedTuple):
    """One VM's place in the deployment; addresses are HOST:PORT."""

    vm: str
    failure_domain: str
    region: str
    ip: str
    callers_address: str
    ready_address: str
    # Where peers find this VM, and where it looks for its first peers; the
    # latter may be out of date.
    peer_address: str
    peer_seeds: tuple[str, ...]
    store_address: str
    store_reads_per_s: float
    store_writes_per_s: float
    duties_address: str
    duty_calls_per_s: float
    memory_mb: float
    max_fds: int
    # Its share of a core times the core's speed.
    cores: float
    replica_heartbeat_s: float
    whole_system_starts: bool
    bounds: Bounds


class LiveSettings:
    """The settings in force; a reload replaces them whole."""

    def __init__(self, current: Deployment) -> None:
        self.current = current
