"""tests.__main__: Run all tests, or those whose names hold a given text."""

import sys
import time
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent


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


def chosen(suite, words):
    """Return the tests whose ids hold one of the words, or all."""
    tests = list(flatten(suite))
    if words:
        tests = [test for test in tests if any(word in test.id() for word in words)]
    return unittest.TestSuite(tests)


class TimedResult(unittest.TextTestResult):
    """Print the time of each test that takes long."""

    #: Tests that take longer are named.
    SLOW_S = 5.0

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


def main():
    """Run the tests and print the counts last."""
    suite = unittest.defaultTestLoader.discover(
        str(ROOT / "tests"), top_level_dir=str(ROOT)
    )
    runner = unittest.TextTestRunner(
        stream=sys.stdout, verbosity=1, resultclass=TimedResult
    )
    result = runner.run(chosen(suite, sys.argv[1:]))
    red = known_red()
    failed = {test.id() for test, _ in result.failures + result.errors}
    failed |= {test.id() for test in result.unexpectedSuccesses}
    for name in sorted(failed & set(red)):
        print(f"known red: {red[name]}")
    new = failed - set(red)
    skipped = len(result.skipped)
    if skipped:
        print(f"not run: {skipped}")
    print(f"{result.testsRun - len(failed) - skipped} passed, {len(new)} failed")
    return 1 if new or not result.testsRun else 0


if __name__ == "__main__":
    sys.exit(main())
