"""tests.test_docs: Tests that the documentation matches the code."""

import re
from pathlib import Path

import testscenarios
import testtools

from knapweeddeal import errors
from knapweeddeal.settings import OPTIONS

DOCS = Path(__file__).resolve().parent.parent / "docs"


def settings_table():
    """Return the table of all settings in Markdown."""
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
    """The operator's guide lists every setting with its current range and default."""

    def test_table(self):
        page = (DOCS / "OPERATORS.md").read_text(encoding="utf-8")
        self.assertIn(settings_table(), page)


class ErrorCodes(testscenarios.TestWithScenarios, testtools.TestCase):
    """The operator's guide lists every error code with its exit status."""

    scenarios = [(code, {"cls": cls}) for code, cls in errors.BY_CODE.items()]

    def test_listed(self):
        page = (DOCS / "OPERATORS.md").read_text(encoding="utf-8")
        self.assertIn(f"| `{self.cls.code}` | {self.cls.exit_status} |", page)


class Examples(testtools.TestCase):
    """The examples in the library guide run unchanged."""

    def test_examples(self):
        page = (DOCS / "LIBRARY.md").read_text(encoding="utf-8")
        examples = re.findall(r"^```python\n(.*?)^```", page, re.DOTALL | re.MULTILINE)
        self.assertEqual(3, len(examples))
        for example in examples:
            exec(compile(example, "LIBRARY.md", "exec"), {})


class Pages(testtools.TestCase):
    """Every Markdown file that a page names exists."""

    def test_links(self):
        root = DOCS.parent
        named = {
            name
            for page in [root / "README.md", *DOCS.glob("*.md")]
            for name in re.findall(r"[\w/-]+\.md", page.read_text(encoding="utf-8"))
        }
        missing = [
            name
            for name in named
            if not (root / name).exists() and not (DOCS / name).exists()
        ]
        self.assertEqual([], sorted(missing))
