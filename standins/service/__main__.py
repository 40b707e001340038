"""Run a plain service stand-in: ``python -m standins.service``."""

import argparse
import pathlib

import trio

from standins import history
from standins import serving
from standins.service import app


def main() -> None:
    """Serve until stopped."""
    parser = argparse.ArgumentParser(prog='service')
    parser.add_argument('--listen', default='127.0.0.1:0')
    parser.add_argument('--name', default='service')
    parser.add_argument('--history', type=pathlib.Path)
    parser.add_argument('--slow-share', type=float, default=0.0)
    parser.add_argument('--slow-s', type=float, default=2.0)
    parser.add_argument('--delay-s', type=float, default=0.0)
    parser.add_argument('--seed', type=int, default=0)
    args = parser.parse_args()
    options = app.Options(
        args.name, args.slow_share, args.slow_s, args.delay_s, args.seed
    )
    record = history.History(args.name, args.history)
    sock = serving.listen(args.listen)
    trio.run(serving.serve, app.create_app(options, record), sock)


if __name__ == '__main__':
    main()
