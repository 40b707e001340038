"""Forward claims to the VM that owns their shard, over peer links."""

import collections.abc
import itertools
import typing

import cbor2
import msgspec
import trio

from gentianstair import errors
from gentianstair.control import rendezvous
from gentianstair.entry import claim_shard
from gentianstair.entry import claims as claimses
from gentianstair.generated import messages
from gentianstair.generated import settings
from gentianstair.peers import link
from gentianstair.store import confirmed_write
from gentianstair.store import presence
from gentianstair.store import store as stores
from gentianstair.util import clock as clocks
from gentianstair.util import tasks

KIND = 'claim-owner'
VERSION = 1
HEARTBEAT_S = 3.0
# Time after which this VM writes a forwarded batch by itself.
ANSWER_TIMEOUT_S = 0.6
RECONNECT_S = 1.0
# Most changes in a message, which with full bodies must fit a link's limit.
MAX_CHANGES = 100
_EMPTY_FIELDS = {'digest': '', 'vm': '', 'content_type': ''}


def _to_message(change: claim_shard.Change) -> messages.ClaimChange:
    fields = {**_EMPTY_FIELDS, 'status': 0, 'body': None, **change._asdict()}
    fields['type'] = type(change).__name__
    return typing.cast(messages.ClaimChange, fields)


def _to_change(message: messages.ClaimChange) -> claim_shard.Change:
    kinds = {
        kind.__name__: kind
        for kind in (claim_shard.Take, claim_shard.Keep, claim_shard.Drop)
    }
    kind = kinds.get(message['type'])
    if kind is None:
        raise errors.DecodeError(f'a change of type {message["type"]!r}')
    fields = {name: message[name] for name in kind._fields}
    return kind(**fields)


def _decode(data: bytes, kind: typing.Any) -> typing.Any:
    try:
        return msgspec.convert(link.load(data), kind)
    except (msgspec.ValidationError, TypeError) as error:
        raise errors.DecodeError(str(error)) from error


class _OwnerLink:
    """The requests in flight on one connection to an owner."""

    def __init__(self, channel: link.Channel) -> None:
        self._channel = channel
        self._ids = itertools.count()
        self._pending: dict[int, trio.Event] = {}
        self._answers: dict[int, messages.ClaimAnswer] = {}

    async def ask(
        self, shard_number: int, changes: list[claim_shard.Change]
    ) -> list[claim_shard.ChangeResult]:
        """Have the owner apply changes; raise StoreOutcomeUnknownError."""
        ask: messages.ClaimAsk = {
            'version': VERSION,
            'ask_id': next(self._ids),
            'shard': shard_number,
            'changes': [_to_message(change) for change in changes],
        }
        done = self._pending[ask['ask_id']] = trio.Event()
        try:
            with trio.move_on_after(ANSWER_TIMEOUT_S):
                await self._channel.send(cbor2.dumps(ask))
                await done.wait()
        except link.LinkClosedError as error:
            raise errors.StoreOutcomeUnknownError(str(error)) from error
        finally:
            del self._pending[ask['ask_id']]
        answer = self._answers.pop(ask['ask_id'], None)
        if answer is None or answer['founds'] is None:
            raise errors.StoreOutcomeUnknownError(
                'the owner did not confirm the changes'
            )
        return [
            claim_shard.ChangeResult(
                claim_shard.State(found['state']), found['entry']
            )
            for found in answer['founds']
        ]

    async def read(self) -> None:
        """Receive answers until the connection ends."""
        while True:
            data = await self._channel.receive()
            answer = _decode(data, messages.ClaimAnswer)
            done = self._pending.get(answer['ask_id'])
            # Ignore answers to requests that have timed out.
            if done is not None:
                self._answers[answer['ask_id']] = answer
                done.set()


class Links(claimses.ShardOwners):
    """Links to other VMs, as owners of shards and as their clients."""

    def __init__(
        self,
        claims: claimses.Claims,
        network: link.Network,
        vm_name: str,
        make_presence: collections.abc.Callable[[str], presence.Presence],
    ) -> None:
        self._claims = claims
        self._network = network
        self._vm_name = vm_name
        self._make_presence = make_presence
        self._presence: presence.Presence | None = None
        self._links: dict[str, _OwnerLink] = {}
        self._dialed: dict[str, str] = {}
        self._owner_cache: dict[str, str] = {}

    def owner_of(self, shard_name: str) -> str | None:
        """See ShardOwners.owner_of; None without a link to the owner."""
        owner = self._owner_cache.get(shard_name)
        if owner is None:
            owner = max(
                self._presence.addresses
                if self._presence
                else [self._vm_name],
                key=lambda name: rendezvous.score(shard_name, name),
            )
            self._owner_cache[shard_name] = owner
        return owner if owner in self._links else None

    async def forward(
        self,
        owner: str,
        shard_number: int,
        changes: list[claim_shard.Change],
    ) -> list[claim_shard.ChangeResult]:
        """See ShardOwners.forward."""
        founds = []
        for first in range(0, len(changes), MAX_CHANGES):
            found_link = self._links.get(owner)
            if found_link is None:
                raise errors.StoreOutcomeUnknownError(f'no link to {owner}')
            part = changes[first : first + MAX_CHANGES]
            founds += await found_link.ask(shard_number, part)
        return founds

    async def run(self) -> None:
        """Accept links and keep links to all other VMs, until cancelled."""
        async with trio.open_nursery() as nursery:
            running = tasks.Tasks(nursery)
            address = await nursery.start(self._network.serve, self._accept)
            self._presence = self._make_presence(address)
            running.keep_running('claim-presence', self._presence.run)
            self._claims.owners = self
            while True:
                self._owner_cache = {}
                for name, owner_address in self._presence.addresses.items():
                    if name != self._vm_name and name not in self._dialed:
                        self._dialed[name] = owner_address
                        running.start_soon(
                            'claim-link',
                            self._keep_link,
                            name,
                            owner_address,
                            peer=owner_address,
                        )
                await trio.sleep(RECONNECT_S)

    async def _keep_link(self, name: str, address: str) -> None:
        """Keep one link open until it breaks."""
        try:
            async with self._network.open(address) as channel:
                self._links[name] = _OwnerLink(channel)
                await self._links[name].read()
        except (link.LinkClosedError, errors.DecodeError):
            await trio.sleep(RECONNECT_S)
        finally:
            self._links.pop(name, None)
            del self._dialed[name]

    async def _accept(self, channel: link.Channel) -> None:
        """Serve one VM; a fault closes its link, so that it does not wait."""
        await tasks.run_guarded('claim-server', self._serve_peer, channel)

    async def _serve_peer(self, channel: link.Channel) -> None:
        """Serve the requests of one VM concurrently."""
        try:
            async with trio.open_nursery() as nursery:
                while True:
                    data = await channel.receive()
                    ask = _decode(data, messages.ClaimAsk)
                    nursery.start_soon(self._apply_request, channel, ask)
        except* (link.LinkClosedError, errors.DecodeError):
            await channel.aclose()

    async def _apply_request(
        self, channel: link.Channel, ask: messages.ClaimAsk
    ) -> None:
        answer: messages.ClaimAnswer = {
            'version': VERSION,
            'ask_id': ask['ask_id'],
            'founds': None,
        }
        changes = [_to_change(message) for message in ask['changes']]
        try:
            founds = await self._claims.apply_forwarded(ask['shard'], changes)
        except errors.StoreError:
            founds = None
        if founds is not None:
            answer['founds'] = [
                {'state': found.state.value, 'entry': found.entry}
                for found in founds
            ]
        await channel.send(cbor2.dumps(answer))


def make_links(
    claims: claimses.Claims,
    network: link.Network,
    vm_name: str,
    make_presence: collections.abc.Callable[[str], presence.Presence],
) -> Links:
    """Return links for claims.

    make_presence takes this VM's link address. Its presence must list the
    objects of this module's KIND by the name of the VM.
    """
    return Links(claims, network, vm_name, make_presence)


def connect(
    config: settings.EntrySettings,
    claims: claimses.Claims,
    store: stores.Store,
    clock: clocks.Clock,
    max_accepted: int,
) -> Links:
    """Return links by the settings; the name is unique to this process.

    At most max_accepted links of other processes are served.
    """
    network = link.make_network(
        config._replace(peer_listen=config.claim_listen), max_accepted
    )
    name = f'{config.vm_name}.{confirmed_write.new_nonce()}'

    def make_presence(address: str) -> presence.Presence:
        shown = config.claim_advertise or address
        return presence.make_presence(
            store, KIND, name, shown, clock, HEARTBEAT_S
        )

    return make_links(claims, network, name, make_presence)
