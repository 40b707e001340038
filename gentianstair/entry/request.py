"""Describe one admitted request on its way through an entry process."""

import typing

from gentianstair.entry import callers
from gentianstair.entry import work as works
from gentianstair.generated import messages


class Request(typing.NamedTuple):
    """A request with what was decided of it at its start.

    The bundle is taken once, so that no request sees a mix of two: retries
    and resumptions use it even if another comes into force meanwhile.
    """

    request_id: str
    caller: callers.Caller
    work: works.Work
    bundle: messages.BundleValue | None
    is_service: bool = False
