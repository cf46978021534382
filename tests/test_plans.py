"""tests.test_plans: Tests of intents and the resulting changes."""

import testscenarios
import testtools

from knapweeddeal.errors import InvalidIntentError
from knapweeddeal.messages.control import Configuration, ServiceEntry
from knapweeddeal.messages.operator import IntentStep
from knapweeddeal.plans import apply_steps


def step(action, service="web", host="", port=0, upstream_id=""):
    """Return a step of an intent."""
    return IntentStep(
        action=action, service=service, host=host, port=port, upstream_id=upstream_id
    )


def service(name, host="127.0.0.1", port=80, draining=()):
    """Return a confirmed service."""
    return ServiceEntry(name=name, host=host, port=port, draining=list(draining))


BEFORE = Configuration(
    version=7,
    services=[service("web", draining=["u1"]), service("dns", host="::1", port=53)],
)


class ValidIntents(testscenarios.TestWithScenarios, testtools.TestCase):
    """Valid steps give the next version and list what they change."""

    scenarios = [
        (
            "create",
            {
                "steps": [step("create-service", "new", "127.0.0.2", 80)],
                "web": service("web", draining=["u1"]),
                "differences": ["create service new at 127.0.0.2:80"],
                "changed": (["new"], []),
            },
        ),
        (
            "change",
            {
                "steps": [step("change-service", host="127.0.0.9", port=81)],
                "web": service("web", "127.0.0.9", 81, ["u1"]),
                "differences": ["change service web from 127.0.0.1:80 to 127.0.0.9:81"],
                "changed": (["web"], []),
            },
        ),
        (
            "remove",
            {
                "steps": [step("remove-service")],
                "web": None,
                "differences": ["remove service web at 127.0.0.1:80"],
                "changed": (["web"], []),
            },
        ),
        (
            "drain and undrain",
            {
                "steps": [
                    step("drain-upstream", upstream_id="u2"),
                    step("undrain-upstream", upstream_id="u1"),
                ],
                "web": service("web", draining=["u2"]),
                "differences": [
                    "drain upstream u2 of service web",
                    "undrain upstream u1 of service web",
                ],
                "changed": (["web"], ["u2", "u1"]),
            },
        ),
        (
            "address freed by an earlier step",
            {
                "steps": [
                    step("remove-service"),
                    step("create-service", "web", "127.0.0.1", 80),
                ],
                "web": service("web"),
                "differences": [
                    "remove service web at 127.0.0.1:80",
                    "create service web at 127.0.0.1:80",
                ],
                "changed": (["web"], []),
            },
        ),
    ]

    def test_change(self):
        change = apply_steps(BEFORE, self.steps)
        services = {entry.name: entry for entry in change.configuration.services}
        self.assertEqual(8, change.configuration.version)
        self.assertEqual(self.web, services.get("web"))
        self.assertEqual(service("dns", host="::1", port=53), services["dns"])
        self.assertEqual(self.differences, change.differences)
        self.assertEqual(self.changed, (change.services, change.upstreams))
        self.assertEqual(7, BEFORE.version)


class InvalidIntents(testscenarios.TestWithScenarios, testtools.TestCase):
    """An invalid intent is rejected with the field and the value at fault."""

    scenarios = [
        (name, {"steps": steps, "field": field, "value": value})
        for name, steps, field, value in (
            ("empty", [], "steps", "[]"),
            (
                "duplicate service",
                [step("create-service", "web", "127.0.0.3", 80)],
                "service",
                "web",
            ),
            (
                "duplicate within the intent",
                [
                    step("create-service", "new", "127.0.0.3", 80),
                    step("create-service", "new", "127.0.0.4", 80),
                ],
                "service",
                "new",
            ),
            (
                "address taken",
                [step("create-service", "new", "127.0.0.1", 80)],
                "host",
                "127.0.0.1:80",
            ),
            (
                "address taken in another spelling",
                [step("create-service", "new", "0:0::1", 53)],
                "host",
                "::1:53",
            ),
            (
                "address of another service",
                [step("change-service", "dns", "127.0.0.1", 80)],
                "host",
                "127.0.0.1:80",
            ),
            (
                "same address",
                [step("change-service", "web", "127.0.0.1", 80)],
                "host",
                "127.0.0.1:80",
            ),
            (
                "bad address",
                [step("create-service", "new", "127.0.0", 80)],
                "host",
                "127.0.0",
            ),
            ("missing port", [step("create-service", "new", "127.0.0.3")], "port", "0"),
            (
                "bad name",
                [step("create-service", "a b", "127.0.0.3", 80)],
                "service",
                "a b",
            ),
            (
                "missing name",
                [step("create-service", "", "127.0.0.3", 80)],
                "service",
                "",
            ),
            (
                "unknown service changed",
                [step("change-service", "nope", "127.0.0.3", 80)],
                "service",
                "nope",
            ),
            ("unknown service removed", [step("remove-service", "x")], "service", "x"),
            (
                "drain of an unknown service",
                [step("drain-upstream", "x", upstream_id="u")],
                "service",
                "x",
            ),
            ("missing upstream", [step("drain-upstream")], "upstream_id", ""),
            (
                "upstream already draining",
                [step("drain-upstream", upstream_id="u1")],
                "upstream_id",
                "u1",
            ),
            (
                "upstream not draining",
                [step("undrain-upstream", upstream_id="u9")],
                "upstream_id",
                "u9",
            ),
            (
                "field not used by the action",
                [step("remove-service", host="127.0.0.1")],
                "host",
                "127.0.0.1",
            ),
        )
    ]

    def test_raises(self):
        error = self.assertRaises(InvalidIntentError, apply_steps, BEFORE, self.steps)
        self.assertEqual((self.field, self.value), (error.field, error.value))
