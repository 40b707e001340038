"""Start a daemon: read its settings, set up logging and run it."""

import collections.abc
import os
import sys
import typing

import trio

from gentianstair import errors
from gentianstair import settings
from gentianstair.generated import settings as generated
from gentianstair.util import logs

_DAEMON_VARIABLES = frozenset(
    setting.variable for setting in (*generated.ENTRY, *generated.CONTROL)
)


def start(
    program: str,
    definitions: collections.abc.Sequence[settings.Setting],
    config_class: type,
    run: collections.abc.Callable[
        [typing.Any], collections.abc.Awaitable[None]
    ],
) -> None:
    """Run a daemon until it stops; exit with status 1 on a UserError.

    config_class is the class that holds the daemon's settings.
    """
    try:
        values = settings.read(
            program, definitions, sys.argv[1:], os.environ, _DAEMON_VARIABLES
        )
        config = config_class(**values)
        logs.setup(config.log_level, config.vm_name, config.failure_domain)
        trio.run(run, config)
    except errors.UserError as error:
        print(error, file=sys.stderr)
        sys.exit(1)
