"""Read the gateway's own settings from environment variables."""

import collections.abc
import math
import typing

from gentianstair import errors

METRICS_PORT_VARIABLE = 'GENTIANSTAIR_METRICS_PORT'
KEEP_ALIVE_VARIABLE = 'GENTIANSTAIR_KEEP_ALIVE_S'
MAX_KEEP_ALIVE_S = 3600.0
FIRST_START_SPREAD_VARIABLE = 'GENTIANSTAIR_FIRST_START_SPREAD_S'
MAX_FIRST_START_SPREAD_S = 10.0


class EnvironmentSettings(typing.NamedTuple):
    """Settings from the environment; None stands for the default."""

    # Metrics are served at this port; None disables them.
    metrics_port: int | None = None
    # How long an idle connection of a caller is kept open.
    keep_alive_s: float | None = None
    # Over how long the VMs of a fleet that starts for the first time register
    # in the store; 0 if all do so at once.
    first_start_spread_s: float = 0.0


DEFAULTS = EnvironmentSettings()


def read(environ: collections.abc.Mapping[str, str]) -> EnvironmentSettings:
    """Return the settings; raise SettingsError at a bad one."""
    return EnvironmentSettings(
        _port(environ.get(METRICS_PORT_VARIABLE)),
        _keep_alive_s(environ.get(KEEP_ALIVE_VARIABLE)),
        _first_start_spread_s(environ.get(FIRST_START_SPREAD_VARIABLE)),
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
    value_s = _seconds(text)
    if not 0 < value_s <= MAX_KEEP_ALIVE_S:
        raise errors.SettingsError(
            f'{KEEP_ALIVE_VARIABLE}: {text!r} is not a number of seconds '
            f'above 0 and up to {MAX_KEEP_ALIVE_S:g}'
        )
    return value_s


def _first_start_spread_s(text: str | None) -> float:
    if text is None:
        return DEFAULTS.first_start_spread_s
    value_s = _seconds(text)
    if not 0 <= value_s <= MAX_FIRST_START_SPREAD_S:
        raise errors.SettingsError(
            f'{FIRST_START_SPREAD_VARIABLE}: {text!r} is not a number of '
            f'seconds from 0 to {MAX_FIRST_START_SPREAD_S:g}'
        )
    return value_s


def _seconds(text: str) -> float:
    """Return the number in text, or NaN, which is in no range."""
    try:
        return float(text)
    except ValueError:
        return math.nan
