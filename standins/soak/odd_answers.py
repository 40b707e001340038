"""What replicas of a run answer oddly, by its name in a plan."""

import typing

# Statuses that say: it has not run, and never will.
NOT_RUN = (408, 421, 429, 503)


def _rejection(status: int, ids: bytes = b'') -> bytes:
    """Return an answer that says that its request has not run."""
    return (
        b'HTTP/1.1 %d No\r\nX-Not-Executed: 1\r\n%sContent-Length: 0\r\n\r\n'
        % (status, ids)
    )


# Come where the answer to a request is due, before that.
ADDED = {
    **{f'adds {status}': _rejection(status) for status in NOT_RUN},
    'adds 200': b'HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nothers',
    'adds 503 of another': _rejection(503, b'X-Request-Id: another\r\n'),
    'adds 503 of two': _rejection(
        503, b'X-Request-Id: one\r\nX-Request-Id: another\r\n'
    ),
}
# A replica that runs requests answers so.
FAILURES: dict[str, dict[str, typing.Any]] = {
    **{
        f'fails with {status}': {'fails_with': status}
        for status in NOT_RUN
        if status != 421
    },
    'fails with 503 for now': {
        'fails_with': 503,
        'fails_headers': {'retry-after': '0.2'},
    },
}
# A replica answers so at once, begins nothing, and doesn't say so.
REJECTIONS: dict[str, dict[str, typing.Any]] = {
    **{
        f'rejects with {status}': {'rejects_with': status}
        for status in (408, 429, 500, 503, 504)
    },
    'rejects with 429 for now': {
        'rejects_with': 429,
        'rejects_headers': {'retry-after': '0.2'},
    },
    'rejects with 503, signed': {
        'rejects_with': 503,
        'rejects_headers': {'x-response-signature': 'signed'},
    },
    'rejects with 503 and closes': {
        'rejects_with': 503,
        'rejects_headers': {'connection': 'close'},
    },
}
# A replica that ran a request denies it, in a form that only a run has.
DENIALS: dict[str, dict[str, typing.Any]] = {
    f'denies with {status}, signed': {
        'fails_with': status,
        'fails_headers': {'x-not-executed': '1'},
    }
    for status in (429, 500, 503, 504)
}
# Of the requests on a link, one in so many gets an added answer.
ADDED_EACH = 4
KINDS = (*ADDED, *FAILURES)
