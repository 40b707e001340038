"""Track the fleet's VMs, their status and their incarnations."""

import typing

import prometheus_client
import xxhash

from gentianstair.generated import messages

LIVE = 'live'
SUSPECT = 'suspect'
LEAVING = 'leaving'
GONE = 'gone'
# State of a VM that is no longer on the platform's list.
ABSENT = 'absent'
# How long a gone VM is remembered, so that a late claim of a slow peer does
# not bring it back.
FORGET_GONE_AFTER_S = 3600.0
# Within this time after the first claim about itself, a process takes a
# greater incarnation of its name for that of its predecessor, whose wall clock
# was ahead.
PREDECESSOR_WINDOW_S = 10.0

# Precedence of claims with equal incarnation and counter: the greater wins.
# Only the VM itself overrules a claim, by raising its counter.
_STATUS_PRECEDENCE = {LIVE: 0, SUSPECT: 1, LEAVING: 2, GONE: 3}

MEMBER_COUNT = prometheus_client.Gauge(
    'gentianstair_members', 'VMs known, by status.', ['status']
)


class Member(typing.NamedTuple):
    """What is known of one VM; peers dial it at ``address``.

    ``incarnation`` is the wall clock, in microseconds, at the start of its
    process, or 0 if only the platform's list named the VM. It tells a
    restarted VM from its predecessor of the same name. ``counter`` is raised
    by the VM itself to refute claims about its status.
    """

    name: str
    incarnation: int
    counter: int
    status: str
    failure_domain: str
    region: str
    address: str


def to_message(member: Member) -> messages.PeerMember:
    """Return the member as a message field."""
    return typing.cast(messages.PeerMember, member._asdict())


def from_message(message: messages.PeerMember) -> Member:
    """Return the member from a message field."""
    return Member(**message)


def _precedence(member: Member) -> tuple[int, int, int]:
    rank = _STATUS_PRECEDENCE.get(member.status, 0)
    return member.incarnation, member.counter, rank


class ListedState(typing.NamedTuple):
    """State of a VM on the platform's list, read at wall clock at_ms."""

    state: str
    at_ms: int


class Members:
    """All VMs known to one node.

    ``listed`` holds the platform's list, which may lag. Only this list
    removes a silent VM from the voters: otherwise each side of a partition
    would drop the other side and become a majority of what is left.
    """

    def __init__(self, own: Member) -> None:
        self.own_name = own.name
        self.by_name: dict[str, Member] = {own.name: own}
        self.listed: dict[str, ListedState] = {}
        self.suspect_since_s: dict[str, float] = {}
        self._gone_since_s: dict[str, float] = {}
        self._first_claim_s: float | None = None
        # Raised at each change; results computed from all members are cached
        # by it.
        self.generation = 0
        self._digest = (-1, 0)

    @property
    def own(self) -> Member:
        """Return this node's own record."""
        return self.by_name[self.own_name]

    def set_address(self, address: str) -> None:
        """Set this node's own address, known once it listens."""
        self.generation += 1
        self.by_name[self.own_name] = self.own._replace(address=address)

    def apply(
        self, members: typing.Iterable[Member], now_s: float
    ) -> list[Member]:
        """Apply newer records; return those to pass on to peers.

        A claim about this node itself, for example by a peer that could not
        reach it, is refuted with a greater counter.
        """
        applied = []
        for member in members:
            known = self.by_name.get(member.name)
            if known and _precedence(known) >= _precedence(member):
                continue
            if member.name == self.own_name:
                member = self._refute(member, now_s)
                if member is None:
                    continue
            self._set(member, now_s)
            applied.append(member)
        return applied

    def _refute(self, claim: Member, now_s: float) -> Member | None:
        own = self.own
        if self._first_claim_s is None:
            self._first_claim_s = now_s
        if claim.incarnation > own.incarnation:
            if now_s - self._first_claim_s > PREDECESSOR_WINDOW_S:
                # A later process has this name; this one must not compete
                # with it.
                return None
            return own._replace(incarnation=claim.incarnation + 1)
        if own.status == LEAVING and claim.status == LEAVING:
            return None
        return own._replace(counter=claim.counter + 1)

    def _set(self, member: Member, now_s: float) -> None:
        self.generation += 1
        self.by_name[member.name] = member
        if member.status == GONE:
            self._gone_since_s.setdefault(member.name, now_s)
        else:
            self._gone_since_s.pop(member.name, None)
        if member.status == SUSPECT:
            self.suspect_since_s.setdefault(member.name, now_s)
        else:
            self.suspect_since_s.pop(member.name, None)

    def set_status(self, name: str, status: str, now_s: float) -> list[Member]:
        """Set a status observed by this node; return the change, if any."""
        known = self.by_name.get(name)
        if known is None or known.status in (status, GONE):
            return []
        return self.apply([known._replace(status=status)], now_s)

    def leave(self, now_s: float) -> list[Member]:
        """Mark this node as leaving at the start of a planned stop."""
        own = self.own
        leaving = own._replace(status=LEAVING, counter=own.counter + 1)
        self._set(leaving, now_s)
        return [leaving]

    def expire_suspects(self, now_s: float, gone_s: float) -> list[Member]:
        """Mark VMs as gone that were suspect for longer than gone_s."""
        expired = [
            name
            for name, since_s in self.suspect_since_s.items()
            if now_s - since_s > gone_s
        ]
        return [
            member
            for name in expired
            for member in self.set_status(name, GONE, now_s)
        ]

    def apply_vm_list(
        self, entries: dict[str, ListedState], now_s: float
    ) -> tuple[dict[str, ListedState], list[Member]]:
        """Apply newer entries of the platform's list.

        Return the entries that changed and the members changed by them.
        """
        applied = {}
        changed = []
        for name, entry in entries.items():
            known = self.listed.get(name)
            if known is not None and known.at_ms >= entry.at_ms:
                continue
            self.generation += 1
            self.listed[name] = entry
            if known is not None and known.state == entry.state:
                # Only the time of reading is newer: passing it on would
                # resend the whole list for each VM that starts.
                continue
            applied[name] = entry
            if entry.state == LEAVING:
                changed += self.set_status(name, LEAVING, now_s)
            # A suspect VM that is off the list is gone. One that is heard
            # from is new, and the list lags.
            if entry.state == ABSENT and name in self.suspect_since_s:
                changed += self.set_status(name, GONE, now_s)
        return applied, changed

    def diff_vm_list(
        self, states: dict[str, str], now_ms: int
    ) -> dict[str, ListedState]:
        """Return the entries that a new reading of the list changes."""
        changes = {
            name: ListedState(state, now_ms)
            for name, state in states.items()
            if name not in self.listed or self.listed[name].state != state
        }
        for name, known in self.listed.items():
            if name not in states and known.state != ABSENT:
                changes[name] = ListedState(ABSENT, now_ms)
        return changes

    def digest(self) -> int:
        """Return a digest of the members and of the list, for comparison."""
        if self._digest[0] == self.generation:
            return self._digest[1]
        combined = 0
        for member in self.by_name.values():
            if member.status != GONE and member.incarnation:
                combined ^= xxhash.xxh64_intdigest(repr(member).encode())
        for name, entry in self.listed.items():
            if entry.state != ABSENT:
                combined ^= xxhash.xxh64_intdigest(
                    f'{name}/{entry.state}'.encode()
                )
        self._digest = (self.generation, combined)
        return combined

    def tree_domains(self) -> dict[str, str]:
        """Return the failure domain of each VM in the link topology, by name.

        A suspect VM stays in until it is gone, so that a slow VM does not
        make others change their links.
        """
        domains_by_name = {
            member.name: member.failure_domain
            for member in self.by_name.values()
            if member.status in (LIVE, SUSPECT)
        }
        domains_by_name[self.own_name] = self.own.failure_domain
        return domains_by_name

    def voters(self) -> set[str]:
        """Return the VMs that a majority is counted against."""
        names = set()
        for member in self.by_name.values():
            entry = self.listed.get(member.name)
            is_silent = member.status in (SUSPECT, GONE)
            is_off_list = entry is not None and entry.state == ABSENT
            if member.status == LIVE or (is_silent and not is_off_list):
                names.add(member.name)
        for name, entry in self.listed.items():
            if entry.state == LIVE:
                names.add(name)
        return names

    def forget_gone(self, now_s: float) -> None:
        """Drop VMs that are off the list and have long been gone."""
        for name, since_s in list(self._gone_since_s.items()):
            entry = self.listed.get(name)
            is_listed = entry is not None and entry.state != ABSENT
            if now_s - since_s > FORGET_GONE_AFTER_S and not is_listed:
                self.generation += 1
                del self._gone_since_s[name]
                self.by_name.pop(name, None)
                self.listed.pop(name, None)

    def update_metrics(self) -> None:
        """Set the metric of members by status."""
        for status in _STATUS_PRECEDENCE:
            count = sum(1 for m in self.by_name.values() if m.status == status)
            MEMBER_COUNT.labels(status).set(count)
