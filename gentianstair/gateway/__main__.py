"""Start the gateway with ``python3 -m gentianstair.gateway``."""

import gc
import os
import signal
import sys

# Ignore SIGHUP until its handler is installed; the default action would
# terminate the process while it starts.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
# Until its handler is installed, a planned stop ends the process as one that
# has served: no request has come yet.
signal.signal(signal.SIGTERM, lambda *_: os._exit(0))
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
# Without the interpreter's own shutdown, which restores the default actions
# of signals: another SIGTERM would end a planned stop like a crash.
sys.stdout.flush()
sys.stderr.flush()
os._exit(0)
