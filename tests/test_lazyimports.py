"""tests.test_lazyimports: Tests of deferred and blocked imports."""

import multiprocessing
import multiprocessing.connection
import subprocess
import sys

import testscenarios
import testtools

from knapweeddeal.lazyimports import CONNECTION_CONSTANTS

#: Program of a process that imports curio as a daemon does.
IMPORT_CURIO = """
import sys
from knapweeddeal.lazyimports import defer_unused_by_curio
defer_unused_by_curio()
import curio
"""


def run_python(program):
    """Return the output of a Python program."""
    return subprocess.run(
        [sys.executable, "-c", IMPORT_CURIO + program],
        capture_output=True,
        check=True,
        text=True,
        timeout=60,
    ).stdout.strip()


class CurioImport(testscenarios.TestWithScenarios, testtools.TestCase):
    """curio works without the modules that are deferred, and loads them on use."""

    scenarios = [
        (
            "not loaded",
            {
                "program": "print('tempfile' in sys.modules, 'ssl' in sys.modules)",
                "expected": "False True",
            },
        ),
        (
            "threads",
            {
                "program": "print(curio.run(curio.run_in_thread, len, 'abc'))",
                "expected": "3",
            },
        ),
        (
            "loaded on use",
            {
                "program": "import pickle, multiprocessing as processes\n"
                "print(pickle.loads(pickle.dumps(7)), processes.Value('i', 8).value)",
                "expected": "7 8",
            },
        ),
    ]

    def test_output(self):
        self.assertEqual(self.expected, run_python(self.program))

    def test_constants(self):
        real = multiprocessing.connection
        expected = {name: getattr(real, name) for name in CONNECTION_CONSTANTS}
        self.assertEqual(expected, CONNECTION_CONSTANTS)
