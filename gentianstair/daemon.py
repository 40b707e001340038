"""Start a daemon: read its settings, set up its logs, run it."""

import collections.abc
import os
import sys
import typing

import trio

from gentianstair import errors
from gentianstair import settings
from gentianstair.generated import settings as generated
from gentianstair.util import logs

_VARIABLES = frozenset(
    setting.variable for setting in (*generated.ENTRY, *generated.CONTROL)
)


def start(
    program: str,
    table: collections.abc.Sequence[settings.Setting],
    kind: type,
    run: collections.abc.Callable[
        [typing.Any], collections.abc.Awaitable[None]
    ],
) -> None:
    """Run a daemon until it is stopped; exit 1 on a user's mistake.

    kind is the type of its settings. Each bad setting is told in one line.
    """
    try:
        values = settings.read(
            program, table, sys.argv[1:], os.environ, _VARIABLES
        )
        config = kind(**values)
        logs.setup(config.log_level, config.vm_name, config.failure_domain)
        trio.run(run, config)
    except errors.UserError as error:
        print(error, file=sys.stderr)
        sys.exit(1)
