"""Run the daemon from a checkout, without the start-up time of `-m` and of the GC."""

import _signal

# SIGHUP ends a process that does not handle it. `signal` and `pathlib` import further
# modules, which takes longer than the interpreter itself; `_signal` is built in.
_signal.signal(_signal.SIGHUP, _signal.SIG_IGN)

import gc  # noqa: E402
import sys  # noqa: E402
from pathlib import PurePath  # noqa: E402

gc.disable()
sys.path.insert(0, str(PurePath(__file__).parent.parent))

if __name__ == "__main__":
    from knapweeddeal.daemon import main

    sys.exit(main())
