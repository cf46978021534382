"""tests.test_packetheader: Tests of the packet header."""

import testscenarios
import testtools

from knapweeddeal import packetheader

SYN = bytes.fromhex(
    "08 00 00 00 00 00 00 00 44 33 22 11 00 00 00 00"
    "bb 01 01 00 12 c6 41 9c 07 00 40 64 d5 c3 b2 a1"
)
RESET = bytes.fromhex(
    "40 00 00 00 00 00 00 00 00 00 00 00 00 00 00 00"
    "41 9c 07 00 40 64 bb 01 01 00 12 c6 00 00 00 00"
)


class PacketHeader(testtools.TestCase):
    """Check the byte layout against the platform's example of a SYN and its reset."""

    def test_reset(self):
        self.assertEqual(RESET, packetheader.build_reset(SYN))

    def test_caller(self):
        self.assertEqual("100.64.0.7", packetheader.flow_caller_host(SYN))

    def test_description(self):
        expected = "100.64.0.7:40001>198.18.0.1:443#287454020"
        self.assertEqual(expected, packetheader.describe_flow(SYN))

    def test_route(self):
        key = packetheader.route_key("198.18.0.1", 443)
        self.assertEqual(key, SYN[packetheader.ROUTE_SLICE])


class ResetSequence(testscenarios.TestWithScenarios, testtools.TestCase):
    """A reset carries the sequence number that the caller acknowledged."""

    scenarios = [
        ("zero", {"ack": 0}),
        ("within the range", {"ack": 76_800}),
        ("highest", {"ack": 2**32 - 1}),
    ]

    def test_sequence(self):
        data = SYN[:12] + self.ack.to_bytes(4, "little") + SYN[16:]
        sequence = packetheader.build_reset(data)[8:12]
        self.assertEqual(self.ack, int.from_bytes(sequence, "little"))
