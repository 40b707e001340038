"""Check that VMs heed what replicas say of themselves in their answers."""

import collections
import collections.abc
import typing

from standins.site import replica as replicas

# A replica may get requests that were sent for so long after it has said that
# it leaves.
DRAIN_S = 2.0
# And from so long after it has asked for a pause, so many in its time.
NOTICE_S = 0.5
MOST_IN_A_PAUSE = 2


class Sender(typing.NamedTuple):
    """Who sent a request to a replica, and when its caller did."""

    vm: str
    at_s: float


FindSender = collections.abc.Callable[[str], Sender | None]
# Whether a VM's process was ended or paused between two moments.
IsExcused = collections.abc.Callable[[str, float, float], bool]


def sent_to_leaving(
    found: list[replicas.Replica], sender: FindSender, is_excused: IsExcused
) -> list[str]:
    """Return requests that came long after their VM was told."""
    breaches = []
    for replica in found:
        told_s: dict[tuple[str, int], float] = {}
        for told in replica.told_leaving:
            who = sender(told.request_id)
            if who is not None:
                told_s.setdefault((who.vm, told.born_ms), told.at_s)
        for arrival in replica.came:
            who = sender(arrival.request_id)
            if who is None:
                continue
            at_s = told_s.get((who.vm, arrival.born_ms))
            if at_s is None or who.at_s <= at_s + DRAIN_S:
                continue
            if not is_excused(who.vm, at_s, arrival.at_s):
                breaches.append(
                    f'{arrival.request_id} at {replica.name}, '
                    f'{who.at_s - at_s:.2f} s after {who.vm} was told'
                )
    return breaches


def sent_in_pauses(
    found: list[replicas.Replica], sender: FindSender, is_excused: IsExcused
) -> list[str]:
    """Return pauses in which a replica got too many of a VM's requests."""
    breaches = []
    for replica in found:
        came: dict[str, list[float]] = collections.defaultdict(list)
        for arrival in replica.came:
            who = sender(arrival.request_id)
            if who is not None:
                came[who.vm].append(arrival.at_s)
        for pause in replica.told_pauses:
            who = sender(pause.request_id)
            if who is None:
                continue
            end_s = pause.at_s + pause.pause_s
            count = sum(
                pause.at_s + NOTICE_S < at_s < end_s for at_s in came[who.vm]
            )
            if count <= MOST_IN_A_PAUSE:
                continue
            if not is_excused(who.vm, pause.at_s, end_s):
                breaches.append(
                    f'{replica.name} got {count} of {who.vm} in a pause'
                    f' of {pause.pause_s} s'
                )
    return breaches
