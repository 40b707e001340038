"""Decode JSON from outside, and turn all that it raises into one error."""

import typing

import msgspec

from gentianstair import errors

# A number that fits into 64 bits, as all codecs and clocks here need.
Int64 = typing.Annotated[int, msgspec.Meta(ge=-(2**63), le=2**63 - 1)]

# What msgspec raises for bytes: its own error, and two that are none of it,
# for text that is no UTF-8 and for values nested too deep.
_DECODE_ERRORS = (msgspec.MsgspecError, UnicodeError, RecursionError)


def decode(
    data: bytes | str | msgspec.Raw, kind: typing.Any = typing.Any
) -> typing.Any:
    """Return the value of a kind in data; raise DecodeError.

    >>> decode(b'{"a": 1}')
    {'a': 1}
    >>> decode(b'[' * 100000)
    Traceback (most recent call last):
    gentianstair.errors.DecodeError: JSON that is nested too deep
    """
    try:
        return msgspec.json.decode(data, type=kind)
    except RecursionError as error:
        raise errors.DecodeError('JSON that is nested too deep') from error
    except _DECODE_ERRORS as error:
        raise errors.DecodeError(str(error)) from error


__all__ = ['Int64', 'decode']
