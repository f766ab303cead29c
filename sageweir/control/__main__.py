"""`python -m sageweir.control`: the same as `sageweir control`."""

from __future__ import annotations

import sys

from sageweir.control.command import control

if __name__ == "__main__":
    sys.exit(control(standalone_mode=True))
