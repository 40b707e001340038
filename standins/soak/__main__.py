"""Play seeds by hand: python -m standins.soak --seeds 50 --first 1."""

import argparse
import pathlib
import sys
import tempfile

import loguru
import trio

from standins.soak import plan
from standins.soak import run

LENGTH_S = 20.0


def main() -> int:
    """Play the seeds asked for; return 1 if one broke a promise."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--first', type=int, default=1)
    parser.add_argument('--seeds', type=int, default=1)
    parser.add_argument('--length-s', type=float, default=LENGTH_S)
    parser.add_argument('--plan', choices=plan.PLANS, default='both')
    parser.add_argument('--vms', type=int, help='how many gateways')
    parser.add_argument('--keep', type=pathlib.Path, help='folder for logs')
    found = parser.parse_args()
    loguru.logger.remove()
    red = 0
    for seed in range(found.first, found.first + found.seeds):
        with tempfile.TemporaryDirectory() as temporary:
            folder = pathlib.Path(temporary)
            if found.keep is not None:
                folder = found.keep / str(seed)
                folder.mkdir(parents=True, exist_ok=True)
            result = trio.run(
                run.play,
                seed,
                found.length_s,
                folder,
                plan.PLANS[found.plan],
                found.vms or run.default_vms(found.plan),
            )
        red += bool(result.breaches)
        print(
            f'seed {seed}: {result.served} of {result.sent} served, '
            f'{result.served_kept} of {result.sent_kept} on kept connections, '
            f'{result.crossed} crossed a close, '
            f'{result.gone_on} of {result.resumed} resumed streams went on, '
            f'late by {result.late.median_s} s, at most {result.late.most_s}, '
            f'read requests {result.read_late.median_s} s late, '
            f'at most {result.read_late.most_s}, '
            f'{len(result.breaches)} breaches',
            flush=True,
        )
        for breach in result.breaches[:20]:
            print(f'  {breach}', flush=True)
    return 1 if red else 0


if __name__ == '__main__':
    sys.exit(main())
