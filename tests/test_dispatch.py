"""tests.test_dispatch: Tests of methods that vary by the type of an argument."""

import testscenarios
import testtools

from knapweeddeal.dispatch import methoddispatch


class Shape:
    """Name what it is given."""

    def __init__(self, *, name):
        self._name = name

    @methoddispatch
    def of(self, value, *, mark=""):
        """Return a default."""
        return f"{self._name} other{mark}"

    @of.register
    def _(self, value: int, *, mark=""):
        return f"{self._name} whole{mark}"

    @of.register(str)
    @of.register(bytes)
    def _(self, value, *, mark=""):
        return f"{self._name} text{mark}"


class Dispatch(testscenarios.TestWithScenarios, testtools.TestCase):
    """The nearest registered type decides, for each object on its own."""

    scenarios = [
        ("default", {"value": 1.5, "expected": "other"}),
        ("registered", {"value": 1, "expected": "whole"}),
        ("subclass", {"value": True, "expected": "whole"}),
        ("two types", {"value": b"", "expected": "text"}),
    ]

    def test_of(self):
        one, other = Shape(name="a"), Shape(name="b")
        for _ in range(2):
            self.assertEqual(f"a {self.expected}", one.of(self.value))
            self.assertEqual(f"b {self.expected}!", other.of(self.value, mark="!"))

    def test_late_registration_counts(self):
        class Late:
            @methoddispatch
            def of(self, value):
                return "default"

        late = Late()
        self.assertEqual("default", late.of(1))
        Late.__dict__["of"].register(int, lambda self, value: "late")
        self.assertEqual("late", late.of(1))
