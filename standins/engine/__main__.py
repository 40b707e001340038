"""Run an engine stand-in: ``python -m standins.engine``."""

import argparse
import pathlib

import trio

from standins import history
from standins import serving
from standins.engine import app
from standins.engine import costs
from standins.engine import model


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog='engine')
    add = parser.add_argument
    add('--listen', default='127.0.0.1:0')
    add('--name', default='engine')
    add('--history', type=pathlib.Path)
    add('--role', default='mixed')
    add('--models', default='', help='names, comma between; none: any')
    add('--slow', type=float, default=1.0)
    add('--max-running', type=int, default=costs.DEFAULT.max_running)
    add('--time-scale', type=float, default=1.0)
    add('--load-lag-s', type=float, default=0.0)
    add('--event-delay-s', type=float, default=0.0)
    add('--event-loss', type=float, default=0.0)
    add('--seed', type=int, default=0)
    fencing = parser.add_mutually_exclusive_group()
    fencing.add_argument('--checks-fencing', action='store_true', default=True)
    fencing.add_argument(
        '--ignores-fencing', dest='checks_fencing', action='store_false'
    )
    return parser


async def _run(args: argparse.Namespace) -> None:
    options = model.Options(
        name=args.name,
        role=args.role,
        models=tuple(filter(None, args.models.split(','))),
        costs=costs.DEFAULT._replace(max_running=args.max_running),
        slow=args.slow,
        time_scale=args.time_scale,
        load_lag_s=args.load_lag_s,
        event_delay_s=args.event_delay_s,
        event_loss=args.event_loss,
        checks_fencing=args.checks_fencing,
        seed=args.seed,
    )
    record = history.History(args.name, args.history)
    service = app.make_service(options, record)
    sock = serving.listen(args.listen)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(service.engine.run)
        await serving.serve(app.create_app(service, nursery), sock)
        nursery.cancel_scope.cancel()


def main() -> None:
    """Serve until stopped."""
    trio.run(_run, _parser().parse_args())


if __name__ == '__main__':
    main()
