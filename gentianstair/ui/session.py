"""Hold what a command needs of the flags that all commands share."""

import functools
import typing

from gentianstair import errors
from gentianstair.store import store
from gentianstair.ui import output


class Session(typing.NamedTuple):
    """What one run of the command line works with."""

    client: store.Store | None
    platform_url: str | None
    entry_urls: tuple[str, ...]
    actor: str
    out: output.Output

    @property
    def store(self) -> store.Store:
        """Return the store's client; raise UserError if none was named."""
        if self.client is None:
            raise errors.UserError(
                'name the platform with --platform-url'
                ' or GENTIANSTAIR_PLATFORM_URL'
            )
        return self.client


@functools.singledispatch
async def run(command: typing.Any, session: Session) -> None:
    """Run a command; each command's module registers its own."""
    raise errors.UserError(f'no such command: {type(command).__name__}')
