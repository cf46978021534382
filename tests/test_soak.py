"""tests.test_soak: A short soak, and the seeds that ever failed."""

import os
import subprocess
import sys

import testscenarios
import testtools

from demo.cluster import BASE_VARIABLE, default_base
from tests.processes import ROOT

#: Seeds by what they failed by, or what they are run for.
SEEDS = [("short run", {"seed": 1}), ("another short run", {"seed": 2})]
SECONDS = 6


class Soak(testscenarios.TestWithScenarios, testtools.TestCase):
    """Random faults on real processes break no promise."""

    scenarios = SEEDS

    def test_seed(self):
        base = os.environ.get(BASE_VARIABLE) or str(default_base())
        words = [str(self.seed), "--seconds", str(SECONDS), "--base", base]
        done = subprocess.run(
            [sys.executable, "-m", "soak", *words],
            cwd=ROOT,
            capture_output=True,
            text=True,
        )
        self.assertEqual(0, done.returncode, done.stdout + done.stderr)
