"""Test who gives way when the bytes that a process may hold are used up."""

import pytest
import trio

from gentianstair.core import byte_account

LIMIT = 8_000_000
LARGE = 1_000_000


def opened(account, size_bytes, waits=True, patience_s=0.0):
    """Return a holding of so much, and the list that its eviction fills."""
    evicted = []
    holding = account.open()
    if waits:
        holding.wait_for_caller(lambda: evicted.append(True), patience_s)
    assert holding.grow(size_bytes)
    return holding, evicted


async def test_longest_without_progress_gives_way(autojump_clock):
    # Guards against a crowd that stalls and keeps quick callers out.
    account = byte_account.ByteAccount(LIMIT)
    found = [opened(account, LARGE) for _ in range(7)]
    found[0][0].record_bytes(byte_account.PROGRESS_BYTES)
    opened(account, LARGE)
    assert [bool(evicted) for _, evicted in found] == [
        number == 1 for number in range(7)
    ]


async def test_trickle_is_no_progress(autojump_clock):
    # Guards against callers that keep their bytes by a byte now and then.
    account = byte_account.ByteAccount(LIMIT)
    found = [opened(account, LARGE) for _ in range(7)]
    for _ in range(100):
        found[0][0].record_bytes(1)
    opened(account, LARGE)
    assert found[0][1]


async def test_complete_requests_give_way_to_nothing(autojump_clock):
    # Guards against a whole request that is given up for an unfinished one.
    account = byte_account.ByteAccount(LIMIT)
    found = [opened(account, LARGE) for _ in range(7)]
    for holding, _ in found:
        holding.settle()
    late = account.open()
    late.wait_for_caller(lambda: None)
    assert not late.grow(LARGE)
    assert not any(evicted for _, evicted in found)


async def test_small_requests_have_room_left(autojump_clock):
    # Guards against large requests under way that keep ordinary ones out.
    account = byte_account.ByteAccount(LIMIT)
    for _ in range(7):
        opened(account, LARGE, waits=False)
    assert account.open().grow(byte_account.SMALL_BYTES)


async def test_what_gave_way_grows_no_more(autojump_clock):
    # Guards against bytes that come after the end of their holding.
    account = byte_account.ByteAccount(LIMIT)
    first, _ = opened(account, 6 * LARGE)
    opened(account, 2 * LARGE)
    assert first.is_evicted
    assert not first.grow(1)
    assert account.held_bytes == 2 * LARGE


@pytest.mark.parametrize(
    ('after_s', 'gives_way'),
    [(0.0, False), (byte_account.ANSWER_PATIENCE_S * 2, True)],
)
async def test_answers_give_way_after_a_while(
    autojump_clock, after_s, gives_way
):
    # Guards against a caller that is cut before it can read.
    account = byte_account.ByteAccount(LIMIT)
    patience_s = byte_account.ANSWER_PATIENCE_S
    _, evicted = opened(account, 7 * LARGE, patience_s=patience_s)
    await trio.sleep(after_s)
    assert account.open().grow(LARGE) is gives_way
    assert bool(evicted) is gives_way


async def test_answer_waits_for_room(autojump_clock):
    # Guards against an answer that is lost though there is room soon.
    account = byte_account.ByteAccount(LIMIT)
    first, _ = opened(account, 7 * LARGE, waits=False)
    second = account.open()
    with trio.fail_after(10):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(second.wait_to_grow, LARGE)
            await trio.sleep(1)
            first.release()
    assert account.held_bytes == LARGE


async def test_answer_larger_than_all_does_not_wait(autojump_clock):
    # Guards against a request that is held though it can't be served.
    account = byte_account.ByteAccount(LIMIT)
    with trio.fail_after(10):
        assert not await account.open().wait_to_grow(LIMIT)
