"""tests.test_demo: The demo, end to end, in separate processes."""

import subprocess
import sys
from pathlib import Path

import testtools

ROOT = Path(__file__).resolve().parent.parent
TIMEOUT_S = 60


class Demo(testtools.TestCase):
    """`make run` must answer every request, break no guarantee and exit.

    Guards against failures that appear only between real processes.
    """

    def test_run(self):
        done = subprocess.run(
            [sys.executable, "-m", "demo"],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=TIMEOUT_S,
            check=False,
        )
        self.assertEqual(0, done.returncode, done.stdout + done.stderr)
        self.assertIn("whole answers: 100 of 100, wrong: 0", done.stdout)
        self.assertIn("flows that got a push: 10 of 10", done.stdout)
        self.assertIn("publish: revision 1 is in force", done.stdout)
        self.assertIn("admission: admitted", done.stdout)
        self.assertIn("broken promises: none", done.stdout)
