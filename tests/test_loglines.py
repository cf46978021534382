"""tests.test_loglines: Tests of rate-limited, non-blocking log lines."""

import json
import os

import testscenarios
import testtools

from knapweeddeal.loglines import MAX_PENDING_BYTES, LineRateLimiter, LineSink


class RateLimit(testtools.TestCase):
    """Each kind of line has its own rate limit; suppressed lines are counted."""

    def test_lines_over_the_limit(self):
        limiter = LineRateLimiter(per_second=2)
        results = [limiter.acquire("frequent", 0) for _ in range(5)]
        self.assertEqual([0, 0, None, None, None], results)
        self.assertEqual(0, limiter.acquire("rare", 0))
        self.assertEqual(3, limiter.acquire("frequent", 1_000))
        self.assertEqual(0, limiter.acquire("frequent", 1_000))


class PipeCase(testtools.TestCase):
    """Base of tests that write log lines into a pipe."""

    def setUp(self):
        super().setUp()
        self.reader, self.writer = os.pipe()
        os.set_blocking(self.reader, False)
        self.addCleanup(os.close, self.writer)
        self.addCleanup(os.close, self.reader)
        self.sink = LineSink(descriptor=self.writer, per_second=100_000)

    def write(self, **fields):
        """Write a log line."""
        self.sink.write("part", "info", "does a thing", fields)

    def read(self):
        """Return the lines in the pipe."""
        data = os.read(self.reader, 1 << 20)
        return [json.loads(line) for line in data.splitlines()]


class Pipe(PipeCase):
    """Lines that a full pipe rejects are dropped; the writer never blocks."""

    def test_fields_of_a_line(self):
        self.write(flow="1.2.3.4:5", address=("10.0.0.1", 1))
        (line,) = self.read()
        self.assertEqual("part: does a thing", line["text"])
        self.assertEqual(["10.0.0.1", 1], line["address"])
        self.assertIn("wall_ms", line)

    def test_no_reader(self):
        for number in range(5_000):
            self.write(number=number, filler="x" * 100)
        self.assertGreater(self.sink.dropped, 0)


class ReturningReader(testscenarios.TestWithScenarios, PipeCase):
    """Once a reader is back, each line is read or counted as dropped.

    How much room a full buffer leaves depends on the length of the lines.
    """

    scenarios = [(f"{extra} bytes more", {"extra": "x" * extra}) for extra in range(8)]
    LINES = 5_120

    def test_reader_comes_back(self):
        for number in range(5_000):
            self.write(number=number, filler="x" * 100 + self.extra)
        for size in range(100, 0, -1):
            self.write(number=number, filler="x" * size + self.extra)
        self.assertGreater(self.sink.dropped, 0)
        data = b""
        for number in range(5_100, self.LINES):
            data += os.read(self.reader, 1 << 20)
            self.write(number=number)
        data += os.read(self.reader, MAX_PENDING_BYTES * 2)
        lines = [json.loads(line) for line in data.splitlines()]
        dropped = sum(line.get("dropped", 0) for line in lines)
        self.assertEqual(0, self.sink.dropped)
        self.assertEqual(self.LINES, len(lines) + dropped)
        self.assertEqual(self.LINES - 1, lines[-1]["number"])


class ClosedDescriptor(testtools.TestCase):
    """Lines for a closed descriptor must not reach a file that gets its number."""

    def test_reused_number(self):
        reader, writer = os.pipe()
        self.addCleanup(os.close, reader)
        os.close(writer)
        sink = LineSink(descriptor=writer)
        other_reader, other_writer = os.pipe()
        self.addCleanup(os.close, other_reader)
        self.addCleanup(os.close, other_writer)
        self.assertIn(writer, (other_reader, other_writer))
        os.set_blocking(other_reader, False)
        sink.write("part", "info", "does a thing", {})
        self.assertRaises(BlockingIOError, os.read, other_reader, 1)
