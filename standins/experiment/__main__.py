"""Play a described site: python -m standins.experiment SHEET --seeds 3."""

import argparse
import pathlib
import sys
import tempfile

import loguru
import trio

from standins.experiment import play
from standins.experiment import single_events
from standins.experiment import troubles
from standins.experiment import vm_lines
from standins.site import sheet as sheets

LENGTH_S = 60.0
SHARE = 0.3
MAX_SHOWN = 5


def _settings() -> list[play.Setting]:
    """Return what the command line asks for."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('sheet', type=pathlib.Path)
    parser.add_argument('--first', type=int, default=1)
    parser.add_argument('--seeds', type=int, default=1)
    parser.add_argument('--length-s', type=float, default=LENGTH_S)
    parser.add_argument('--share', type=float, default=SHARE)
    parser.add_argument('--odd', choices=troubles.ODD, default='none')
    parser.add_argument(
        '--starts-over',
        choices=('always', 'with-handle'),
        default='',
        help='resumed runs that begin anew',
    )
    parser.add_argument(
        '--leaves',
        type=float,
        default=0.0,
        help='share of tries at streams that callers leave, to resume them',
    )
    parser.add_argument('--product', type=pathlib.Path, help='a checkout')
    parser.add_argument(
        '--event',
        choices=('each', single_events.PAIR, *single_events.EVENTS),
        default='',
        help='the only trouble; each: one play for each of them; pair: two '
        'of them that the seed draws',
    )
    found = parser.parse_args()
    events = [found.event]
    if found.event == 'each':
        events = list(single_events.EVENTS)
    sheet = sheets.read(found.sheet)
    return [
        play.Setting(
            sheet,
            found.first + number,
            found.length_s,
            found.share,
            found.odd,
            found.product and found.product.resolve(),
            found.starts_over,
            found.leaves,
            event,
        )
        for number in range(found.seeds)
        for event in events
    ]


def main() -> int:
    """Play the seeds asked for; return 1 if a rule was broken."""
    settings = _settings()
    loguru.logger.remove()
    red = 0
    for setting in settings:
        with tempfile.TemporaryDirectory() as folder:
            result = trio.run(play.play, setting, pathlib.Path(folder))
        red += bool(
            result.ran['work began']
            or result.ran_twice
            or result.streams.out_of_order
            or result.streams.mixed
        )
        _print(setting, result)
    return 1 if red else 0


def _print(setting: play.Setting, result: play.Result) -> None:
    told = ', '.join(f'{n} x {s}' for s, n in result.statuses.most_common())
    print(
        f'seed {setting.seed} {setting.event}: '
        f'{sum(result.statuses.values())} requests ({told}), '
        f'{result.run_once} may run once, {result.run_once_served} of them '
        f'served, {result.refused} refused, '
        f'{len(result.after_prefill)} after a prefill, '
        f'{len(result.ran_twice)} ran twice',
        flush=True,
    )
    _print_differences(result.differences)
    streams = result.streams
    print(
        f'  {streams.followed} streams, {streams.resumed} resumed by callers, '
        f'{streams.resumed_runs} runs resumed, '
        f'{streams.from_handles} from a handle, '
        f'{streams.resumed_from_handles} both, '
        f'{len(streams.out_of_order)} out of order over tries, '
        f'{len(streams.mixed)} of two versions',
        flush=True,
    )
    for lines in (streams.out_of_order, streams.mixed):
        for line in lines[:MAX_SHOWN]:
            print(f'    {line}', flush=True)
    shown: set[str] = set()
    for name, lines in result.ran.items():
        print(f'  refused and has run, {name}: {len(lines)}', flush=True)
        for line in [line for line in lines if line not in shown][:MAX_SHOWN]:
            print(f'    {line}', flush=True)
        shown.update(lines)


def _print_differences(found: vm_lines.Differences) -> None:
    print(
        f'  of {found.compared} with a line of their VM: '
        f'{len(found.other_status)} told another status, '
        f'{len(found.sent_unsaid)} sent though it says not, '
        f'{len(found.ran_unsaid)} ran though it says not',
        flush=True,
    )
    for texts in found[1:]:
        for text in texts[:MAX_SHOWN]:
            print(f'    {text}', flush=True)


if __name__ == '__main__':
    sys.exit(main())
