"""Starts the forwarding process; see `egrethook.platform.daemon`."""

import gc
import signal
import sys

# Changed settings are read at the start anyway; the default action of the signal
# would end a process that has just begun.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

# Collecting while modules load finds nothing and takes a tenth of the time.
gc.disable()

from egrethook.platform.daemon import main  # noqa: E402

sys.exit(main())
