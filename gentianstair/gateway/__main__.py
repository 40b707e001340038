"""Start the gateway; ``python3 -m gentianstair.gateway``."""

import gc
import signal

# Until the program has read its settings there is nothing to reload, and the
# signal's default action would end a process that only just starts.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
# Nothing that imports make is garbage. To look for it prolongs the time in
# which a restarted VM serves nobody, and each later look.
gc.disable()

from gentianstair.gateway import main  # noqa: E402

gc.freeze()
gc.enable()
main.main()
