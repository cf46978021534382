"""tests.test_publications: Tests of packet routes in INI files."""

import tempfile
from pathlib import Path

import testscenarios
import testtools

from knapweeddeal.errors import KnapweeddealError
from knapweeddeal.messages.packets import RouteTerms, ServiceTerms
from knapweeddeal.publications import read_publication

HEAD = "[publication]\nrevision = 8\n"
GOOD = "[a]\naddress = 198.18.0.1:443\nservices = records:9, archive:1\n"


def write_file(test, text):
    """Write a file, and return its path."""
    folder = tempfile.TemporaryDirectory()
    test.addCleanup(folder.cleanup)
    path = Path(folder.name) / "routes.ini"
    path.write_text(text)
    return path


class ValidPublication(testtools.TestCase):
    """Every section except `[publication]` is a route."""

    def test_read(self):
        found = read_publication(write_file(self, HEAD + GOOD))
        (route,) = found.routes
        self.assertEqual(8, found.revision)
        self.assertEqual(("198.18.0.1", 443), (route.host, route.port))
        shares = [(share.service, share.weight) for share in route.shares]
        self.assertEqual([("records", 9), ("archive", 1)], shares)


class Terms(testtools.TestCase):
    """Terms of routes and services are read, as decisions under load need them."""

    def test_read(self):
        text = HEAD + GOOD + "kind = safe\nobjective_ms = 400\npriority = 2\n"
        text += "[service records]\ncold_per_s_milli = 1500\n"
        found = read_publication(write_file(self, text))
        self.assertEqual(
            RouteTerms(kind="safe", timeout_ms=0, objective_ms=400, priority=2),
            found.routes[0].terms,
        )
        terms = ServiceTerms(
            name="records", max_connections=0, cold_start_ms=0, cold_per_s_milli=1_500
        )
        self.assertEqual([terms], found.services)


class InvalidPublication(testscenarios.TestWithScenarios, testtools.TestCase):
    """An invalid file is rejected with an error that names the field."""

    scenarios = [
        ("no revision", {"text": GOOD, "field": "revision"}),
        ("revision 0", {"text": "[publication]\nrevision = 0", "field": "revision"}),
        ("no address", {"text": HEAD + "[a]\nservices = b", "field": "address"}),
        ("no services", {"text": HEAD + "[a]\naddress = 1.2.3.4:5", "field": "serv"}),
        ("bad weight", {"text": HEAD + GOOD.replace(":9", ":x"), "field": "serv"}),
        (
            "weight too long",
            {"text": HEAD + GOOD.replace(":9", ":" + "9" * 5_000), "field": "serv"},
        ),
        (
            "two routes with one address",
            {"text": HEAD + GOOD + GOOD.replace("[a]", "[b]"), "field": "routes"},
        ),
        (
            "no weight above 0",
            {"text": HEAD + GOOD.replace("9", "0").replace(":1", ":0", 2)},
        ),
        ("bad priority", {"text": HEAD + GOOD + "priority = x", "field": "prio"}),
        ("not INI", {"text": "nonsense", "field": "routes.ini"}),
    ]
    field = ""

    def test_refused(self):
        error = self.assertRaises(
            KnapweeddealError, read_publication, write_file(self, self.text)
        )
        self.assertIn(self.field, str(error.field))
