"""Start the gateway; ``python3 -m gentianstair.gateway``."""

import signal

# Until the program has read its settings there is nothing to reload, and the
# signal's default action would end a process that only just starts.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from gentianstair.gateway import main  # noqa: E402

main.main()
