"""Show results: tables for people, JSON for programs."""

import collections.abc
import json
import sys
import typing

import rich.console
import rich.table
import rich.text

MAX_WIDTH = 10_000
Row = collections.abc.Mapping[str, typing.Any]


def plain(value: typing.Any) -> str:
    r"""Return a value as printable text.

    Stored text comes from outside, for example a key's label. An escape
    sequence in it could change what an operator's terminal shows, so
    whatever is not printable is escaped.

    >>> plain('a\x1b[2J')
    'a\\x1b[2J'
    """
    if value is None:
        return '-'
    if isinstance(value, bool):
        return 'yes' if value else 'no'
    if isinstance(value, (list, tuple)):
        return ', '.join(plain(item) for item in value)
    text = value if isinstance(value, str) else json.dumps(value)
    return ''.join(
        char if char.isprintable() else ascii(char)[1:-1] for char in text
    )


class Output:
    """Write to a stream in the form that was asked for."""

    def __init__(
        self, as_json: bool = False, stream: typing.TextIO | None = None
    ) -> None:
        self.as_json = as_json
        self._stream = stream or sys.stdout

    def line(self, text: str) -> None:
        """Write a line for people; programs do not get it."""
        if not self.as_json:
            print(plain(text), file=self._stream, flush=True)

    def value(self, row: Row) -> None:
        """Write one result, field by field."""
        if self.as_json:
            self._json(row)
            return
        for name, value in row.items():
            self.line(f'{name}: {plain(value)}')

    def rows(
        self,
        columns: collections.abc.Sequence[str],
        rows: collections.abc.Iterable[Row],
    ) -> None:
        """Write a table; JSON keeps every field, not just the columns."""
        rows = list(rows)
        if self.as_json:
            self._json(rows)
            return
        table = rich.table.Table(box=None, pad_edge=False)
        for column in columns:
            table.add_column(column.replace('_', ' '), overflow='fold')
        for row in rows:
            cells = [plain(row.get(column)) for column in columns]
            table.add_row(*(rich.text.Text(cell) for cell in cells))
        console = rich.console.Console(file=self._stream, highlight=False)
        if not console.is_terminal:
            # A pipe has no width; a fixed one would fold what grep looks for.
            wide = console.options.update(width=MAX_WIDTH)
            console.width = console.measure(table, options=wide).maximum
        console.print(table)

    def _json(self, value: typing.Any) -> None:
        json.dump(value, self._stream, indent=2, sort_keys=False)
        self._stream.write('\n')
        self._stream.flush()
