"""Test that JSON from outside ends in errors of this package only."""

import typing

import msgspec
import pytest

from gentianstair import errors
from gentianstair.util import json_codec


class Value(msgspec.Struct):
    """A value with a field that is known and one that holds anything."""

    number: json_codec.Int64 = 0
    anything: typing.Any = None


DEEP = b'[' * 100000 + b']' * 100000


@pytest.mark.parametrize(
    'data',
    [
        b'',
        b'\0',
        b'{"number": ',
        DEEP,
        b'{"unknown": ' + DEEP + b'}',
        b'{"anything": ' + DEEP + b'}',
        b'{"number": ' + DEEP + b'}',
        b'{"a":' * 100000,
        b'{"number": 1e999}',
        b'{"number": ' + b'9' * 400 + b'}',
        b'{"anything": ' + b'9' * 5000 + b'}',
        b'{"anything": "\xff"}',
        b'{"anything": "\\ud800"}',
        '{"number": 1}'.encode('utf-16'),
    ],
    ids=lambda data: repr(data[:22]),
)
def test_what_cannot_be_read_is_a_decode_error(data):
    # Guards against an error of the library's that no reader expects.
    with pytest.raises(errors.DecodeError):
        json_codec.decode(data, Value)
