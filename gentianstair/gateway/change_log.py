"""Keep the newest value of each key, and tell what changed since when."""

import collections
import typing

Key = typing.TypeVar('Key', bound=typing.Hashable)
Value = typing.TypeVar('Value')


class ChangeLog(typing.Generic[Key, Value]):
    """The newest change of each key, in the order in which they came.

    A reader keeps its position and asks for what came after it. When there
    are more than most keys, those that changed longest ago are dropped: a
    reader that is far behind misses them.

    >>> log = ChangeLog(max_keys=2)
    >>> log.put('a', 1)
    >>> position = log.position
    >>> log.put('b', 2)
    >>> log.put('b', 3)
    >>> log.since(position)
    [('b', 3)]
    """

    def __init__(self, max_keys: int) -> None:
        self._max_keys = max_keys
        self._latest: collections.OrderedDict[Key, tuple[int, Value]] = (
            collections.OrderedDict()
        )
        self.position = 0

    def __contains__(self, key: Key) -> bool:
        return key in self._latest

    def put(self, key: Key, value: Value) -> None:
        """Take a change."""
        self.position += 1
        self._latest.pop(key, None)
        self._latest[key] = (self.position, value)
        if len(self._latest) > self._max_keys:
            self._latest.popitem(last=False)

    def drop(self, key: Key) -> None:
        """Forget a key; no reader is told."""
        self._latest.pop(key, None)

    def since(self, position: int) -> list[tuple[Key, Value]]:
        """Return the changes after a position, the oldest first."""
        found = []
        for key in reversed(self._latest):
            at, value = self._latest[key]
            if at <= position:
                break
            found.append((key, value))
        found.reverse()
        return found
