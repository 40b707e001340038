"""Apply updates from peers that replace reads of the store."""

import typing

import loguru

from gentianstair import errors
from gentianstair.gateway import catalog
from gentianstair.gateway import store_watch
from gentianstair.generated import events


class PeerUpdates(typing.NamedTuple):
    """What a process needs to apply updates from peers."""

    decode_catalog: typing.Callable[[typing.Any], catalog.Catalog]
    apply_catalog: typing.Callable[[catalog.Catalog], None]
    store_health: store_watch.StoreHealth

    def apply_config(self, raw: typing.Any) -> None:
        """Apply a peer's configuration if it can be decoded."""
        try:
            self.apply_catalog(self.decode_catalog(raw))
        except errors.DecodeError as error:
            loguru.logger.bind(event=events.PEER_UNREADABLE).warning(
                '{}', error
            )
