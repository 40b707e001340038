"""Test the client of a store that comes back from a copy."""

import pytest
import trio

from gentianstair import errors
from gentianstair.platform import object_store
from gentianstair.store import confirmed_write
from gentianstair.store import era as eras
from standins.site import site as sites

KIND = 'thing'


async def write(store, name, value, version):
    return await store.put(KIND, name, value, version, purpose='test')


async def read(store, name):
    return await store.get(KIND, name, purpose='test')


@pytest.fixture
async def site():
    async with sites.running([]) as found:
        yield found


def connect(site):
    return object_store.connect(lambda: f'127.0.0.1:{site.store_port}', 'vm')


async def test_version_of_before_does_not_overwrite_what_came_after(site):
    # Guards against a revision that is given out again and taken for the
    # object that had it before.
    old, other = connect(site), connect(site)
    copied = site.table.copy()
    version = await write(old, 'x', {'n': 1}, 0)
    site.table.go_back(copied)
    same_revision = await write(other, 'x', {'n': 2}, 0)
    assert same_revision > version
    await read(old, 'other')
    with pytest.raises(errors.StoreConflictError) as caught:
        await write(old, 'x', {'n': 3}, version)
    assert caught.value.current_version == same_revision
    assert (await read(other, 'x')).value == {'n': 2}
    with pytest.raises(errors.StoreConflictError):
        await old.delete(KIND, 'x', version, purpose='test')
    assert (await read(other, 'x')).value == {'n': 2}


async def test_write_that_a_new_era_answers_is_no_success(site):
    # Guards against a holder that takes a write over another's object for
    # the renewal of its own.
    old, other = connect(site), connect(site)
    copied = site.table.copy()
    version = await write(old, 'x', {'n': 1}, 0)
    site.table.go_back(copied)
    await write(other, 'x', {'n': 2}, 0)
    with pytest.raises(errors.StoreConflictError):
        await write(old, 'x', {'n': 3}, version)


async def test_watch_ends_at_once_when_the_store_has_gone_back(site):
    # Guards against a watch that goes on from a revision of before.
    store = connect(site)
    copied = site.table.copy()
    version = await write(store, 'x', {'n': 1}, 0)
    outcomes = []

    async def watch():
        try:
            await store.watch([KIND], version, 20.0, purpose='test')
        except errors.WatchTooOldError:
            outcomes.append('too old')

    with trio.fail_after(2.0):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch)
            await trio.sleep(0.1)
            site.table.go_back(copied)
            await read(store, 'x')
    assert outcomes == ['too old']
    with trio.fail_after(1.0):
        with pytest.raises(errors.WatchTooOldError):
            await store.watch([KIND], version, 20.0, purpose='test')


async def test_watch_from_a_peers_revision_ends_when_its_era_begins(site):
    # Guards against a process that ends as a wait ends with no answer.
    store = connect(site)
    listing = await store.list(KIND, purpose='test')
    cursor = listing.revision + eras.join(1, 0)

    async def watch():
        with pytest.raises(errors.WatchTooOldError):
            await store.watch([KIND], cursor, 20.0, purpose='test')

    with trio.fail_after(2.0):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch)
            await trio.sleep(0.1)
            # Not by go_back, which would answer the watch itself.
            site.table.era += 1
            await read(store, 'x')


async def test_confirmed_write_finds_its_object_lost(site):
    # Guards against a write that is taken for done, as its number is there.
    old, other = connect(site), connect(site)
    copied = site.table.copy()
    value = {'n': 1, 'nonce': 'a'}
    version = await write(old, 'x', value, 0)
    site.table.go_back(copied)
    await write(other, 'x', {'n': 2, 'nonce': 'b'}, 0)
    with pytest.raises(errors.StoreConflictError):
        await confirmed_write.put(
            old, KIND, 'x', {'n': 3, 'nonce': 'c'}, version, purpose='test'
        )


async def test_store_without_eras_works_as_before(site):
    site.faults.names_era = False
    store = connect(site)
    version = await write(store, 'x', {'n': 1}, 0)
    assert version == site.table.revision
    assert await write(store, 'x', {'n': 2}, version) == version + 1
