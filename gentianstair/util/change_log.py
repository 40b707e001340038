"""Log the newest value of each key in the order of the changes."""

import collections
import typing

Key = typing.TypeVar('Key', bound=typing.Hashable)
Value = typing.TypeVar('Value')


class ChangeLog(typing.Generic[Key, Value]):
    """The newest change of each key, in the order in which they came.

    Each reader keeps its own position and reads the changes after it. Of
    more than max_keys keys, those that changed longest ago are dropped, so
    a reader that is far behind misses them.

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
        # The position and the value of the last change, oldest first.
        self._latest: collections.OrderedDict[Key, tuple[int, Value]] = (
            collections.OrderedDict()
        )
        # The position of the last change.
        self.position = 0

    def __contains__(self, key: Key) -> bool:
        return key in self._latest

    def put(self, key: Key, value: Value) -> None:
        """Append a change."""
        self.position += 1
        self._latest.pop(key, None)
        self._latest[key] = (self.position, value)
        if len(self._latest) > self._max_keys:
            self._latest.popitem(last=False)

    def drop(self, key: Key) -> None:
        """Remove a key; its removal is not logged as a change."""
        self._latest.pop(key, None)

    def since(self, position: int) -> list[tuple[Key, Value]]:
        """Return the changes after a position, the oldest first."""
        changes = []
        for key in reversed(self._latest):
            changed_position, value = self._latest[key]
            if changed_position <= position:
                break
            changes.append((key, value))
        changes.reverse()
        return changes
