"""Test opening a connection in several ways."""

import pytest
import trio

from gentianstair import errors
from gentianstair.upstreams import connector
from gentianstair.upstreams import staggered


class Stream:
    """A connection that notes whether it was discarded."""

    is_discarded = False


@connector.discard.register
def _(stream: Stream):
    stream.is_discarded = True


class Ways:
    """Ways that take some time each, and then fail or not."""

    def __init__(self):
        self.begun_s = {}
        self.streams = []

    def way(self, name, took_s, works, delay_s):
        async def open_it():
            self.begun_s[name] = trio.current_time()
            await trio.sleep(took_s)
            if not works:
                raise errors.UnreachableError(name)
            self.streams.append(Stream())
            return self.streams[-1]

        return staggered.Way(open_it, delay_s)


@pytest.mark.parametrize(
    ('ways', 'winner', 'took_s'),
    [
        ([(0.01, True, 0.0), (0.01, True, 0.15)], 0, 0.01),
        ([(9.0, True, 0.0), (0.01, True, 0.15)], 1, 0.16),
        ([(0.01, False, 0.0), (0.01, True, 0.15)], 1, 0.02),
        ([(9.0, True, 0.0), (0.01, True, 0.0)], 1, 0.01),
        ([(0.2, True, 0.0), (0.2, True, 0.15)], 0, 0.2),
        (
            [(9.0, True, 0.0), (0.01, False, 0.15), (0.01, True, 0.15)],
            2,
            0.17,
        ),
        ([(0.3, False, 0.0), (0.01, False, 0.15), (0.5, True, 0.2)], 2, 0.66),
    ],
    ids=[
        'first is quick',
        'first hangs',
        'first fails',
        'both at once',
        'first is slow',
        'second fails',
        'two fail',
    ],
)
async def test_next_way_begins_as_the_last_is_late_or_fails(
    autojump_clock, ways, winner, took_s
):
    play = Ways()
    found = [play.way(n, *way) for n, way in enumerate(ways)]
    opened = await staggered.open_first(found)
    assert opened.way == winner
    assert trio.current_time() == pytest.approx(took_s)
    assert not opened.stream.is_discarded


async def test_error_is_that_of_the_first_way_that_failed(autojump_clock):
    play = Ways()
    ways = [play.way('direct', 0.1, False, 0.0)]
    ways.append(play.way('peer', 0.1, False, 0.15))
    with pytest.raises(errors.UnreachableError, match='direct'):
        await staggered.open_first(ways)


async def test_two_connections_at_once_leave_one(autojump_clock):
    # Guards against connections that nobody uses or closes.
    play = Ways()
    ways = [play.way(n, 0.1, True, 0.0) for n in range(3)]
    opened = await staggered.open_first(ways)
    others = [s for s in play.streams if s is not opened.stream]
    assert all(stream.is_discarded for stream in others)
