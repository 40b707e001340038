"""Know which software versions of a service served lately."""

import collections.abc
import math
import typing

from gentianstair.core import upstream_limits
from gentianstair.util import clock as clocks

# A version that serves for longer may be unknown here.
MAX_AGE_S = 2.5
# So long after the time that a stream lasts it may still be resumed.
LATE_RESUME_S = 60.0
# No stream lasts for longer.
FORGET_S = 3600.0


# Stands for versions that nobody has told, or may not have.
UNTOLD = ''


class Versions(typing.NamedTuple):
    """The software versions of a service over some time."""

    found: frozenset[str]
    # Whether they are known for all of that time.
    is_complete: bool
    # Whether those that serve now are known.
    is_current: bool = True

    @property
    def only_one(self) -> str | None:
        """Return the version if there was one and it is known."""
        if len(self.found) != 1:
            return None
        (version,) = self.found
        return version or None

    def with_untold(self) -> 'Versions':
        """Return these with one more, which nobody has told."""
        return self._replace(found=self.found | {UNTOLD})

    @property
    def is_settled(self) -> bool:
        """Return whether all streams of that time are at one version."""
        return self.is_complete and self.only_one is not None


class VersionHistory:
    """The versions of each service, as a VM sees them in the registry."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        # By service, those that serve, and when others were last seen.
        self._current: dict[str, frozenset[str]] = {}
        self._gone_s: dict[str, dict[str, float]] = {}
        # When starts whose version nobody has told were last seen to serve.
        self._untold_s: dict[
            str, dict[upstream_limits.UpstreamRun, float]
        ] = {}
        # The longest time that was looked back over, by service.
        self._reach_s: dict[str, float] = {}
        # Since when no change can have been missed.
        self._complete_since_s = math.inf
        # Whether nothing served before this process started.
        self.is_of_first_start = False
        # How long ago the store last told this VM, or another told it.
        self.age_s: clocks.Clock = lambda: 0.0
        # Called when a service has a version that it did not have before.
        self.on_new_version: collections.abc.Callable[[], None] = lambda: None

    def begin(self) -> None:
        """Record that changes before now may have been missed."""
        self._complete_since_s = self._clock()

    def begin_at_start(self) -> None:
        """Record that this process learns of versions from now on."""
        self.begin()
        if self.is_of_first_start:
            self._complete_since_s = -math.inf

    def record(self, versions: dict[str, frozenset[str]]) -> None:
        """Record the versions that serve now, by service."""
        if versions == self._current:
            return
        now_s = self._clock()
        is_new = False
        for service in set(versions) | set(self._current):
            before = self._current.get(service, frozenset())
            after = versions.get(service, frozenset())
            is_new = is_new or bool(after - before)
            gone = {
                version: at_s
                for version, at_s in self._gone_s.get(service, {}).items()
                if at_s >= now_s - FORGET_S
            }
            gone.update(dict.fromkeys(before - after, now_s))
            self._gone_s[service] = gone
        self._current = versions
        if is_new:
            self.on_new_version()

    def record_untold(
        self, service: str, run: upstream_limits.UpstreamRun
    ) -> None:
        """Record that a start serves whose version nobody has told."""
        now_s = self._clock()
        known = self._untold_s.get(service, {})
        is_new = run not in known
        kept = {
            other: at_s
            for other, at_s in known.items()
            if at_s >= now_s - FORGET_S
        }
        self._untold_s[service] = {**kept, run: now_s}
        if is_new:
            self.on_new_version()

    def record_told(
        self, service: str, run: upstream_limits.UpstreamRun
    ) -> None:
        """Record that an entry tells a start's version."""
        self._untold_s.get(service, {}).pop(run, None)

    def widen(self, service: str, time_s: float) -> float:
        """Return the longest time that was asked for, this one included.

        A timeout that is lowered leaves streams that began under the other.
        """
        reach_s = max(time_s, self._reach_s.get(service, 0.0))
        self._reach_s[service] = min(FORGET_S, reach_s)
        return self._reach_s[service]

    def within(self, service: str, time_s: float) -> Versions:
        """Return the versions that served in the last time_s."""
        oldest_s = self._clock() - time_s
        is_current = self.age_s() <= MAX_AGE_S
        gone = self._gone_s.get(service, {})
        late = {version for version, at_s in gone.items() if at_s >= oldest_s}
        untold_s = self._untold_s.get(service, {})
        if any(at_s >= oldest_s for at_s in untold_s.values()):
            late.add(UNTOLD)
        return Versions(
            self._current.get(service, frozenset()) | late,
            is_current and self._complete_since_s <= oldest_s,
            is_current,
        )
