"""Print the measures of a bench as JSON lines or as text."""

import argparse
import json
import math
import typing


class Measure(typing.NamedTuple):
    """One figure of one arm."""

    measure: str
    arm: str
    value: typing.Any
    unit: str


def make_parser(doc: str | None) -> argparse.ArgumentParser:
    """Return a parser with the flags that every bench has."""
    parser = argparse.ArgumentParser(description=doc)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--json', action='store_true')
    return parser


def show(measures: typing.Iterable[Measure], as_json: bool) -> None:
    """Print the measures, a line each."""
    for item in measures:
        if isinstance(item.value, float):
            digits = 4 if math.isfinite(item.value) else 0
            item = item._replace(value=round(item.value, digits))
        if as_json:
            print(json.dumps(item._asdict()))
        else:
            print(f'{item.measure:34} {item.arm:10} {item.value} {item.unit}')
