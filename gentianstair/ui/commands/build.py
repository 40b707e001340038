"""Tell the build of sources, as processes name it in logs and metrics."""

import pathlib
import typing

import cappa

from gentianstair import errors
from gentianstair.ui import session as sessions
from gentianstair.util import build_info


@cappa.command(
    name='build',
    epilog='Example: `gentianstair build checkout/gentianstair`',
)
class Build:
    """Show the build of these sources, or of the package in a folder."""

    folder: typing.Annotated[
        pathlib.Path | None, cappa.Arg(help='The folder of the package.')
    ] = None


@sessions.run.register
async def _build(command: Build, session: sessions.Session) -> None:
    folder = command.folder
    if folder is not None and not (folder / '__init__.py').is_file():
        raise errors.UserError(f'{folder}: not the folder of a package')
    found = build_info.build()
    if folder is not None:
        found = build_info.digest_of(folder)
    session.out.rows(('build',), [{'build': found}])
