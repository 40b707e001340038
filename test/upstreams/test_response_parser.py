"""Test that bytes of upstreams end in errors of this package only."""

import random

import pytest

from gentianstair import errors
from gentianstair.upstreams import response_parser

OK = b'HTTP/1.1 200 OK\r\n'
WHOLE = OK + b'Content-Length: 2\r\n\r\nhi'
UPGRADE = b'Connection: Upgrade\r\nUpgrade: none\r\n'
SWITCHING = b'HTTP/1.1 101 Switching Protocols\r\n' + UPGRADE + b'\r\n'
SEEDS = 400
MUTATIONS = 4

NO_RESPONSES = [
    pytest.param(SWITCHING, id='101'),
    pytest.param(b'HTTP/1.1 101 Go on\r\n\r\n', id='101-without-headers'),
    pytest.param(
        b'HTTP/1.1 101 Go on\r\nUpgrade: none\r\n\r\n', id='101-one-header'
    ),
    pytest.param(b'HTTP/1.1 103 Early\r\n\r\n' + SWITCHING, id='103-and-101'),
    pytest.param(b'\0\1\2\3 hello', id='no-http'),
    pytest.param(b'HTTP/1.1 9999999999999 OK\r\n\r\n', id='status-too-long'),
    pytest.param(OK + b'X-\xff: \xfe\r\n\r\n', id='header-name'),
    pytest.param(OK + b'Content-Length: -1\r\n\r\n', id='negative-length'),
    pytest.param(
        OK + b'Content-Length: ' + b'9' * 40 + b'\r\n\r\n',
        id='length-beyond-any-type',
    ),
    pytest.param(
        OK + b'Transfer-Encoding: chunked\r\n\r\n' + b'f' * 40 + b'\r\n',
        id='chunk-beyond-any-type',
    ),
]


@pytest.mark.parametrize('data', NO_RESPONSES)
@pytest.mark.parametrize('step', [1, 65536], ids=['in-bytes', 'at-once'])
def test_bytes_that_are_no_response_end_the_request_alone(data, step):
    # Guards against an error of the library's that ends the whole process.
    parser = response_parser.ResponseParser()
    with pytest.raises(errors.InvalidResponseError):
        for start in range(0, len(data), step):
            parser.feed(data[start : start + step])
    assert not parser.done
    assert not parser.keep_alive


@pytest.mark.parametrize(
    'after', [SWITCHING, b'\0\1\2'], ids=['101', 'no-http']
)
def test_no_response_after_a_whole_one_ends_the_connection_only(after):
    # Guards against an answer that is lost for what follows it.
    parser = response_parser.ResponseParser()
    parser.feed(WHOLE + after)
    assert (parser.status, parser.body_parts) == (200, [b'hi'])
    assert parser.done
    assert not parser.keep_alive


@pytest.mark.parametrize('status', [b'200 OK', b'426 Upgrade Required'])
def test_response_that_offers_an_upgrade_is_one(status):
    # Guards against a response that is dropped for a header of its own.
    parser = response_parser.ResponseParser()
    head = b'HTTP/1.1 ' + status + b'\r\n' + UPGRADE
    parser.feed(head + b'Content-Length: 2\r\n\r\nhi')
    assert parser.done
    assert parser.body_parts == [b'hi']


def test_mutated_responses_raise_nothing_of_the_library():
    # Guards against an error of the library's that nobody has listed.
    rng = random.Random(1)
    for _ in range(SEEDS):
        data = bytearray(b'HTTP/1.1 103 Early\r\n\r\n' + SWITCHING + WHOLE)
        for _ in range(rng.randint(0, MUTATIONS)):
            start = rng.randrange(len(data))
            data[start : start + rng.randint(0, 9)] = rng.randbytes(
                rng.randint(0, 3)
            )
        parser = response_parser.ResponseParser(b'r1')
        try:
            parser.feed(bytes(data))
        except errors.InvalidResponseError:
            continue


TRAILED = (
    OK
    + b'X-Request-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n'
    + b'2\r\nhi\r\n0\r\nX-Not-Executed: 1\r\nX-Request-Id: r2\r\n\r\n'
)


@pytest.mark.parametrize('step', [1, 65536], ids=['in-bytes', 'at-once'])
@pytest.mark.parametrize(
    'before',
    [b'', TRAILED.replace(b'r1', b'r0')],
    ids=['alone', 'after-another'],
)
def test_trailer_says_nothing_of_a_response(before, step):
    # Guards against what follows a body, and says that nothing has run.
    parser = response_parser.ResponseParser(b'r1')
    data = before + TRAILED
    for start in range(0, len(data), step):
        parser.feed(data[start : start + step])
    assert parser.done
    assert parser.body_parts
    assert [name for name, _ in parser.headers] == [
        b'X-Request-Id',
        b'Transfer-Encoding',
    ]
