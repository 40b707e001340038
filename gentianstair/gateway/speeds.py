"""Learn how fast the replicas of a service read prompts."""

# Assumed until something was read. Too low a figure only spreads work more
# evenly; it is replaced by the first measurements.
FIRST_TOKENS_PER_S = 25000.0
READS = 'prefill'
MAKES = 'decode'
# A replica that makes output reads prompts at half the speed of one that
# does nothing else, by the platform's description of its engines.
MAKER_SHARE = 0.5
# Reads shorter than this tell more of the steps between than of reading.
LEAST_TOKENS = 1500
# Weight of a faster and of a slower measurement. Waiting in the replica's
# queue makes a read look slow, never fast, so the speed follows fast ones.
FASTER = 0.3
SLOWER = 0.02


class ReadSpeeds:
    """Tokens of prompts that one replica reads a second, by service."""

    def __init__(self) -> None:
        self._speeds: dict[tuple[str, str], float] = {}

    def get(self, service: str, stage: str) -> float:
        """Return the speed of a service's replicas of one stage."""
        known = self._speeds.get((service, stage))
        if known is not None:
            return known
        if stage == MAKES:
            return MAKER_SHARE * self.get(service, READS)
        return FIRST_TOKENS_PER_S

    def note(
        self, service: str, stage: str, tokens: int, took_s: float
    ) -> None:
        """Take how long a read took, from its sending on."""
        if tokens < LEAST_TOKENS or took_s <= 0:
            return
        key = (service, stage)
        found = tokens / took_s
        known = self._speeds.get(key)
        if known is None:
            self._speeds[key] = found
            return
        weight = FASTER if found > known else SLOWER
        self._speeds[key] = known + weight * (found - known)
