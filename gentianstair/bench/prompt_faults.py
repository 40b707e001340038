"""Compare ways to know a part of prompts that ends replicas.

Arms: ``none`` holds nothing back; ``once`` only makes no second attempt of a
request whose replica ended; ``own`` has each VM conclude from what it saw
itself; ``keeper`` counts at the hub that ranks highest for a part; ``merged``
has all hubs merge what they know and tell leaves what is held, as the gateway
does; ``all`` tells all VMs each end.
"""

import argparse
import typing

import loguru

from gentianstair.bench import lines
from gentianstair.bench import prompt_faults_world

Case = prompt_faults_world.Case
Way = prompt_faults_world.Way
WAYS = {
    'none': Way(holds=False, tells=False),
    'once': Way(holds=False, tells=False, second_attempt=False),
    'own': Way(tells=False),
    'keeper': Way(only_keeper=True),
    'merged': Way(),
    'all': Way(to_leaves=True),
}
CASES = {
    'calm': Case(),
    'rare': Case(bad_per_s=0.3),
    'often': Case(bad_per_s=30.0),
    'many-under-way': Case(under_way=400),
    'killed-tenth': Case(killed=0.1),
    'killed-most': Case(killed=0.6),
    'frozen-fifth': Case(frozen=0.2),
    'cut-quarter': Case(cut=0.25),
    'hub-dead': Case(dead_hub=True),
    'loss-twentieth': Case(loss=0.05),
    'own-ends': Case(own_ends_per_s=4.0),
}
# Replicas and sound requests a second for each VM.
REPLICAS_PER_VM = 1.5
SOUND_PER_VM = 7.5
# More sound requests than this a second only add to each VM's answers.
MAX_SOUND_PER_S = 3000.0


class Result(typing.NamedTuple):
    """What came of a play."""

    ended: int
    # Requests with the part that were sent by VMs in touch after the bound.
    sent_late: int
    # Of the sound requests, those that were rejected.
    rejected: float
    bytes_per_vm_s: float
    known_per_vm: float


def play(way: Way, case: Case, seed: int) -> Result:
    """Play a case with a way."""
    world = prompt_faults_world.World(case, way, seed)
    world.play()
    bound_s = float('inf')
    if len(world.ends_s) >= prompt_faults_world.BOUND_ENDS:
        fifth_s = sorted(world.ends_s)[prompt_faults_world.BOUND_ENDS - 1]
        bound_s = fifth_s + prompt_faults_world.CONTACT_S
    late = [
        at_s
        for at_s, vm in world.sent
        if at_s > bound_s and world.is_in_touch(vm, at_s)
    ]
    length_s = prompt_faults_world.END_S - prompt_faults_world.WARM_S
    known = sum(len(vm.faults) for vm in world.vms)
    return Result(
        len(world.ends_s),
        len(late),
        world.rejected / max(1, world.sound),
        world.bytes / case.vms / length_s,
        known / case.vms,
    )


def sized(case: Case, vms: int) -> Case:
    """Return a case at a size of the fleet."""
    return case._replace(
        vms=vms,
        replicas=round(REPLICAS_PER_VM * vms),
        sound_per_s=min(MAX_SOUND_PER_S, SOUND_PER_VM * vms),
    )


def main(argv: list[str]) -> int:
    """Print the figures of each way and case."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--vms', type=int, nargs='+', default=[8, 90, 300])
    parser.add_argument('--ways', nargs='+', default=list(WAYS))
    parser.add_argument('--cases', nargs='+', default=list(CASES))
    parser.add_argument('--json', action='store_true')
    found = parser.parse_args(argv)
    loguru.logger.remove()
    figures = []
    for vms in found.vms:
        for name in found.cases:
            for way in found.ways:
                result = play(WAYS[way], sized(CASES[name], vms), found.seed)
                figures += [
                    lines.Figure(f'{vms}/{name}/{field}', way, value, '-')
                    for field, value in result._asdict().items()
                ]
    lines.show(figures, found.json)
    return 0
