"""Find upstreams by the address that requests are sent to."""

import httpx

from gentianstair.config import view as views
from gentianstair.upstreams import connector


class UpstreamNames:
    """The names of the upstreams in the view, by address."""

    def __init__(self, view: views.View) -> None:
        self._view = view
        self._names: dict[str, str] = {}
        # The view's revision when the names were looked up.
        self._revision = -1

    def name_at(self, address: str) -> str | None:
        """Return the name of the upstream at HOST:PORT, or None."""
        if self._revision != self._view.revision:
            self._revision = self._view.revision
            self._names = {
                upstream_address(value['url']): name
                for name in self._view.valid_names('upstream')
                if (value := self._view.upstream(name)) is not None
            }
        return self._names.get(address)


def upstream_address(url: str | httpx.URL) -> str:
    """Return the HOST:PORT of an upstream's URL.

    >>> upstream_address('https://engine.example/v1')
    'engine.example:443'
    """
    parsed = httpx.URL(url)
    return f'{parsed.host}:{connector.port_of(parsed)}'


__all__ = ['UpstreamNames', 'upstream_address']
