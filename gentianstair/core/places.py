"""Bound the requests that are under way at upstreams at the same time.

Each of them may need a connection, and descriptors are shared with callers,
peers and the store.
"""

import collections.abc
import contextlib

from gentianstair import errors

RETRY_AFTER_S = 1.0
HTTP_UNAVAILABLE = 503


class Places:
    """Places for so many requests.

    >>> places = Places(1)
    >>> with places.take():
    ...     places.taken
    1
    >>> places.taken
    0
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self.taken = 0

    @contextlib.contextmanager
    def take(self) -> collections.abc.Iterator[None]:
        """Take a place; raise RequestError if there is none."""
        if self.taken >= self._limit:
            raise errors.RequestError(
                HTTP_UNAVAILABLE,
                'no-place',
                f'{self.taken} requests are under way',
                retry_after_s=RETRY_AFTER_S,
            )
        self.taken += 1
        try:
            yield
        finally:
            self.taken -= 1


__all__ = ['Places']
