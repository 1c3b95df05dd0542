"""Starts the forwarding process; see `egrethook.platform.daemon`."""

import gc
import signal
import sys

# SIGHUP reloads the settings, which are read at the start anyway. Its default action
# would end a process that is still loading modules.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

# Garbage collection would take a tenth of the import time and free nothing; `main`
# enables it again.
gc.disable()

from egrethook.platform.daemon import main  # noqa: E402

sys.exit(main())
