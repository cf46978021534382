"""tests.test_publications: Tests of packet routes in INI files."""

import tempfile
from pathlib import Path

import testscenarios
import testtools

from knapweeddeal.errors import KnapweeddealError
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


class InvalidPublication(testscenarios.TestWithScenarios, testtools.TestCase):
    """An invalid file is rejected with an error that names the field."""

    scenarios = [
        ("no revision", {"text": GOOD, "field": "revision"}),
        ("revision 0", {"text": "[publication]\nrevision = 0", "field": "revision"}),
        ("no address", {"text": HEAD + "[a]\nservices = b", "field": "address"}),
        ("no services", {"text": HEAD + "[a]\naddress = 1.2.3.4:5", "field": "serv"}),
        ("bad weight", {"text": HEAD + GOOD.replace(":9", ":x"), "field": "serv"}),
        (
            "two routes with one address",
            {"text": HEAD + GOOD + GOOD.replace("[a]", "[b]"), "field": "routes"},
        ),
        (
            "no weight above 0",
            {"text": HEAD + GOOD.replace("9", "0").replace(":1", ":0", 2)},
        ),
        ("not INI", {"text": "nonsense", "field": "routes.ini"}),
    ]
    field = ""

    def test_refused(self):
        error = self.assertRaises(
            KnapweeddealError, read_publication, write_file(self, self.text)
        )
        self.assertIn(self.field, str(error.field))
