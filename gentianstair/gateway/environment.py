"""Read the gateway's own settings from environment variables."""

import collections.abc
import typing

from gentianstair import errors

METRICS_PORT_VARIABLE = 'GENTIANSTAIR_METRICS_PORT'
KEEP_ALIVE_VARIABLE = 'GENTIANSTAIR_KEEP_ALIVE_S'
MAX_KEEP_ALIVE_S = 3600.0


class EnvironmentSettings(typing.NamedTuple):
    """Settings from the environment; None stands for the default."""

    # Metrics are served at this port; None disables them.
    metrics_port: int | None = None
    # How long an idle connection of a caller is kept open.
    keep_alive_s: float | None = None


DEFAULTS = EnvironmentSettings()


def read(environ: collections.abc.Mapping[str, str]) -> EnvironmentSettings:
    """Return the settings; raise SettingsError at a bad one."""
    return EnvironmentSettings(
        _port(environ.get(METRICS_PORT_VARIABLE)),
        _keep_alive_s(environ.get(KEEP_ALIVE_VARIABLE)),
    )


def _port(text: str | None) -> int | None:
    if text is None:
        return None
    if not text.isdigit() or not 0 < int(text) < 65536:
        raise errors.SettingsError(
            f'{METRICS_PORT_VARIABLE}: {text!r} is not a port'
        )
    return int(text)


def _keep_alive_s(text: str | None) -> float | None:
    if text is None:
        return None
    try:
        value_s = float(text)
    except ValueError:
        value_s = 0.0
    if not 0 < value_s <= MAX_KEEP_ALIVE_S:
        raise errors.SettingsError(
            f'{KEEP_ALIVE_VARIABLE}: {text!r} is not a number of seconds '
            f'above 0 and up to {MAX_KEEP_ALIVE_S:g}'
        )
    return value_s
