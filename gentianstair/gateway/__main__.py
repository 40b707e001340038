"""Start the gateway with ``python3 -m gentianstair.gateway``."""

import gc
import signal

from gentianstair import program

# Ignore SIGHUP until its handler is installed; the default action would
# terminate the process while it starts.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
program.prepare()
# Objects created by imports live as long as the process. Disabling collection
# shortens the start, and freezing them makes later collections cheaper.
gc.disable()

from gentianstair.gateway import deferred  # noqa: E402
from gentianstair.util import deferred_imports  # noqa: E402

deferred_imports.defer(deferred.MODULES)

from gentianstair.gateway import main  # noqa: E402

gc.freeze()
gc.enable()
main.main()
program.end()
