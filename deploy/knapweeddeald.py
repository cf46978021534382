"""Run the daemon from a checkout, without the start-up time of `-m` and of the GC."""

import gc
import signal
import sys
from pathlib import PurePath

# The daemon does so too, but on a fraction of a core its import is slow enough for a
# SIGHUP to arrive first and end the process.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
gc.disable()
sys.path.insert(0, str(PurePath(__file__).parent.parent))

if __name__ == "__main__":
    from knapweeddeal.daemon import main

    sys.exit(main())
