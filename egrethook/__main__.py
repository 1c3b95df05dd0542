"""Entry point of ``python -m egrethook``."""

from __future__ import annotations

import sys

from egrethook.operators.commands import main

sys.exit(main())
