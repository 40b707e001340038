"""Read the settings file that the platform lays for each process."""

import os
import pathlib
import tomllib
import typing

from gentianstair import errors
from gentianstair.gateway import deployment

FILE_VARIABLE = 'GENTIANSTAIR_NODE_FILE'
_MISSING = object()


class _Table:
    """One table of the file; every lookup names the field it needs."""

    def __init__(self, name: str, values: typing.Mapping) -> None:
        self._name = name
        self._values = values

    def _get(self, key: str, default: typing.Any) -> typing.Any:
        value = self._values.get(key, default)
        if value is _MISSING:
            raise errors.SettingsError(f'{self._path(key)}: is missing')
        return value

    def _path(self, key: str) -> str:
        return f'{self._name}.{key}' if self._name else key

    def table(self, key: str) -> '_Table':
        """Return a table inside this one."""
        value = self._get(key, _MISSING)
        if not isinstance(value, dict):
            raise errors.SettingsError(f'{self._path(key)}: is no table')
        return _Table(self._path(key), value)

    def text(self, key: str, default: typing.Any = _MISSING) -> str:
        """Return a text."""
        value = self._get(key, default)
        if not isinstance(value, str):
            raise errors.SettingsError(f'{self._path(key)}: is no text')
        return value

    def number(self, key: str, default: typing.Any = _MISSING) -> float:
        """Return a number that is not negative."""
        value = self._get(key, default)
        right = isinstance(value, (int, float)) and not isinstance(value, bool)
        if not right or not value >= 0:
            raise errors.SettingsError(f'{self._path(key)}: is no amount')
        return float(value)

    def flag(self, key: str, default: typing.Any = _MISSING) -> bool:
        """Return true or false."""
        value = self._get(key, default)
        if not isinstance(value, bool):
            raise errors.SettingsError(f'{self._path(key)}: true or false')
        return value

    def listing(self, key: str, default: typing.Any = _MISSING) -> list:
        """Return a list."""
        value = self._get(key, default)
        if not isinstance(value, list):
            raise errors.SettingsError(f'{self._path(key)}: is no list')
        return value


def _bounds(table: _Table) -> deployment.Bounds:
    """Return the bounds in seconds; the file mixes units."""
    return deployment.Bounds(
        drain_s=table.number('drain_ms') / 1000,
        grace_s=table.number('grace_s'),
        config_apply_s=table.number('config_apply_ms') / 1000,
        # How much longer a configuration may take when the store refuses
        # this VM; the file speaks of stretching the bound above.
        config_stretch_s=table.number('max_stretch_ms') / 1000,
        retry_ratio=table.number('budget_ratio'),
        retry_window_s=table.number('budget_window_s'),
        # Repeats of the whole fleet that are free in each window.
        retry_allowance=table.number('retry_slack'),
        orders_fenced=table.flag('fencing_enforced'),
        lease_s=table.number('lease_ms') / 1000,
        usage_window_s=table.number('usage_window_s'),
        usage_late_s=table.number('usage_late_s'),
        retry_after_s=table.number('retry_after_s', 0.0),
    )


def _address(table: _Table, key: str) -> str:
    value = table.text(key)
    host, _, port = value.rpartition(':')
    if not host or not port.isdigit():
        raise errors.SettingsError(f'{key}: {value!r} is no HOST:PORT')
    return value


def _texts(table: _Table, key: str) -> tuple[str, ...]:
    values = table.listing(key, [])
    if not all(isinstance(value, str) for value in values):
        raise errors.SettingsError(f'{key}: must hold texts')
    return tuple(values)


def decode(text: str) -> deployment.Deployment:
    """Return the settings in the file's text; unknown fields are ignored.

    Raise SettingsError, in one line, for what is missing or of another
    type than it must be.
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
        vm=file.text('node'),
        failure_domain=file.text('zone'),
        region=file.text('region', ''),
        ip=file.text('ip'),
        callers_address=_address(listen, 'front'),
        ready_address=_address(listen, 'ready'),
        # The platform calls nothing at this address; peers do.
        peer_address=_address(listen, 'control'),
        peer_seeds=_texts(file, 'seeds'),
        store_address=_address(store, 'address'),
        store_reads_per_s=store.number('reads_per_s'),
        store_writes_per_s=store.number('writes_per_s'),
        duties_address=_address(cloud, 'address'),
        duty_calls_per_s=cloud.number('duty_per_s'),
        memory_mb=limits.number('memory_mb'),
        max_fds=int(limits.number('max_fds')),
        cores=limits.number('cpu_share', 1.0) * limits.number('cores', 1.0),
        replica_heartbeat_s=file.number('heartbeat_ms') / 1000,
        # False when a VM starts into a system that runs already.
        whole_system_starts=file.flag('bootstrap', False),
        bounds=_bounds(file.table('bounds')),
    )


def path() -> pathlib.Path:
    """Return where the settings file lies."""
    value = os.environ.get(FILE_VARIABLE)
    if not value:
        raise errors.SettingsError(f'{FILE_VARIABLE}: is not set')
    return pathlib.Path(value)


def read(file: pathlib.Path) -> deployment.Deployment:
    """Return the settings in a file; raise SettingsError."""
    try:
        text = file.read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise errors.SettingsError(f'{file}: {error}') from error
    return decode(text)
