"""Run the platform stand-in: ``python -m standins.platform``."""

import argparse
import pathlib

import trio

from standins import history
from standins import serving
from standins.platform import app


def main() -> None:
    """Serve until stopped."""
    parser = argparse.ArgumentParser(prog='platform')
    parser.add_argument('--listen', default='127.0.0.1:0')
    parser.add_argument('--history', type=pathlib.Path)
    parser.add_argument('--seed', type=int, default=0)
    args = parser.parse_args()
    record = history.History('platform', args.history)
    platform = app.make_platform(record, args.seed)
    sock = serving.listen(args.listen)
    trio.run(serving.serve, app.create_app(platform), sock)


if __name__ == '__main__':
    main()
