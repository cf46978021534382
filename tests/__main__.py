"""tests.__main__: Run all tests, or those whose ids contain a given text.

Each module runs in a process of its own, a few at a time. A process prints its
outcome as the last line, in JSON, so that the outcomes can be summed.
"""

import json
import os
import random
import socket
import subprocess
import sys
import time
import unittest
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from demo.cluster import BASE_VARIABLE

ROOT = Path(__file__).resolve().parent.parent
#: Processes that run tests concurrently.
MAX_PROCESSES = 4
#: Time after which the run of one module is aborted.
MODULE_TIMEOUT_S = 1_200
#: The slowest modules, which start before all others.
SLOWEST_MODULES = (
    "test_failures",
    "test_specs",
    "test_controlprocess",
    "test_consensussearch",
    "test_zones",
    "test_operations",
    "test_journal",
)
#: Second octets of loopback addresses from which concurrent runs reserve theirs.
LOOPBACK_BASES = range(1, 200)
#: Port whose binding reserves a second octet.
RESERVATION_PORT = 6999
#: Option with which a process runs one module.
ONE_MODULE_OPTION = "--one"


class Outcome:
    """Hold the outcome of some tests: a count, the ids that failed, the skipped."""

    def __init__(self, *, run, failed, skipped):
        self.run = run
        self.failed = failed
        self.skipped = skipped

    def to_json(self):
        """Return one line of JSON."""
        return json.dumps([self.run, sorted(self.failed), self.skipped])

    @classmethod
    def from_json(cls, line):
        """Return the outcome from one line of JSON."""
        run, failed, skipped = json.loads(line)
        return cls(run=run, failed=set(failed), skipped=skipped)


class TimedResult(unittest.TextTestResult):
    """Report the time of each slow test."""

    #: Tests that take longer are reported.
    SLOW_S = 10.0

    def startTest(self, test):  # noqa: N802
        """Record the start time."""
        self._started_s = time.monotonic()
        super().startTest(test)

    def stopTest(self, test):  # noqa: N802
        """Report the test if it was slow."""
        spent_s = time.monotonic() - self._started_s
        if spent_s > self.SLOW_S:
            self.stream.writeln(f"slow: {test.id()} took {spent_s:.1f} s")
        super().stopTest(test)


def known_failures():
    """Return the entries of KNOWN-RED.txt by test id."""
    entries = {}
    for line in (ROOT / "KNOWN-RED.txt").read_text(encoding="utf-8").splitlines():
        if line and not line.startswith("#"):
            entries[line.split(" | ")[0]] = line
    return entries


def flatten(suite):
    """Yield the tests of a suite."""
    for item in suite:
        if isinstance(item, unittest.TestSuite):
            yield from flatten(item)
        else:
            yield item


def run_suite(suite):
    """Run a suite in this process; return its outcome."""
    runner = unittest.TextTestRunner(
        stream=sys.stdout, verbosity=1, resultclass=TimedResult
    )
    result = runner.run(suite)
    failed = {test.id() for test, _ in result.failures + result.errors}
    failed |= {test.id() for test in result.unexpectedSuccesses}
    return Outcome(run=result.testsRun, failed=failed, skipped=len(result.skipped))


def run_module_here(module):
    """Run one module in this process and print its outcome as the last line."""
    suite = unittest.defaultTestLoader.loadTestsFromName(f"tests.{module}")
    print(run_suite(suite).to_json(), flush=True)


def run_matching(texts):
    """Run the tests whose ids contain one of the texts, in this process."""
    suite = unittest.defaultTestLoader.discover(
        str(ROOT / "tests"), top_level_dir=str(ROOT)
    )
    tests = [test for test in flatten(suite) if any(w in test.id() for w in texts)]
    base, reservation = reserve_base()
    os.environ[BASE_VARIABLE] = str(base)
    with reservation:
        return run_suite(unittest.TestSuite(tests))


def reserve_base():
    """Return a free second octet and the socket whose binding reserves it.

    Concurrent runs of the tests reserve theirs in the same way.
    """
    for base in random.sample(LOOPBACK_BASES, len(LOOPBACK_BASES)):
        reservation = socket.socket()
        try:
            reservation.bind((f"127.{base}.0.1", RESERVATION_PORT))
        except OSError:
            reservation.close()
            continue
        return base, reservation
    raise OSError(
        "expected a free second octet for loopback addresses, all are reserved"
    )


def run_module(module):
    """Run one module in a process of its own; return its outcome."""
    base, reservation = reserve_base()
    with reservation:
        return run_module_at(module, base)


def run_module_at(module, base):
    """Run one module on addresses with a second octet; return its outcome."""
    done = subprocess.run(
        [sys.executable, "-m", "tests", ONE_MODULE_OPTION, module],
        cwd=ROOT,
        env={**os.environ, BASE_VARIABLE: str(base)},
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        timeout=MODULE_TIMEOUT_S,
        check=False,
    )
    *output, last = done.stdout.splitlines() or [""]
    try:
        outcome = Outcome.from_json(last)
    except ValueError:
        output.append(last)
        outcome = Outcome(run=1, failed={f"tests.{module}"}, skipped=0)
    report = "\n".join(output)
    print(f"== {module}\n{report}", flush=True)
    return outcome


def run_all():
    """Run every module, a few at a time; return the summed outcome."""
    names = sorted(path.stem for path in (ROOT / "tests").glob("test_*.py"))
    names.sort(
        key=lambda name: SLOWEST_MODULES.index(name) if name in SLOWEST_MODULES else 99
    )
    with ThreadPoolExecutor(MAX_PROCESSES) as pool:
        outcomes = list(pool.map(run_module, names))
    return Outcome(
        run=sum(outcome.run for outcome in outcomes),
        failed=set().union(*(outcome.failed for outcome in outcomes)),
        skipped=sum(outcome.skipped for outcome in outcomes),
    )


def report(outcome):
    """Print failures, known ones apart, and the counts last; return the exit status."""
    known = known_failures()
    unexpected = outcome.failed - set(known)
    for name in sorted(outcome.failed & set(known)):
        print(f"known red: {known[name]}")
    for name in sorted(unexpected):
        print(f"failed: {name}")
    if outcome.skipped:
        print(f"not run: {outcome.skipped}")
    passed = max(outcome.run - len(outcome.failed) - outcome.skipped, 0)
    print(f"{passed} passed, {len(unexpected)} failed")
    return 1 if unexpected or not outcome.run else 0


def main():
    """Run all tests or those of the command line; return the exit status."""
    arguments = sys.argv[1:]
    if arguments[:1] == [ONE_MODULE_OPTION]:
        run_module_here(arguments[1])
        return 0
    return report(run_matching(arguments) if arguments else run_all())


if __name__ == "__main__":
    sys.exit(main())
