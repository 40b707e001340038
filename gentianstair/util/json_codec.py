"""Decode JSON from outside, and turn all that it raises into one error."""

import re
import typing

import msgspec

from gentianstair import errors

# What is nested deeper is of no type that this package reads, and still well
# within what can be decoded.
MAX_DEPTH = 200
# Stands in place of what was nested too deep, or of a string of no text.
CUT = b'"cut: unreadable"'
_STRING = rb'"[^"\\]*(?:\\.[^"\\]*)*"'
_STRINGS = re.compile(_STRING, re.DOTALL)
_BRACKETS_AND_STRINGS = re.compile(rb'[\[\]{}]|' + _STRING, re.DOTALL)

# A number that fits into 64 bits, as all codecs and clocks here need.
Int64 = typing.Annotated[int, msgspec.Meta(ge=-(2**63), le=2**63 - 1)]

# RecursionError, for values nested too deep, is no error of msgspec's own;
# nor would one for text be.
_DECODE_ERRORS = (msgspec.MsgspecError, UnicodeError, RecursionError)


def decode(
    data: bytes | str | msgspec.Raw, kind: typing.Any = typing.Any
) -> typing.Any:
    """Return the value of a kind in data; raise DecodeError.

    It is a NestingError for values nested more than some hundred deep.

    >>> decode(b'{"a": 1}')
    {'a': 1}
    >>> decode(b'[' * 100000)
    Traceback (most recent call last):
    gentianstair.errors.NestingError: JSON that is nested too deep
    """
    try:
        return msgspec.json.decode(data, type=kind)
    except RecursionError as error:
        raise errors.NestingError('JSON that is nested too deep') from error
    except _DECODE_ERRORS as error:
        raise errors.DecodeError(str(error)) from error


def cut_nested(data: bytes, max_depth: int = MAX_DEPTH) -> bytes:
    """Return JSON with CUT in place of what is nested deeper than max_depth.

    >>> cut_nested(b'{"a": [[1], "]"], "b": [2]}', 2)
    b'{"a": ["cut: unreadable", "]"], "b": [2]}'
    """
    parts = []
    depth, kept_to = 0, 0
    for token in _BRACKETS_AND_STRINGS.finditer(data):
        sign = token[0]
        if sign in (b'[', b'{'):
            depth += 1
            if depth == max_depth + 1:
                parts.append(data[kept_to : token.start()])
        elif sign in (b']', b'}'):
            if depth == max_depth + 1:
                parts.append(CUT)
                kept_to = token.end()
            depth -= 1
    parts.append(data[kept_to:])
    return b''.join(parts)


def cut_strings(data: bytes) -> bytes:
    """Return JSON with CUT in place of each string that holds no text.

    >>> cut_strings(b'{"a": "\\\\ud800", "b": "\\\\ud83d\\\\ude00"}')
    b'{"a": "cut: unreadable", "b": "\\\\ud83d\\\\ude00"}'
    """
    return _STRINGS.sub(
        lambda found: found[0] if _holds_text(found[0]) else CUT, data
    )


def _holds_text(string: bytes) -> bool:
    try:
        msgspec.json.decode(string, type=str)
    except _DECODE_ERRORS:
        return False
    return True


def decode_cut(data: bytes, kind: typing.Any) -> typing.Any:
    """Return the value of a kind in data, cut where it can't be read.

    Raise DecodeError.
    """
    try:
        return decode(data, kind)
    except errors.DecodeError:
        return decode(cut_strings(cut_nested(data)), kind)


__all__ = ['CUT', 'Int64', 'decode', 'decode_cut']
