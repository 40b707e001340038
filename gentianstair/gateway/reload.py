"""Read the settings again when they change, with or without a signal."""

import collections.abc
import pathlib
import signal

import loguru
import trio

from gentianstair import errors
from gentianstair.gateway import deployment
from gentianstair.generated import events

# The file may change without a signal; it is read this often.
POLL_INTERVAL_S = 2.0

ReadSettings = collections.abc.Callable[[pathlib.Path], deployment.Deployment]


class Reloader:
    """Puts changed settings in force; a bad file changes nothing."""

    def __init__(
        self,
        file: pathlib.Path,
        live: deployment.LiveSettings,
        read: ReadSettings,
    ) -> None:
        self._file = file
        self._live = live
        self._read = read
        # The last complaint, so that a file that stays bad is told once.
        self._last_error = ''

    def check(self) -> None:
        """Read the file once."""
        try:
            found = self._read(self._file)
        except errors.SettingsError as error:
            if str(error) != self._last_error:
                loguru.logger.bind(event=events.SETTINGS_BAD).error(
                    '{}', error
                )
            self._last_error = str(error)
            return
        self._last_error = ''
        if found == self._live.current:
            return
        changed = [
            name
            for name in found._fields
            if getattr(found, name) != getattr(self._live.current, name)
        ]
        loguru.logger.bind(event=events.SETTINGS, changed=changed).info(
            'changed settings are in force: {}', ', '.join(changed)
        )
        self._live.current = found

    async def run(self) -> None:
        """Look at each SIGHUP and every POLL_INTERVAL_S, until cancelled."""
        with trio.open_signal_receiver(signal.SIGHUP) as signals:
            while True:
                with trio.move_on_after(POLL_INTERVAL_S):
                    await anext(signals)
                    loguru.logger.bind(event=events.RELOAD).info('reloading')
                self.check()
