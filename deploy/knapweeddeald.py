"""Run the daemon from a checkout: `-m` and collecting garbage cost its start time."""

import gc
import signal
import sys
from pathlib import PurePath

# The daemon does so too, but its import takes a while at a small share of a core.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
gc.disable()
sys.path.insert(0, str(PurePath(__file__).parent.parent))

if __name__ == "__main__":
    from knapweeddeal.daemon import main

    sys.exit(main())
