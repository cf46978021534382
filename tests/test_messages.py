"""tests.test_messages: Tests of the codec and its checks."""

import msgpack
import testscenarios
import testtools

from knapweeddeal import messages
from knapweeddeal.errors import BadMessageError
from knapweeddeal.messages import caller, control


class RoundTrip(testtools.TestCase):
    """Encoding and decoding give the same message."""

    def test_nested(self):
        entry = control.ServiceEntry(name="a", host="127.0.0.1", port=1, draining=["u"])
        configuration = control.Configuration(version=3, services=[entry])
        wire = messages.encode(control.ConfigurationPush(configuration=configuration))
        self.assertEqual(configuration, messages.decode(wire).configuration)


class BadInput(testscenarios.TestWithScenarios, testtools.TestCase):
    """Every kind of nonsense raises BadMessageError."""

    scenarios = [
        ("empty", {"data": b""}),
        ("garbage", {"data": b"\xc1\xff\x00"}),
        ("truncated", {"data": msgpack.packb([1, "svc", 1, 2])[:-1]}),
        ("trailing", {"data": msgpack.packb([9, "svc", 1]) + b"x"}),
        ("no list", {"data": msgpack.packb({"a": 1})}),
        ("unknown tag", {"data": msgpack.packb([9999])}),
        ("tag of a list", {"data": msgpack.packb([[1], 2])}),
        ("too few fields", {"data": msgpack.packb([1, "svc"])}),
        ("wrong type", {"data": msgpack.packb([1, 5, 1, 2])}),
        ("negative", {"data": msgpack.packb([1, "svc", -1, 2])}),
        ("truth for number", {"data": msgpack.packb([1, "svc", True, 2])}),
        ("long text", {"data": msgpack.packb([1, "s" * 65, 1, 2])}),
        ("long body", {"data": msgpack.packb([10, "s", 1, 2, b"x" * 1201])}),
        ("deep", {"data": b"\x91" * 100_000}),
    ]

    def test_raises(self):
        self.assertRaises(BadMessageError, messages.decode, self.data)


class Constructor(testtools.TestCase):
    """Constructors take every field by name."""

    def test_names(self):
        self.assertRaises(TypeError, caller.KeepAliveAck, service="a")
        self.assertRaises(TypeError, caller.KeepAliveAck, service="a", flow_id=1, x=2)
