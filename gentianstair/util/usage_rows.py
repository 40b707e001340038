"""Sum and subtract usage rows."""

import collections.abc

from gentianstair.generated import messages

Key = tuple[int, str, str]
COUNT_FIELDS = ('requests', 'prompt_tokens', 'output_tokens')


def key_of(row: messages.UsageRow) -> Key:
    """Return the key of a row."""
    return row['window'], row['customer'], row['upstream_kind']


def sum_by_key(
    rows: collections.abc.Iterable[messages.UsageRow],
) -> dict[Key, messages.UsageRow]:
    """Return rows by key, summing rows with the same key."""
    found: dict[Key, messages.UsageRow] = {}
    for row in rows:
        known = found.get(key_of(row))
        found[key_of(row)] = row if known is None else add(known, row)
    return found


def add(
    first: messages.UsageRow, second: messages.UsageRow
) -> messages.UsageRow:
    """Return the sum of two rows with the same key."""
    return {
        **first,
        'requests': first['requests'] + second['requests'],
        'prompt_tokens': first['prompt_tokens'] + second['prompt_tokens'],
        'output_tokens': first['output_tokens'] + second['output_tokens'],
    }


def subtract(
    first: messages.UsageRow, second: messages.UsageRow | None
) -> messages.UsageRow:
    """Return first minus second, with counts of at least zero."""
    if second is None:
        return first
    return {
        **first,
        'requests': max(0, first['requests'] - second['requests']),
        'prompt_tokens': max(
            0, first['prompt_tokens'] - second['prompt_tokens']
        ),
        'output_tokens': max(
            0, first['output_tokens'] - second['output_tokens']
        ),
    }


def is_empty(row: messages.UsageRow) -> bool:
    """Return whether all counts of a row are zero."""
    return not (
        row['requests'] or row['prompt_tokens'] or row['output_tokens']
    )
