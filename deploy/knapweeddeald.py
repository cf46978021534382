"""Run the daemon from a checkout: `-m` and collecting garbage cost its start time."""

import gc
import sys
from pathlib import PurePath

gc.disable()
sys.path.insert(0, str(PurePath(__file__).parent.parent))

if __name__ == "__main__":
    from knapweeddeal.daemon import main

    sys.exit(main())
