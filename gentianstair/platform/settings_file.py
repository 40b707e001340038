"""Read the settings file that the platform writes for each process."""

import os
import pathlib
import tomllib
import typing

from gentianstair import errors
from gentianstair.gateway import deployment
from gentianstair.limits import rate_limit

# The environment variable with the path of the file.
PATH_VARIABLE = 'GENTIANSTAIR_NODE_FILE'
_REQUIRED = object()


class _Table:
    """A table of the file; errors name the full path of a field."""

    def __init__(self, name: str, values: typing.Mapping) -> None:
        self._name = name
        self._values = values

    def _get(self, key: str, default: typing.Any) -> typing.Any:
        value = self._values.get(key, default)
        if value is _REQUIRED:
            raise errors.SettingsError(f'{self._path(key)}: is missing')
        return value

    def _path(self, key: str) -> str:
        return f'{self._name}.{key}' if self._name else key

    def table(self, key: str) -> '_Table':
        """Return a table inside this one."""
        value = self._get(key, _REQUIRED)
        if not isinstance(value, dict):
            raise errors.SettingsError(f'{self._path(key)}: must be a table')
        return _Table(self._path(key), value)

    def string(self, key: str, default: typing.Any = _REQUIRED) -> str:
        """Return a string."""
        value = self._get(key, default)
        if not isinstance(value, str):
            raise errors.SettingsError(f'{self._path(key)}: must be a string')
        return value

    def number(self, key: str, default: typing.Any = _REQUIRED) -> float:
        """Return a number that is not negative."""
        value = self._get(key, default)
        is_number = isinstance(value, (int, float)) and not isinstance(
            value, bool
        )
        if not is_number or not value >= 0:
            raise errors.SettingsError(
                f'{self._path(key)}: must be a number >= 0'
            )
        return float(value)

    def flag(self, key: str, default: typing.Any = _REQUIRED) -> bool:
        """Return a boolean."""
        value = self._get(key, default)
        if not isinstance(value, bool):
            raise errors.SettingsError(
                f'{self._path(key)}: must be true or false'
            )
        return value

    def array(self, key: str, default: typing.Any = _REQUIRED) -> list:
        """Return an array."""
        value = self._get(key, default)
        if not isinstance(value, list):
            raise errors.SettingsError(f'{self._path(key)}: must be an array')
        return value


def _decode_bounds(table: _Table) -> deployment.Bounds:
    """Return the bounds, with all times in seconds."""
    return deployment.Bounds(
        drain_s=table.number('drain_ms') / 1000,
        grace_s=table.number('grace_s'),
        config_apply_s=table.number('config_apply_ms') / 1000,
        # How much longer than config_apply_s a configuration may take on a
        # VM without access to the store.
        config_stretch_s=table.number('max_stretch_ms') / 1000,
        retry_ratio=table.number('budget_ratio'),
        retry_window_s=table.number('budget_window_s'),
        # Retries of all VMs in each window, in addition to the ratio.
        retry_allowance=table.number('retry_slack'),
        orders_fenced=table.flag('fencing_enforced'),
        lease_s=table.number('lease_ms') / 1000,
        usage_window_s=table.number('usage_window_s'),
        usage_late_s=table.number('usage_late_s'),
        limit_tolerance=_decode_limit_tolerance(table),
    )


def _decode_limit_tolerance(table: _Table) -> rate_limit.Tolerance:
    """Return the tolerance of rate limits, without one where none is set."""
    strict = rate_limit.Tolerance()
    return rate_limit.Tolerance(
        table.number('quota_window_s', strict.window_s),
        table.number('quota_overage', strict.overage_ratio),
        # In requests or tokens, as the limit itself.
        table.number('quota_slack', strict.allowance),
    )


def _address(table: _Table, key: str) -> str:
    value = table.string(key)
    host, _, port = value.rpartition(':')
    if not host or not port.isdigit():
        raise errors.SettingsError(f'{key}: {value!r} is not HOST:PORT')
    return value


def _strings(table: _Table, key: str) -> tuple[str, ...]:
    values = table.array(key, [])
    if not all(isinstance(value, str) for value in values):
        raise errors.SettingsError(f'{key}: must contain only strings')
    return tuple(values)


def decode(text: str) -> deployment.Deployment:
    """Return the settings in the file's text; ignore unknown fields.

    Raise SettingsError, with a message of one line, for a field that is
    missing or not valid.
    """
    try:
        file = _Table('', tomllib.loads(text))
    except tomllib.TOMLDecodeError as error:
        raise errors.SettingsError(f'settings file: {error}') from error
    listen = file.table('listen')
    store = file.table('platform')
    cloud = file.table('cloud')
    limits = file.table('limits')
    return deployment.Deployment(
        vm=file.string('node'),
        failure_domain=file.string('zone'),
        region=file.string('region', ''),
        ip=file.string('ip'),
        callers_address=_address(listen, 'front'),
        ready_address=_address(listen, 'ready'),
        # Only peers connect to this address, not the platform.
        peer_address=_address(listen, 'control'),
        peer_seeds=_strings(file, 'seeds'),
        store_address=_address(store, 'address'),
        store_reads_per_s=store.number('reads_per_s'),
        store_writes_per_s=store.number('writes_per_s'),
        duties_address=_address(cloud, 'address'),
        duty_calls_per_s=cloud.number('duty_per_s'),
        memory_mb=limits.number('memory_mb'),
        max_fds=int(limits.number('max_fds')),
        cores=limits.number('cpu_share', 1.0) * limits.number('cores', 1.0),
        replica_heartbeat_s=file.number('heartbeat_ms') / 1000,
        # False if the VM joins a deployment that is already running.
        whole_system_starts=file.flag('bootstrap', False),
        bounds=_decode_bounds(file.table('bounds')),
    )


def path() -> pathlib.Path:
    """Return the path of the settings file; raise SettingsError if unset."""
    value = os.environ.get(PATH_VARIABLE)
    if not value:
        raise errors.SettingsError(f'{PATH_VARIABLE} is not set')
    return pathlib.Path(value)


def read(file: pathlib.Path) -> deployment.Deployment:
    """Return the settings in a file; raise SettingsError."""
    try:
        text = file.read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise errors.SettingsError(f'{file}: {error}') from error
    return decode(text)
