"""Describe one request while an entry process serves it."""

import typing

from gentianstair.core import run_verdict
from gentianstair.entry import callers
from gentianstair.entry import work as works
from gentianstair.generated import messages


class Request(typing.NamedTuple):
    """A request, its caller and the bundle it is served with.

    Retries and resumptions use the bundle that was in force when the request
    started, even after another one comes into force. ``is_service`` is true
    for calls of plain services, false for completions. ``digest`` names what
    is asked for; it is the same when the caller repeats the request. ``runs``
    has its attempts, those of hedged copies too.
    """

    request_id: str
    caller: callers.Caller
    work: works.Work
    bundle: messages.BundleValue | None
    is_service: bool = False
    digest: str = ''
    runs: run_verdict.RunVerdict | None = None
