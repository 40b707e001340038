"""Run one experiment by name: ``python -m gentianstair.bench NAME``."""

import importlib
import pkgutil
import sys

from gentianstair import bench

# Modules of this package that are no experiments.
HELPERS = frozenset(
    {
        '__main__',
        'baselines',
        'fleet',
        'limits_ways',
        'limits_world',
        'lines',
        'measures',
        'node',
        'plain_relay',
        'prompt_faults_world',
        'replica_limits_world',
        'stream_versions_world',
        'twins',
    }
)


def names() -> list[str]:
    """Return the names of all experiments."""
    found = {module.name for module in pkgutil.iter_modules(bench.__path__)}
    return sorted(found - HELPERS)


def main(argv: list[str]) -> int:
    """Run the experiment that argv names and return its exit code."""
    known = names()
    if not argv or argv[0] not in known:
        print(f'usage: bench {{{",".join(known)}}} [--seed N] [--json]')
        return 2
    module = importlib.import_module(f'gentianstair.bench.{argv[0]}')
    return module.main(argv[1:])


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
