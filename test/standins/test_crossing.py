"""Test requests that cross the closing of idle connections."""

import pytest
import trio

from standins.soak import crossing

# So many that some are read in the very turn of the loop that closes them.
CONNECTIONS = 300


@pytest.mark.process
@pytest.mark.parametrize(
    ('close', 'seed'),
    [
        *((crossing.Close.STOP, n) for n in (501, 504, 507, 508, 510, 601)),
        *((crossing.Close.KEEP_ALIVE, n) for n in (201, 202)),
    ],
)
def test_no_request_is_lost_at_a_close(close, seed, tmp_path):
    # Guards against requests that are passed on and then cut with no answer.
    ends = trio.run(crossing.play, seed, close, CONNECTIONS, tmp_path)
    assert ends.total() == CONNECTIONS
    assert ends[crossing.End.ANSWERED]
    assert ends[crossing.End.LOST] == 0
