"""tests.__main__: Run all tests, or those whose names hold a given text.

Modules run in a few processes at a time. Each process prints its result as one
line of JSON after its output, so that the counts can be joined.
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
#: Processes that run tests at a time.
WORKERS = 4
#: Longest time that one module may take.
MODULE_S = 1_200
#: Modules that take longest, which start first.
LONGEST = (
    "test_failures",
    "test_specs",
    "test_controlprocess",
    "test_zones",
    "test_operations",
    "test_journal",
)
#: Second numbers of loopback addresses that runs of the tests share.
BASES = range(1, 200)
#: Port whose binding reserves a number.
RESERVING_PORT = 6999
#: Option of a process that runs one module.
ONE = "--one"


class Outcome:
    """Hold what became of some tests."""

    def __init__(self, *, run, failed, skipped):
        self.run = run
        self.failed = failed
        self.skipped = skipped

    def to_json(self):
        """Return one line of JSON."""
        return json.dumps([self.run, sorted(self.failed), self.skipped])

    @classmethod
    def from_json(cls, line):
        """Return the outcome that a line holds."""
        run, failed, skipped = json.loads(line)
        return cls(run=run, failed=set(failed), skipped=skipped)


class TimedResult(unittest.TextTestResult):
    """Print the time of each test that takes long."""

    #: Tests that take longer are named.
    SLOW_S = 10.0

    def startTest(self, test):  # noqa: N802
        """Note the time."""
        self._started_s = time.monotonic()
        super().startTest(test)

    def stopTest(self, test):  # noqa: N802
        """Name a slow test."""
        spent_s = time.monotonic() - self._started_s
        if spent_s > self.SLOW_S:
            self.stream.writeln(f"slow: {test.id()} took {spent_s:.1f} s")
        super().stopTest(test)


def known_red():
    """Return the test ids of KNOWN-RED.txt, with their whole entries."""
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
    """Run tests in this process; return their outcome."""
    runner = unittest.TextTestRunner(
        stream=sys.stdout, verbosity=1, resultclass=TimedResult
    )
    result = runner.run(suite)
    failed = {test.id() for test, _ in result.failures + result.errors}
    failed |= {test.id() for test in result.unexpectedSuccesses}
    return Outcome(run=result.testsRun, failed=failed, skipped=len(result.skipped))


def run_one(module):
    """Run one module in this process and print its outcome as the last line."""
    suite = unittest.defaultTestLoader.loadTestsFromName(f"tests.{module}")
    print(run_suite(suite).to_json(), flush=True)


def run_words(words):
    """Run the tests whose ids hold one of the words in this process."""
    suite = unittest.defaultTestLoader.discover(
        str(ROOT / "tests"), top_level_dir=str(ROOT)
    )
    tests = [test for test in flatten(suite) if any(w in test.id() for w in words)]
    base, reserving = take_base()
    os.environ[BASE_VARIABLE] = str(base)
    with reserving:
        return run_suite(unittest.TestSuite(tests))


def take_base():
    """Return a free number for addresses and the socket that reserves it.

    Other runs of the tests at the same time hold the sockets of their numbers.
    """
    for base in random.sample(BASES, len(BASES)):
        reserving = socket.socket()
        try:
            reserving.bind((f"127.{base}.0.1", RESERVING_PORT))
        except OSError:
            reserving.close()
            continue
        return base, reserving
    raise OSError("no loopback addresses are free")


def run_module(module):
    """Run one module in a process of its own; return its outcome."""
    base, reserving = take_base()
    with reserving:
        return run_module_on(module, base)


def run_module_on(module, base):
    """Run one module on addresses with a number; return its outcome."""
    done = subprocess.run(
        [sys.executable, "-m", "tests", ONE, module],
        cwd=ROOT,
        env={**os.environ, BASE_VARIABLE: str(base)},
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        timeout=MODULE_S,
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
    """Run every module, a few at a time; return the joined outcome."""
    names = sorted(path.stem for path in (ROOT / "tests").glob("test_*.py"))
    names.sort(key=lambda name: LONGEST.index(name) if name in LONGEST else 99)
    with ThreadPoolExecutor(WORKERS) as pool:
        outcomes = list(pool.map(run_module, names))
    return Outcome(
        run=sum(outcome.run for outcome in outcomes),
        failed=set().union(*(outcome.failed for outcome in outcomes)),
        skipped=sum(outcome.skipped for outcome in outcomes),
    )


def report(outcome):
    """Print known reds, what wasn't run, and the counts last; return the status."""
    red = known_red()
    new = outcome.failed - set(red)
    for name in sorted(outcome.failed & set(red)):
        print(f"known red: {red[name]}")
    for name in sorted(new):
        print(f"failed: {name}")
    if outcome.skipped:
        print(f"not run: {outcome.skipped}")
    passed = max(outcome.run - len(outcome.failed) - outcome.skipped, 0)
    print(f"{passed} passed, {len(new)} failed")
    return 1 if new or not outcome.run else 0


def main():
    """Run the tests; return the exit status."""
    arguments = sys.argv[1:]
    if arguments[:1] == [ONE]:
        run_one(arguments[1])
        return 0
    return report(run_words(arguments) if arguments else run_all())


if __name__ == "__main__":
    sys.exit(main())
