"""tests.test_daemon: Tests of failed starts and early reloads of the daemon."""

import os
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import testscenarios
import testtools

from demo.cluster import BASE_VARIABLE, default_base
from knapweeddeal.libraries import MARKER_NAME

ROOT = Path(__file__).resolve().parent.parent
TIMEOUT_S = 20
#: An address that no interface of this VM has.
UNAVAILABLE_ADDRESS = "192.0.2.1:7000"
SETTINGS = """
[daemon]
name = entry-1
role = entry
zone = zone-a
listen = 127.251.0.1:7000
log_file =
control = control-1=127.251.0.2:7000
[entry]
announce = 127.251.0.1:7010
ticket_keys = 1:00112233445566778899aabbccddeeff
"""


class FailedStart(testscenarios.TestWithScenarios, testtools.TestCase):
    """A daemon that can't open an address or its log must exit with a clear error.

    It could otherwise run without the socket, or show a traceback in place of the
    setting's value.
    """

    scenarios = [
        (
            "listen",
            {
                "old": "listen = 127.251.0.1:7000",
                "new": f"listen = {UNAVAILABLE_ADDRESS}",
            },
        ),
        (
            "announce",
            {
                "old": "announce = 127.251.0.1:7010",
                "new": f"announce = {UNAVAILABLE_ADDRESS}",
            },
        ),
        ("log file", {"old": "log_file =", "new": "log_file = /nowhere/log"}),
    ]

    def test_exit_status(self):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "entry.ini"
            path.write_text(SETTINGS.replace(self.old, self.new), encoding="utf-8")
            done = subprocess.run(
                [sys.executable, "-m", "knapweeddeal.daemon", str(path)],
                cwd=ROOT,
                capture_output=True,
                text=True,
                timeout=TIMEOUT_S,
                check=False,
            )
        self.assertEqual(4, done.returncode, done.stderr)
        self.assertIn("knapweeddeald: bad_setting: can't be", done.stderr)
        self.assertIn(self.new.split(" = ")[1], done.stderr)
        self.assertNotIn("Traceback", done.stderr)


BASE = int(os.environ.get(BASE_VARIABLE, 0)) or default_base()
FORWARDER = f"""
[daemon]
name = front-1
role = forwarder
zone = zone-a
listen = 127.{BASE}.93.3:7000
seeds = 127.{BASE}.93.4:7001
log_file = -
[forwarder]
packets = 127.{BASE}.93.3:7002
ready = 127.{BASE}.93.3:7003
"""


class EarlyReload(testscenarios.TestWithScenarios, testtools.TestCase):
    """SIGHUP before the role handles signals must not end the process.

    The default action of SIGHUP ends a process, and a reload can arrive at any time.
    """

    scenarios = [
        ("module", {"command": ["-m", "knapweeddeal.daemon"]}),
        ("checkout", {"command": ["deploy/knapweeddeald.py"]}),
    ]

    def test_early_reload(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = Path(folder.name) / "front.ini"
        os.mkfifo(path)
        process = subprocess.Popen(
            [sys.executable, *self.command, str(path)],
            cwd=ROOT,
            stdout=subprocess.DEVNULL,
        )
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        # Blocks until the process opens the FIFO, just before it reads its settings.
        with open(path, "w", encoding="utf-8") as settings:
            process.send_signal(signal.SIGHUP)
            time.sleep(0.1)
            self.assertIsNone(process.poll())
            settings.write(FORWARDER)
        time.sleep(0.3)
        self.assertIsNone(process.poll())


class ForeignLibraries(testtools.TestCase):
    """Libraries of another platform must end a start with a clear error.

    Processes ran with them, and ended when a compiled module was first used.
    """

    def test_exit_status(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        marker = Path(folder.name) / MARKER_NAME
        marker.write_text(".cpython-311-other.so\n", encoding="utf-8")
        path = Path(folder.name) / "front.ini"
        path.write_text(FORWARDER, encoding="utf-8")
        done = subprocess.run(
            [sys.executable, "-m", "knapweeddeal.daemon", str(path)],
            cwd=ROOT,
            env={**os.environ, "PYTHONPATH": folder.name},
            capture_output=True,
            text=True,
            timeout=TIMEOUT_S,
            check=False,
        )
        self.assertEqual(4, done.returncode, done.stderr)
        self.assertIn("knapweeddeald: bad_install: ", done.stderr)
        self.assertIn(f"{folder.name}='.cpython-311-other.so'", done.stderr)


class LoadedLibraries(testtools.TestCase):
    """The log must tell which libraries a process runs with.

    Libraries of another platform are only slower at first, which nothing else shows.
    """

    def test_logged(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = Path(folder.name) / "front.ini"
        path.write_text(FORWARDER, encoding="utf-8")
        process = subprocess.Popen(
            [sys.executable, "-m", "knapweeddeal.daemon", str(path)],
            cwd=ROOT,
            env={**os.environ, "MSGPACK_PUREPYTHON": "1"},
            stdout=subprocess.PIPE,
        )
        self.addCleanup(process.wait)
        self.addCleanup(process.stdout.close)
        self.addCleanup(process.kill)
        lines = iter(process.stdout.readline, b"")
        line = next(line for line in lines if b"daemon: loaded the libraries" in line)
        self.assertIn(b"msgpack.fallback", line)


#: Stands in for a module of the standard library that takes time to import.
SLOW_MODULE = """
import _signal
import sys

sys.exit(_signal.getsignal(_signal.SIGHUP) is not _signal.SIG_IGN)
"""


class SlowImports(testscenarios.TestWithScenarios, testtools.TestCase):
    """The launcher ignores SIGHUP before it imports what isn't built in.

    SIGHUP ended processes during these imports, on a fraction of a core for 0.1 s.
    """

    scenarios = [(name, {"name": name}) for name in ("enum", "pathlib")]

    def test_ignored_before(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        (Path(folder.name) / f"{self.name}.py").write_text(SLOW_MODULE, "utf-8")
        done = subprocess.run(
            [sys.executable, "-S", "deploy/knapweeddeald.py", "--check"],
            cwd=ROOT,
            env={**os.environ, "PYTHONPATH": folder.name},
            capture_output=True,
            preexec_fn=lambda: signal.signal(signal.SIGHUP, signal.SIG_DFL),
            timeout=TIMEOUT_S,
            check=False,
        )
        self.assertEqual((0, b""), (done.returncode, done.stderr))


class ClosedStreams(testscenarios.TestWithScenarios, testtools.TestCase):
    """A process whose standard streams are closed runs as with a log that is lost."""

    scenarios = [
        (str(closed), {"closed": closed})
        for closed in ((0,), (1,), (2,), (1, 2), (0, 1, 2))
    ]

    def test_runs(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = Path(folder.name) / "front.ini"
        path.write_text(FORWARDER, encoding="utf-8")
        process = subprocess.Popen(
            [sys.executable, "deploy/knapweeddeald.py", str(path)],
            cwd=ROOT,
            stdout=subprocess.DEVNULL,
            preexec_fn=lambda: [os.close(number) for number in self.closed],
        )
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        self.assertRaises(subprocess.TimeoutExpired, process.wait, 2)
