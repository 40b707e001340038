"""Check what a caller holds of a stream, over all its tries at it."""

import re
import typing

from standins.site import replica as replicas

EVENT = re.compile(
    r'^id: (\d+)\nevent: (\S+)\ndata: (\D+)\d+\n\n', re.MULTILINE
)


class Part(typing.NamedTuple):
    """What one request brought of a stream."""

    # Of its events, in order: their numbers and software versions.
    events: tuple[tuple[int, str], ...]
    # Those of a run that did not begin where it was to.
    strays: tuple[int, ...] = ()
    # Whether the answer ended as a whole one does.
    is_whole: bool = False


def read(text: str, is_whole: bool) -> Part:
    """Return what an answer brought."""
    found = EVENT.findall(text)
    return Part(
        tuple((int(number), version) for number, version, _ in found),
        tuple(int(n) for n, _, word in found if word == replicas.STRAY_WORD),
        is_whole,
    )


def flaws(parts: typing.Iterable[Part], last: int) -> list[str]:
    """Return what is wrong with a stream of last events, over its parts."""
    found = []
    held = 0
    for part in parts:
        again = []
        for number, _ in part.events:
            if number <= held:
                again.append(number)
            elif number > held + 1:
                found.append(f'none between events {held} and {number}')
            held = max(held, number)
        if again:
            found.append(f'again or late: events {again}')
        if part.strays:
            found.append(f'of a second run: events {list(part.strays)}')
        if part.is_whole and held != last:
            found.append(f'complete after event {held} of {last}')
    return found
