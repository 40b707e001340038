"""Measure how soon a change is in force on the last node, as processes."""

import argparse
import signal
import sys
import time
import typing

from gentianstair.bench import cluster as clusters
from gentianstair.bench import lines

# Changes a second in the steady part, some twenty times the target's
# 7,700 a day, so that a short run has a few.
STEADY_PER_S = 2.0
STEADY_CHANGES = 8
BURST = 200
LATE_S = 15.0
RESTART_SHARE = 0.04
OUTAGE_S = 8.0
ARMS = {'gentianstair': 'peers', 'watch_each': 'watch'}


class Round(typing.NamedTuple):
    """What one part of a run found, in seconds and in nodes."""

    delays_s: list[float]
    missing: int


class Writer:
    """Write changes to one key after the other, each a new object."""

    def __init__(self, cluster: clusters.Cluster) -> None:
        self._cluster = cluster
        self._number = 0

    def write(self) -> tuple[int, float]:
        """Create a key; return its version and when it was accepted."""
        self._number += 1
        name = f'{self._number:064x}'.replace('0', 'f', 1)
        version = self._cluster.write('key', name, clusters.key('c0'))
        return version, clusters.boottime_s()


def delays(
    cluster: clusters.Cluster,
    written: list[tuple[int, float]],
    names: typing.Iterable[str] = (),
) -> Round:
    """Wait for the last change; return the delay of each on each node."""
    wanted = list(names) or list(cluster.nodes)
    cluster.wait_revision(written[-1][0], LATE_S, wanted)
    found = []
    missing = 0
    for version, at_s in written:
        seen = cluster.in_force(version, wanted)
        missing += len(wanted) - len(seen)
        # The clock is read after the answer, which a node may beat.
        found += [max(0.0, seen_s - at_s) for seen_s in seen.values()]
    return Round(found, missing)


def steady(cluster: clusters.Cluster, writer: Writer) -> Round:
    """Write changes at a steady rate."""
    written = []
    for _ in range(STEADY_CHANGES):
        written.append(writer.write())
        time.sleep(1.0 / STEADY_PER_S)
    return delays(cluster, written)


def burst(cluster: clusters.Cluster, writer: Writer) -> Round:
    """Write changes as fast as the platform takes them; time the last."""
    written = [writer.write() for _ in range(BURST)]
    return delays(cluster, written[-1:])


def restart(cluster: clusters.Cluster, writer: Writer) -> Round:
    """Kill and start 4 % of the nodes, then write; a node each second."""
    number = max(1, round(len(cluster.names) * RESTART_SHARE))
    chosen = cluster.rng.sample(cluster.names, number)
    written = []
    for name in chosen:
        cluster.nodes[name].child.kill()
        cluster.nodes[name].child.wait()
        cluster.start(name)
        written.append(writer.write())
        time.sleep(1.0)
    others = [name for name in cluster.names if name not in chosen]
    found = delays(cluster, written, others)
    clusters.wait_until(
        lambda: all(cluster.nodes[name].find('fresh') for name in chosen),
        LATE_S,
    )
    return found


def outage(cluster: clusters.Cluster, writer: Writer) -> dict[str, float]:
    """Take the store away for a while; count nodes that stop serving."""
    begin_s = clusters.boottime_s()
    cluster.set_faults(down=True)
    time.sleep(OUTAGE_S)
    refused = count_refusing(cluster, begin_s)
    cluster.set_faults(down=False)
    found = delays(cluster, [writer.write()])
    return {
        'refused': refused,
        'last_s': max(found.delays_s, default=float('nan')),
        'missing': found.missing,
    }


def count_refusing(cluster: clusters.Cluster, begin_s: float) -> int:
    """Return how many nodes ceased to be fresh since begin_s."""
    return sum(
        1
        for one in cluster.nodes.values()
        if any(not line['fresh'] for line in one.find('fresh', begin_s))
    )


def domain_cut(cluster: clusters.Cluster, writer: Writer) -> dict[str, float]:
    """Cut a failure domain off from the others and from the store."""
    domain = cluster.domains[cluster.names[0]]
    away = [n for n, where in cluster.domains.items() if where == domain]
    rest = [name for name in cluster.names if name not in away]
    cluster.signal(signal.SIGUSR2, away)
    begin_s = clusters.boottime_s()
    time.sleep(1.0)
    found = delays(cluster, [writer.write()], rest)
    clusters.wait_until(
        lambda: count_refusing(cluster, begin_s) >= len(away),
        LATE_S,
        strict=False,
    )
    stale_s = [
        line['at_s'] - begin_s
        for name in away
        for line in cluster.nodes[name].find('fresh', begin_s)
        if not line['fresh']
    ]
    refused = count_refusing(cluster, begin_s)
    cluster.signal(signal.SIGUSR2, away)
    healed_s = clusters.boottime_s()
    version, _ = writer.write()
    seen = cluster.wait_revision(version, 2 * LATE_S, away)
    return {
        'rest_last_s': max(found.delays_s, default=float('nan')),
        'rest_missing': found.missing,
        'cut_off': len(away),
        'refused': refused,
        'stale_last_s': max(stale_s, default=float('nan')),
        'healed_last_s': max(seen.values(), default=0.0) - healed_s,
        'healed_missing': len(away) - len(seen),
    }


def _figures(arm: str, measure: str, found: Round) -> list[lines.Figure]:
    shares = (('p50', 0.5), ('p99', 0.99), ('p99.9', 0.999), ('max', 1.0))
    made = [
        lines.Figure(
            f'{measure}_{name}',
            arm,
            round(clusters.quantile(found.delays_s, share), 3),
            's',
        )
        for name, share in shares
    ]
    made.append(
        lines.Figure(f'{measure}_missing', arm, found.missing, 'node changes')
    )
    return made


def run_arm(args: argparse.Namespace, name: str) -> list[lines.Figure]:
    """Run one arm; the faults only where there is something to see."""
    made = []
    arm = ARMS[name]
    with clusters.open_cluster(args.nodes, arm, args.seed) as cluster:
        took_s = cluster.start_all(60.0)
        made.append(lines.Figure('all_fresh', name, round(took_s, 2), 's'))
        writer = Writer(cluster)
        time.sleep(2.0)
        made += _figures(name, 'steady_in_force', steady(cluster, writer))
        made += _figures(name, 'burst_last', burst(cluster, writer))
        if arm == 'watch' or args.no_faults:
            return made
        found = restart(cluster, writer)
        made += _figures(name, 'restart_in_force', found)
        for measure, part in (('outage', outage), ('domain_cut', domain_cut)):
            for label, value in part(cluster, writer).items():
                unit = 's' if label.endswith('_s') else 'nodes'
                figure = lines.Figure(
                    f'{measure}_{label}', name, round(value, 3), unit
                )
                made.append(figure)
    return made


def main(argv: list[str]) -> int:
    """Run the experiment and return the exit code."""
    parser = argparse.ArgumentParser(prog='bench spread')
    parser.add_argument('--nodes', type=int, default=16)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--json', action='store_true')
    parser.add_argument('--no-faults', action='store_true')
    parser.add_argument('--arm', choices=sorted(ARMS), action='append')
    args = parser.parse_args(argv)
    figures = []
    for arm in args.arm or ARMS:
        figures += run_arm(args, arm)
    not_run = [f'nodes beyond {args.nodes}', 'links with delay or loss']
    not_run += ['faults in the baseline arm']
    if args.no_faults:
        not_run.append('faults')
    lines.show(figures, args.json, not_run)
    return 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
