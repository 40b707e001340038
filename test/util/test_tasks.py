"""Test that a fault in a task ends nothing beside it."""

import pytest
import trio

from gentianstair import errors
from gentianstair.util import tasks


async def fail():
    await trio.sleep(0.01)
    raise OSError('planted')


async def fail_with_a_part():
    async with trio.open_nursery() as nursery:
        nursery.start_soon(fail)
        nursery.start_soon(trio.sleep_forever)


def faults(name):
    """Return how many faults are counted under a name."""
    return tasks.FAULTS.labels(name)._value.get()


async def test_unexpected_error_restarts_background_work(autojump_clock):
    """Guard against an unexpected error that ends the whole process.

    Such an error, for example from a peer's malformed message, must only
    restart the work after a pause.
    """
    starts_s = []

    async def work():
        starts_s.append(trio.current_time())
        if len(starts_s) < 3:
            raise OSError('unexpected')

    with trio.fail_after(60):
        await tasks.restart_on_fault('test', work)
    assert len(starts_s) == 3
    assert starts_s[2] - starts_s[0] == pytest.approx(
        2 * tasks.RESTART_PAUSE_S
    )


@pytest.mark.parametrize(
    'error', [errors.LeaseLostError('lapsed'), errors.UserError('in use')]
)
async def test_lost_lease_ends_duty_without_restart(autojump_clock, error):
    async def work():
        raise error

    with pytest.raises(type(error)):
        await tasks.restart_on_fault('test', work)


@pytest.mark.parametrize('work', [fail, fail_with_a_part])
async def test_fault_ends_its_task_alone(autojump_clock, work):
    # Guards against one task's fault that cancels all others beside it.
    before = faults('test-alone')
    async with trio.open_nursery() as nursery:
        running = tasks.Tasks(nursery)
        running.start_soon('test-alone', work)
        await trio.sleep(1.0)
        nursery.cancel_scope.cancel()
    assert faults('test-alone') == before + 1


async def test_fault_on_the_way_of_a_cancellation_is_counted(autojump_clock):
    # Guards against a fault that passes the guard as a cancellation is with
    # it, and ends the process with its cause in no log.
    before = faults('test-cancelled')

    async def fail_at_the_end():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(trio.sleep_forever)
            try:
                await trio.sleep_forever()
            finally:
                raise OSError('planted')

    async with trio.open_nursery() as nursery:
        until = trio.CancelScope()
        tasks.Tasks(nursery).keep_running(
            'test-cancelled', fail_at_the_end, until=until
        )
        await trio.sleep(1.0)
        until.cancel()
    assert faults('test-cancelled') == before + 1


async def test_work_that_is_restarted_ends_with_its_scope(autojump_clock):
    # Guards against work whose second start fails for ever, as its scope was
    # used before.
    starts = []

    async def work():
        starts.append(trio.current_time())
        if len(starts) < 3:
            raise OSError('planted')
        await trio.sleep_forever()

    async with trio.open_nursery() as nursery:
        until = trio.CancelScope()
        tasks.Tasks(nursery).keep_running('test-scope', work, until=until)
        await trio.sleep(10.0)
        until.cancel()
    assert len(starts) == 3


async def test_task_that_was_started_ends_alone(autojump_clock):
    # Guards against a tunnel's fault that ends the process.
    before = faults('test-started')

    async def work(task_status):
        task_status.started('open')
        await fail()

    async with trio.open_nursery() as nursery:
        running = tasks.Tasks(nursery)
        assert await running.start('test-started', work) == 'open'
        await trio.sleep(1.0)
        nursery.cancel_scope.cancel()
    assert faults('test-started') == before + 1


async def test_cancellation_is_no_fault(autojump_clock):
    # Guards against a planned stop that is logged as faults of all tasks.
    before = faults('test-stop')

    async def wait():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(trio.sleep_forever)
            nursery.start_soon(trio.sleep_forever)

    async with trio.open_nursery() as nursery:
        running = tasks.Tasks(nursery)
        running.keep_running('test-stop', wait)
        running.start_soon('test-stop', wait)
        await trio.sleep(1.0)
        nursery.cancel_scope.cancel()
    assert faults('test-stop') == before
