"""Run tasks so that a fault in one ends nothing beside it."""

import collections.abc
import functools
import typing

import loguru
import prometheus_client
import trio

from gentianstair import errors
from gentianstair.generated import events

# Pause before failed work is restarted.
RESTART_PAUSE_S = 1.0

FAULTS = prometheus_client.Counter(
    'gentianstair_task_faults',
    'Tasks that an unexpected error ended, some of which were restarted',
    ['task'],
)

Work = collections.abc.Callable[..., collections.abc.Awaitable[None]]
# No faults: who started the task has to see them.
_PASSED_ON = (errors.LeaseLostError, errors.UserError)


def _record_fault(name: str, fields: dict[str, typing.Any]) -> None:
    FAULTS.labels(name).inc()
    loguru.logger.bind(event=events.FAULT, task=name, **fields).exception(
        'unexpected error in the task {}', name
    )


async def run_guarded(
    name: str, work: Work, *args: typing.Any, **fields: typing.Any
) -> bool:
    """Run work; return whether it ended without an unexpected error.

    Such an error is logged with the fields, and counted by name. Raise
    LeaseLostError and UserError.
    """
    try:
        await work(*args)
    except _PASSED_ON:
        raise
    except Exception:
        _record_fault(name, fields)
        return False
    except BaseExceptionGroup as group:
        failed, rest = group.split(Exception)
        if failed is None or rest is None:
            raise
        # Cancelled, and a part of it failed on the way.
        _record_fault(name, fields)
        raise rest
    return True


async def restart_on_fault(name: str, work: Work, *args: typing.Any) -> None:
    """Run work, and restart it after an unexpected error until it ends."""
    while not await run_guarded(name, work, *args):
        await trio.sleep(RESTART_PAUSE_S)


async def _restart_within(
    scope: trio.CancelScope,
    name: str,
    work: Work,
    args: tuple[typing.Any, ...],
) -> None:
    with scope:
        await restart_on_fault(name, work, *args)


class Tasks:
    """Starts tasks in a nursery that must outlast a fault in any of them."""

    def __init__(self, nursery: trio.Nursery) -> None:
        self._nursery = nursery

    def start_soon(
        self, name: str, work: Work, *args: typing.Any, **fields: typing.Any
    ) -> None:
        """Run work once; a fault in it is logged with the fields."""
        self._nursery.start_soon(
            functools.partial(run_guarded, name, work, *args, **fields)
        )

    def keep_running(
        self,
        name: str,
        work: Work,
        *args: typing.Any,
        until: trio.CancelScope | None = None,
    ) -> None:
        """Run work, and restart it after a fault, until it is cancelled."""
        self._nursery.start_soon(
            _restart_within, until or trio.CancelScope(), name, work, args
        )

    async def start(
        self, name: str, work: Work, *args: typing.Any
    ) -> typing.Any:
        """Return what work tells with task_status; it then runs on.

        Raise RuntimeError if it ends before.
        """
        return await self._nursery.start(_run_started, name, work, args)


async def _run_started(
    name: str,
    work: Work,
    args: tuple[typing.Any, ...],
    task_status: trio.TaskStatus[typing.Any],
) -> None:
    await run_guarded(
        name, functools.partial(work, *args, task_status=task_status)
    )


__all__ = ['FAULTS', 'Tasks', 'restart_on_fault', 'run_guarded']
