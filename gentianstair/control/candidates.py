"""Know which control processes could hold leases now."""

import contextlib
import typing

import trio

from gentianstair import errors
from gentianstair.generated import messages
from gentianstair.platform import settled
from gentianstair.platform import store as stores
from gentianstair.util import clock as clocks

KIND = 'candidate'
PURPOSE = 'candidate'
# A candidate whose object did not change for so many heartbeats is gone.
MISSED = 3
# Whoever sees an object unchanged for so many heartbeats deletes it.
FORGOTTEN = 50


class Candidates:
    """This process's heartbeat, and the heartbeats it sees.

    What is seen here decides only who tries first; a wrong view costs a
    conflict or a delay, never two holders.
    """

    def __init__(
        self,
        store: stores.Store,
        holder: str,
        failure_domain: str,
        clock: clocks.Clock,
        heartbeat_s: float,
    ) -> None:
        self._store = store
        self._holder = holder
        self._failure_domain = failure_domain
        self._clock = clock
        self._heartbeat_s = heartbeat_s
        self._version = 0
        self._seen: dict[str, tuple[int, float]] = {}
        self.names: tuple[str, ...] = (holder,)

    async def beat(self) -> None:
        """Show that this process is there, and look who else is."""
        try:
            await self._show()
            listing = await self._store.list(KIND, purpose=PURPOSE)
        except errors.StoreError:
            return
        now_s = self._clock()
        names = {self._holder}
        for item in listing.objects:
            known = self._seen.get(item.name)
            if known is None or known[0] != item.version:
                known = (item.version, now_s)
                self._seen[item.name] = known
            age_s = now_s - known[1]
            if age_s < MISSED * self._heartbeat_s:
                names.add(item.name)
            elif age_s > FORGOTTEN * self._heartbeat_s:
                await self._delete(item.name, item.version)
        self.names = tuple(sorted(names))

    async def _show(self) -> None:
        value: messages.CandidateValue = {
            'failure_domain': self._failure_domain,
            'nonce': settled.new_nonce(),
        }
        try:
            self._version = await settled.put(
                self._store,
                KIND,
                self._holder,
                typing.cast(stores.Value, value),
                self._version,
                purpose=PURPOSE,
            )
        except errors.StoreConflictError as error:
            # An earlier beat took effect late, or it was forgotten.
            self._version = error.current_version

    async def _delete(self, name: str, version: int) -> None:
        self._seen.pop(name, None)
        with contextlib.suppress(errors.StoreError):
            await self._store.delete(KIND, name, version, purpose=PURPOSE)

    async def run(self) -> None:
        """Beat until cancelled, then leave so that others know at once."""
        try:
            while True:
                await self.beat()
                await trio.sleep(self._heartbeat_s)
        finally:
            with trio.CancelScope(shield=True):
                with trio.move_on_after(self._heartbeat_s):
                    await self._delete(self._holder, self._version)


def make_candidates(
    store: stores.Store,
    holder: str,
    failure_domain: str,
    clock: clocks.Clock,
    heartbeat_s: float,
) -> Candidates:
    """Return the candidates as seen by the process named holder."""
    return Candidates(store, holder, failure_domain, clock, heartbeat_s)
