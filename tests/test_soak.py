"""tests.test_soak: A short soak, and the seeds that ever failed."""

import os
import subprocess
import sys

import testscenarios
import testtools

from demo.cluster import BASE_VARIABLE, default_base
from tests.processes import ROOT

#: Kinds of faults when the first seeds were run.
FIRST_KINDS = (
    "kill replica",
    "kill forwarder",
    "stop",
    "kill all",
    "pause",
    "reload",
    "proxy",
    "wipe",
    "drain",
    "crash",
)
#: Seeds by what they failed by, or what they are run for, and the time of faults.
SEEDS = [
    ("short run", {"seed": 1, "seconds": 6}),
    # A reload ended a replica that had just started, before it read signals.
    ("reload during a start", {"seed": 18, "seconds": 10, "kinds": FIRST_KINDS}),
]


class Soak(testscenarios.TestWithScenarios, testtools.TestCase):
    """Random faults on real processes break no promise."""

    scenarios = SEEDS
    kinds = ()

    def test_seed(self):
        base = os.environ.get(BASE_VARIABLE) or str(default_base())
        words = [str(self.seed), "--seconds", str(self.seconds), "--base", base]
        if self.kinds:
            words += ["--kinds", *self.kinds]
        done = subprocess.run(
            [sys.executable, "-m", "soak", *words],
            cwd=ROOT,
            capture_output=True,
            text=True,
        )
        self.assertEqual(0, done.returncode, done.stdout + done.stderr)
