"""Starts the forwarding process; see `egrethook.platform.daemon`."""

import gc
import sys

# Collecting while modules load finds nothing and takes a tenth of the time.
gc.disable()

from egrethook.platform.daemon import main  # noqa: E402

sys.exit(main())
