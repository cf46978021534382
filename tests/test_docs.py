"""tests.test_docs: The pages and the code say the same."""

from pathlib import Path

import testscenarios
import testtools

from knapweeddeal import errors
from knapweeddeal.settings import OPTIONS

DOCS = Path(__file__).resolve().parent.parent / "docs"


def settings_table():
    """Return the table of settings in Markdown."""
    rows = [
        "| section | key | unit, range | default | roles | reload | meaning |",
        "| --- | --- | --- | --- | --- | --- | --- |",
    ]
    for option in OPTIONS:
        limits = f"{option.minimum} to {option.maximum} {option.unit}"
        cells = (
            option.section,
            f"`{option.key}`",
            limits if option.unit else "",
            "must be given" if option.default is None else option.default,
            " ".join(option.roles),
            " ".join(option.reload_roles),
            option.text,
        )
        rows.append(f"| {' | '.join(cells)} |")
    return "\n".join(rows)


class SettingsTable(testtools.TestCase):
    """The operator's guide lists every setting as it is."""

    def test_table(self):
        page = (DOCS / "OPERATORS.md").read_text(encoding="utf-8")
        self.assertIn(settings_table(), page)


class ErrorCodes(testscenarios.TestWithScenarios, testtools.TestCase):
    """The operator's guide lists every code with its exit status."""

    scenarios = [(code, {"cls": cls}) for code, cls in errors.BY_CODE.items()]

    def test_listed(self):
        page = (DOCS / "OPERATORS.md").read_text(encoding="utf-8")
        self.assertIn(f"| `{self.cls.code}` | {self.cls.exit_status} |", page)
