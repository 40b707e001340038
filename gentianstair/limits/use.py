"""Count what a customer's requests use of its limit, and report it."""

import bisect
import typing

from gentianstair import errors

# Upper bounds of the classes of cost in which what customers ask for is
# counted; one more class is for all above.
CLASS_BOUNDS = (256, 1024, 4096, 16384, 65536)
CLASS_COUNT = len(CLASS_BOUNDS) + 1

# More than this in one report is no count that a VM can have reached.
MAX_UNITS = 10**12


def cost_class(cost: int) -> int:
    """Return the class of a request by its cost.

    >>> [cost_class(cost) for cost in (1, 256, 257, 90000)]
    [0, 0, 1, 5]
    """
    return bisect.bisect_left(CLASS_BOUNDS, cost)


class Use(typing.NamedTuple):
    """Units of a limit, requests or tokens, of one customer."""

    # Of requests that were admitted and may run.
    admitted: int = 0
    # Of all requests, rejected ones included, by class of cost.
    asked: tuple[int, ...] = (0,) * CLASS_COUNT

    def plus(self, other: 'Use') -> 'Use':
        """Return the sum."""
        pairs = zip(self.asked, other.asked, strict=True)
        return Use(
            self.admitted + other.admitted, tuple(a + b for a, b in pairs)
        )

    def minus(self, other: 'Use') -> 'Use':
        """Return the difference."""
        pairs = zip(self.asked, other.asked, strict=True)
        return Use(
            self.admitted - other.admitted, tuple(a - b for a, b in pairs)
        )

    def is_negative(self) -> bool:
        """Return whether any number is below zero."""
        return min(self.admitted, *self.asked) < 0


NOTHING = Use()


def of_request(admitted: int, cost: int) -> Use:
    """Return the use of one request.

    >>> of_request(0, 300)
    Use(admitted=0, asked=(0, 300, 0, 0, 0, 0))
    """
    asked = [0] * CLASS_COUNT
    asked[cost_class(cost)] = cost
    return Use(admitted, tuple(asked))


def encode(uses: dict[str, Use]) -> dict[str, list[int]]:
    """Return uses by customer in the form of a message."""
    return {
        customer: [use.admitted, *use.asked] for customer, use in uses.items()
    }


def decode(rows: dict[str, list[int]]) -> dict[str, Use]:
    """Return the uses in a message; raise DecodeError.

    >>> decode({'club': [1, 2, 0, 0, 0, 0, 0]})
    {'club': Use(admitted=1, asked=(2, 0, 0, 0, 0, 0))}
    """
    return {customer: _decode_row(row) for customer, row in rows.items()}


def _decode_row(row: list[int]) -> Use:
    if len(row) != 1 + CLASS_COUNT:
        raise errors.DecodeError(f'bad use of a limit: {row}')
    use = Use(row[0], tuple(row[1:]))
    asked = sum(use.asked)
    if use.is_negative() or not use.admitted <= asked <= MAX_UNITS:
        raise errors.DecodeError(f'impossible use of a limit: {row}')
    return use


class PendingUse:
    """This VM's use that its hub has not acknowledged yet, by customer.

    Units of requests that did not run are taken from later ones: reported
    use never falls.
    """

    def __init__(self) -> None:
        self._uses: dict[str, Use] = {}
        self._refunded: dict[str, int] = {}

    def record(self, customer: str, use: Use) -> None:
        """Add the use of a request."""
        refund = min(self._refunded.get(customer, 0), use.admitted)
        if refund:
            self._refunded[customer] -= refund
            use = use._replace(admitted=use.admitted - refund)
        self._uses[customer] = self._uses.get(customer, NOTHING).plus(use)

    def refund(self, customer: str, units: int) -> None:
        """Take back the units of a request that did not run."""
        self._refunded[customer] = self._refunded.get(customer, 0) + units

    def admitted(self, customer: str) -> int:
        """Return the units admitted and not acknowledged."""
        units = self._uses.get(customer, NOTHING).admitted
        return units - self._refunded.get(customer, 0)

    def export(self) -> dict[str, Use]:
        """Return the use to report now."""
        return dict(self._uses)

    def acknowledge(self, reported: dict[str, Use]) -> None:
        """Forget what a report contained that was answered."""
        for customer, use in reported.items():
            left = self._uses.get(customer, NOTHING).minus(use)
            if left == NOTHING:
                self._uses.pop(customer, None)
            else:
                self._uses[customer] = left
