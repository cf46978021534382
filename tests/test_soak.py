"""tests.test_soak: A short soak, and seeds of earlier failures."""

import os
import shutil
import signal
import subprocess
import sys
import tempfile
import threading
from pathlib import Path

import testscenarios
import testtools

from demo.cluster import BASE_VARIABLE, default_base
from soak.cluster import REPLICAS, Process
from soak.peers import Callers, Problems
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
    # Flows moved to an upstream with a colliding id, as two forwarders had offered
    # copies of one SYN to both.
    ("short run", {"seed": 1, "seconds": 6}),
    # SIGHUP ended a replica that had just started and did not handle signals yet.
    ("reload during a start", {"seed": 18, "seconds": 10, "kinds": FIRST_KINDS}),
    # A replica whose disk was being replaced got a signal, which ended a thread; so it
    # did with seed 2466007170.
    ("reload during a replacement", {"seed": 3330688605, "seconds": 12}),
    # One report or configuration of another writer ended replicas, or reset flows.
    (
        "strangers",
        {"seed": 101, "seconds": 4, "kinds": ("strangers", "pause", "kill replica")},
    ),
    # With an even number of replicas, one that is out of reach leaves the quorum.
    (
        "four replicas",
        {
            "seed": 1,
            "seconds": 6,
            "kinds": ("kill replica", "stop", "pause", "proxy", "wipe"),
            "replicas": 4,
        },
    ),
]


#: Exits with status 1 if processes that a soak starts would ignore SIGHUP from exec on.
INHERITED = """
import signal, sys
import soak.__main__, tests.processes
sys.exit(signal.getsignal(signal.SIGHUP) is not signal.SIG_DFL)
"""


class InheritedSignals(testtools.TestCase):
    """Started processes get the default action of SIGHUP, as on the platform.

    They inherited that it was ignored, which hid an end by SIGHUP during a start.
    """

    def test_default(self):
        done = subprocess.run(
            [sys.executable, "-c", INHERITED],
            cwd=ROOT,
            preexec_fn=lambda: signal.signal(signal.SIGHUP, signal.SIG_DFL),
            check=False,
        )
        self.assertEqual(0, done.returncode)


class UnstartedProcess(testtools.TestCase):
    """A replica gets a signal while its disk is replaced.

    Guards against an error of the soak's own that ends a fault early.
    """

    def test_signal(self):
        folder = Path(tempfile.mkdtemp(prefix="soak-"))
        self.addCleanup(shutil.rmtree, folder)
        process = Process(
            folder=folder, name="replica", settings="", fault_injection=False
        )
        process.send_signal(signal.SIGHUP)
        self.assertFalse(process.ended_unexpectedly())


class StandIns(testtools.TestCase):
    """An error in a thread of a stand-in fails the run.

    Guards against a traceback beside a report without a broken promise.
    """

    def test_error(self):
        self.patch(threading, "excepthook", threading.excepthook)
        problems = Problems()
        problems.watch_threads()
        thread = threading.Thread(target=lambda: 1 / 0)
        thread.start()
        thread.join()
        (found,) = problems.found
        self.assertIn("ZeroDivisionError", found)

    def test_close(self):
        """Callers don't send on their socket after it was closed."""
        self.patch(threading, "excepthook", threading.excepthook)
        problems = Problems()
        problems.watch_threads()
        for number in range(5):
            callers = Callers(
                address=("127.0.0.1", 0),
                forwarders=[("127.0.0.1", 9)],
                routes={443: "records"},
                service_host="198.18.0.1",
                problems=problems,
                seed=number,
            )
            callers.open_interval_s = 0.0
            callers.close()
        self.assertEqual([], problems.found)


class Soak(testscenarios.TestWithScenarios, testtools.TestCase):
    """Random faults on real processes must violate no guarantee.

    Guards against failures that need several faults at once, such as a reload
    during a start.
    """

    scenarios = SEEDS
    kinds = ()
    replicas = REPLICAS

    def test_seed(self):
        base = os.environ.get(BASE_VARIABLE) or str(default_base())
        arguments = [str(self.seed), "--seconds", str(self.seconds), "--base", base]
        arguments += ["--replicas", str(self.replicas)]
        if self.kinds:
            arguments += ["--kinds", *self.kinds]
        done = subprocess.run(
            [sys.executable, "-m", "soak", *arguments],
            cwd=ROOT,
            capture_output=True,
            text=True,
        )
        self.assertEqual(0, done.returncode, done.stdout + done.stderr)
