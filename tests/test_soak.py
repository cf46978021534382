"""tests.test_soak: A short soak, and seeds of earlier failures."""

import os
import subprocess
import sys

import testscenarios
import testtools

from demo.cluster import BASE_VARIABLE, default_base
from tests.processes import ROOT

#: Kinds of faults that existed when the first seeds ran; a seed repeats its run only
#: with the same kinds.
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
#: Seeds by their failure or purpose, with the time for which faults are injected.
SEEDS = [
    ("short run", {"seed": 1, "seconds": 6}),
    # SIGHUP ended a replica that had just started and did not handle signals yet.
    ("reload during a start", {"seed": 18, "seconds": 10, "kinds": FIRST_KINDS}),
]


class Soak(testscenarios.TestWithScenarios, testtools.TestCase):
    """Random faults on real processes must violate no guarantee.

    Guards against failures that need several faults at once, such as a reload
    during a start.
    """

    scenarios = SEEDS
    kinds = ()

    def test_seed(self):
        base = os.environ.get(BASE_VARIABLE) or str(default_base())
        arguments = [str(self.seed), "--seconds", str(self.seconds), "--base", base]
        if self.kinds:
            arguments += ["--kinds", *self.kinds]
        done = subprocess.run(
            [sys.executable, "-m", "soak", *arguments],
            cwd=ROOT,
            capture_output=True,
            text=True,
        )
        self.assertEqual(0, done.returncode, done.stdout + done.stderr)
