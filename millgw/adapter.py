"""Deprecated alias of `millgw.simulator.adapter`: `python -m millgw.adapter` works for one more release."""

from __future__ import annotations

import sys

from millgw.simulator.adapter import main

if __name__ == "__main__":
    sys.exit(main())
