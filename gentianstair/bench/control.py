"""Measure what a node spends on the fleet itself, as processes."""

import argparse
import sys
import time

from gentianstair.bench import cluster as clusters
from gentianstair.bench import lines
from gentianstair.bench import spread

WINDOW_S = 6.0
# Changes a second in the busy window: enough to see what one costs.
BUSY_PER_S = 5.0
# The target's 7,700 changes a day, in changes a second.
TARGET_PER_S = 7700 / 86400
SETTLE_S = 8.0
# The least share of a node's bytes by type that is worth a line.
LEAST_SHARE = 0.02


def idle(cluster: clusters.Cluster) -> clusters.Use:
    """Return the use while nothing changes."""
    first = cluster.reports()
    time.sleep(WINDOW_S)
    return clusters.use_between(first, cluster.reports())


def busy(cluster: clusters.Cluster, writer: spread.Writer) -> clusters.Use:
    """Return the use while changes are written at BUSY_PER_S."""
    first = cluster.reports()
    begin_s = time.monotonic()
    for number in range(int(WINDOW_S * BUSY_PER_S)):
        writer.write()
        due_s = begin_s + (number + 1) / BUSY_PER_S
        time.sleep(max(0.0, due_s - time.monotonic()))
    return clusters.use_between(first, cluster.reports())


def _mean(values: list[float]) -> float:
    return sum(values) / len(values)


def _at_target(quiet: float, loaded: float) -> float:
    """Return a cost at 7,700 changes a day, between two measured rates."""
    return quiet + (loaded - quiet) * TARGET_PER_S / BUSY_PER_S


def _figures(
    arm: str, quiet: clusters.Use, loaded: clusters.Use
) -> list[lines.Figure]:
    made = []
    for label, pick in (('mean', _mean), ('max', max)):
        cpu = [100 * pick(use.cpu_share) for use in (quiet, loaded)]
        rate = [pick(use.bytes_per_s) for use in (quiet, loaded)]
        made += [
            lines.Figure(f'cpu_idle_{label}', arm, round(cpu[0], 3), '%'),
            lines.Figure(
                f'cpu_at_7700_a_day_{label}',
                arm,
                round(_at_target(*cpu), 3),
                '%',
            ),
            lines.Figure(f'bytes_idle_{label}', arm, round(rate[0]), 'B/s'),
            lines.Figure(
                f'bytes_at_7700_a_day_{label}',
                arm,
                round(_at_target(*rate)),
                'B/s',
            ),
        ]
    resident = max(loaded.resident_bytes) / 1e6
    made.append(lines.Figure('resident_max', arm, round(resident, 1), 'MB'))
    for purpose in sorted({*quiet.calls_per_s, *loaded.calls_per_s}):
        calls = [use.calls_per_s.get(purpose, 0.0) for use in (quiet, loaded)]
        label = purpose.replace(' ', '_')
        made.append(
            lines.Figure(
                f'store_{label}_at_7700_a_day',
                arm,
                round(_at_target(*calls), 2),
                'calls/s in all',
            )
        )
    return made


def _parts(arm: str, use: clusters.Use) -> list[lines.Figure]:
    """Return the bytes by type of message, the largest slope first."""
    total = sum(use.bytes_by_type.values()) or 1.0
    ordered = sorted(use.bytes_by_type.items(), key=lambda pair: -pair[1])
    return [
        lines.Figure(f'bytes_idle_{label}', arm, round(value), 'B/s')
        for label, value in ordered
        if value > LEAST_SHARE * total
    ]


def run_arm(
    args: argparse.Namespace, name: str, number: int
) -> list[lines.Figure]:
    """Measure one arm at one number of nodes."""
    arm = spread.ARMS[name]
    label = f'{name}/{number}'
    with clusters.open_cluster(number, arm, args.seed) as cluster:
        cluster.start_all(90.0)
        # Only peers have links to settle.
        time.sleep(args.settle_s if arm == 'peers' else 1.0)
        quiet = idle(cluster)
        loaded = busy(cluster, spread.Writer(cluster))
        made = _figures(label, quiet, loaded) + _parts(label, quiet)
        reports = cluster.reports().values()
        links = [one['links'] for one in reports]
        ages = [one['age_s'] for one in reports if one['age_s'] is not None]
    made.append(lines.Figure('links_mean', label, _mean(links), 'links'))
    made.append(lines.Figure('links_max', label, max(links), 'links'))
    if ages:
        age_s = round(max(ages), 2)
        made.append(lines.Figure('config_age_max', label, age_s, 's'))
    return made


def main(argv: list[str]) -> int:
    """Run the experiment and return the exit code."""
    parser = argparse.ArgumentParser(prog='bench control')
    parser.add_argument('--nodes', type=int, default=16)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--json', action='store_true')
    parser.add_argument('--arm', choices=sorted(spread.ARMS), action='append')
    parser.add_argument('--settle-s', type=float, default=SETTLE_S)
    args = parser.parse_args(argv)
    figures = []
    for arm in args.arm or spread.ARMS:
        figures += run_arm(args, arm, args.nodes)
    not_run = [f'nodes beyond {args.nodes}', 'callers, leases and claims']
    not_run.append('links under TLS')
    lines.show(figures, args.json, not_run)
    return 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
