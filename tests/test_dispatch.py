"""tests.test_dispatch: Tests of methods dispatched on an argument's type."""

import testscenarios
import testtools

from knapweeddeal.dispatch import methoddispatch


class Labeled:
    """Class with a dispatched method."""

    def __init__(self, *, name):
        self._name = name

    @methoddispatch
    def of(self, value, *, suffix=""):
        """Return the result for unregistered types."""
        return f"{self._name} other{suffix}"

    @of.register
    def _(self, value: int, *, suffix=""):
        return f"{self._name} whole{suffix}"

    @of.register(str)
    @of.register(bytes)
    def _(self, value, *, suffix=""):
        return f"{self._name} text{suffix}"


class Dispatch(testscenarios.TestWithScenarios, testtools.TestCase):
    """The most specific registered type wins, and each call keeps its own object.

    A cached method must not stay bound to the first object that called it.
    """

    scenarios = [
        ("unregistered type", {"value": 1.5, "expected": "other"}),
        ("registered type", {"value": 1, "expected": "whole"}),
        ("subclass of a registered type", {"value": True, "expected": "whole"}),
        ("method for two types", {"value": b"", "expected": "text"}),
    ]

    def test_of(self):
        first, second = Labeled(name="a"), Labeled(name="b")
        for _ in range(2):
            self.assertEqual(f"a {self.expected}", first.of(self.value))
            self.assertEqual(f"b {self.expected}!", second.of(self.value, suffix="!"))

    def test_registration_after_a_call(self):
        class Late:
            @methoddispatch
            def of(self, value):
                return "default"

        late = Late()
        self.assertEqual("default", late.of(1))
        Late.__dict__["of"].register(int, lambda self, value: "late")
        self.assertEqual("late", late.of(1))
