"""Tell revisions apart that a store gives out again.

A store that comes back from a copy loses what was written since; its era
rises, and its revisions go back. A version here holds the era and the
revision of an object's last change, so that versions rise over eras, none is
given twice, and one of an earlier era is never that of a later object.
"""

import collections.abc
import contextlib
import typing

import loguru
import prometheus_client
import trio

from gentianstair import errors
from gentianstair.generated import events

HEADER = 'store-era'
# Revisions of one era; versions stay exact as floating-point numbers.
REVISION_BITS = 40
MAX_ERA = 2 ** (52 - REVISION_BITS)

ERAS = prometheus_client.Counter(
    'gentianstair_store_eras',
    'Eras that the store began, and words and answers that do not count.',
    ['what'],
)


def join(era: int, revision: int) -> int:
    """Return the version of a revision in an era.

    >>> join(0, 7), split(join(2, 7))
    (7, (2, 7))
    """
    return (era << REVISION_BITS) + revision


def split(version: int) -> tuple[int, int]:
    """Return the era and the revision of a version."""
    return version >> REVISION_BITS, version & ((1 << REVISION_BITS) - 1)


def era_of(version: int) -> int:
    """Return the era of a version."""
    return split(version)[0]


def check_replaced(kind: str, name: str, expected: int, version: int) -> None:
    """Raise StoreConflictError for a write that a later era answered.

    It replaced an object that the caller, who expected a version, has not
    seen.
    """
    if expected and era_of(expected) < era_of(version):
        raise errors.StoreConflictError(kind, name, version)


class StoreEra:
    """The era of one store, as its answers name it.

    It is 0 for a store that names none.
    """

    def __init__(self) -> None:
        self.current = 0
        self._was_named = False
        # Waits that end when the era rises.
        self._waits: set[trio.CancelScope] = set()

    def observe(self, values: typing.Sequence[str]) -> int:
        """Return the era of an answer with these values of the header.

        Raise PastEraError for an answer of an earlier era.
        """
        era = self._decode(values)
        if era is None:
            return self.current
        if era < self.current:
            ERAS.labels('past-answer').inc()
            raise errors.PastEraError(
                f'an answer of era {era}, after one of {self.current}'
            )
        if era > self.current:
            self._rise(era)
        self._was_named = True
        return era

    def _decode(self, values: typing.Sequence[str]) -> int | None:
        found = set(values)
        if not found:
            return None
        text = found.pop()
        if not found and text.isascii() and text.isdigit():
            era = int(text[:10])
            if era < MAX_ERA:
                return era
        ERAS.labels('odd').inc()
        loguru.logger.bind(event=events.STORE_ERA_ODD).warning(
            'no era of the store: {}', list(values)[:3]
        )
        return None

    def _rise(self, era: int) -> None:
        before, self.current = self.current, era
        if not self._was_named and not before:
            return
        ERAS.labels('begun').inc()
        loguru.logger.bind(
            event=events.STORE_ERA, before=before, era=era
        ).warning('the store has come back from a copy')
        for scope in list(self._waits):
            scope.cancel()

    def is_past(self, version: int) -> bool:
        """Return whether a version is of an earlier era."""
        return era_of(version) < self.current

    @contextlib.contextmanager
    def wait(self) -> collections.abc.Iterator[trio.CancelScope]:
        """Yield a scope that is cancelled when the era rises."""
        with trio.CancelScope() as scope:
            self._waits.add(scope)
            try:
                yield scope
            finally:
                self._waits.discard(scope)


__all__ = ['HEADER', 'StoreEra', 'check_replaced', 'era_of', 'join', 'split']
