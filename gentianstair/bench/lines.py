"""Print the figures of an experiment, as JSON lines or as a table."""

import json
import typing


class Figure(typing.NamedTuple):
    """One measured figure of one arm."""

    measure: str
    arm: str
    value: typing.Any
    unit: str


def show(
    figures: typing.Iterable[Figure],
    as_json: bool,
    not_run: typing.Sequence[str] = (),
) -> None:
    """Print figures; the last line says what was not run."""
    last = Figure('not_run', '-', list(not_run), '-')
    for figure in [*figures, last]:
        if as_json:
            print(json.dumps(figure._asdict()), flush=True)
        else:
            value = figure.value
            if isinstance(value, float):
                value = f'{value:.6g}'
            print(f'{figure.measure:32} {figure.arm:16} {value} {figure.unit}')
