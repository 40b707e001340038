"""Reload the settings file on SIGHUP and when it changes."""

import collections.abc
import pathlib
import signal

import loguru
import trio

from gentianstair import errors
from gentianstair.gateway import deployment
from gentianstair.generated import events

# How often the file is read without a signal.
POLL_INTERVAL_S = 2.0

ReadSettings = collections.abc.Callable[[pathlib.Path], deployment.Deployment]


class Reloader:
    """Apply changed settings; an invalid file changes nothing."""

    def __init__(
        self,
        file: pathlib.Path,
        live: deployment.LiveSettings,
        read: ReadSettings,
    ) -> None:
        self._file = file
        self._live = live
        self._read = read
        # The last error, so that a file that stays invalid is logged once.
        self._last_error = ''

    def check(self) -> None:
        """Read the file once and apply its settings if they changed."""
        try:
            settings = self._read(self._file)
        except errors.SettingsError as error:
            if str(error) != self._last_error:
                loguru.logger.bind(event=events.SETTINGS_BAD).error(
                    '{}', error
                )
            self._last_error = str(error)
            return
        self._last_error = ''
        if settings == self._live.current:
            return
        changed = [
            name
            for name in settings._fields
            if getattr(settings, name) != getattr(self._live.current, name)
        ]
        loguru.logger.bind(event=events.SETTINGS, changed=changed).info(
            'applied changed settings: {}', ', '.join(changed)
        )
        self._live.current = settings

    async def run(self) -> None:
        """Check on each SIGHUP and every POLL_INTERVAL_S, until cancelled."""
        with trio.open_signal_receiver(signal.SIGHUP) as signals:
            while True:
                with trio.move_on_after(POLL_INTERVAL_S):
                    await anext(signals)
                    loguru.logger.bind(event=events.RELOAD).info(
                        'SIGHUP received, reloading the settings'
                    )
                self.check()
