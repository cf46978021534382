"""tests.test_settings: Tests of settings and their checks."""

import configparser
import contextlib
import io
import re
import tempfile
from pathlib import Path

import testscenarios
import testtools

from knapweeddeal import daemon
from knapweeddeal.errors import BadSettingError
from knapweeddeal.settings import OPTIONS, read_settings

KEY_1, KEY_2 = "1:" + "00" * 16, "2:" + "11" * 16
ENTRY = f"""
[daemon]
name = entry-1
role = entry
zone = zone-a
listen = 127.0.0.1:7000
control = control-1=127.0.0.1:7001
[entry]
announce = 127.0.0.1:7010
ticket_keys = {KEY_1}
"""
CONTROL = """
[daemon]
name = control-1
role = control
zone = zone-a
listen = 127.0.0.1:7001
control = control-1=127.0.0.1:7001
[control]
data_folder = data
"""

FORWARDER = """
[daemon]
name = front-1
role = forwarder
zone = zone-a
listen = 127.0.0.1:7000
seeds = 127.0.0.1:7001
[forwarder]
packets = 127.0.0.1:7002
ready = 127.0.0.1:7003
link_mbps = 1.4
"""


#: More digits than `int` reads.
LONG_NUMBER = "9" * 5_000
TEMPLATES = Path(__file__).resolve().parent.parent / "knapweeddeal" / "platform"
CONTROL_TEMPLATE, FORWARDER_TEMPLATE = "control.ini", "forwarder.ini"
#: Values of the placeholders that both templates use, or that one requires.
PLACEHOLDERS = {
    "{{ip}}": "10.1.0.10",
    "{{node}}": "front-1",
    "{{zone}}": "zone-a",
    "{{portRange.0}}": "7720",
    "{{seeds}}": "10.1.0.13:8166",
    "{{dataDir}}": "/data",
    "{{listen.control}}": "10.1.0.10:8166",
    "{{listen.dataAddr}}": "10.1.0.10:8172",
    "{{listen.ready}}": "10.1.0.10:8167",
    "{{bootstrap}}": "true",
    "{{tolerate.machines}}": "1",
    "{{heartbeatMs}}": "1200",
    "{{limits.linkMbps}}": "350.0",
    "{{bounds.coldOver}}": "1.5",
    "{{bounds.coldSlack}}": "5",
    "{{#zones}}{{@}}{{,}}{{/zones}}": "zone-a,zone-b",
}


class SettingsFile(testtools.TestCase):
    """Base of tests with a settings file of their own."""

    def write(self, text):
        """Write the settings file."""
        self.path.write_text(text, encoding="utf-8")

    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "test.ini"


class InvalidFile(testscenarios.TestWithScenarios, SettingsFile):
    """The error for an invalid file names its path, section, key and value."""

    scenarios = [
        (name, {"base": base, "old": old, "new": new, "expected": expected})
        for name, base, old, new, expected in (
            ("no role", ENTRY, "role = entry", "", ["[daemon] role"]),
            ("unknown role", ENTRY, "role = entry", "role = king", ["role", "king"]),
            ("space in name", ENTRY, "entry-1", "entry 1", ["name", "entry 1"]),
            (
                "space in a listed zone",
                CONTROL,
                "data_folder = data",
                "data_folder = data\nzones = zone-a, zone b",
                ["[control] zones", "zone b"],
            ),
            ("long name", ENTRY, "entry-1", "e" * 65, ["[daemon] name"]),
            ("address without port", ENTRY, ":7000", "", ["listen", "127.0.0.1"]),
            (
                "host name as address",
                ENTRY,
                "127.0.0.1:7000",
                "vm:7000",
                ["listen", "vm:7000"],
            ),
            ("port too large", ENTRY, ":7000", ":70000", ["listen", "70000"]),
            ("port 0", ENTRY, ":7000", ":0", ["listen", ":0"]),
            ("port too long", ENTRY, ":7000", f":{LONG_NUMBER}", ["listen", "999"]),
            ("port in other digits", ENTRY, ":7000", ":٣", ["listen", ":٣"]),
            (
                "listed port too long",
                FORWARDER,
                ":7001",
                f":{LONG_NUMBER}",
                ["seeds", "999"],
            ),
            (
                "number too long",
                CONTROL,
                "data_folder = data",
                f"data_folder = data\ntolerated_losses = {LONG_NUMBER}",
                ["tolerated_losses", "999"],
            ),
            ("NUL in a path", CONTROL, "= data", "= da\0ta", ["data_folder", "ta"]),
            ("key id twice", ENTRY, KEY_1, f"{KEY_1},1:{'22' * 16}")
            + (["ticket_keys", "'1'"],),
            ("duplicate key", ENTRY, "name = entry-1", "name = a\nname = b", ["name"]),
            ("no section", ENTRY, "[daemon]", "", ["test.ini"]),
            ("unknown key", ENTRY, "zone =", "colour = red\nzone =", ["colour", "red"]),
            (
                "unknown section",
                ENTRY,
                "[entry]",
                "[x]\ny = 1\n[entry]",
                ["[x] y", "'1'"],
            ),
            (
                "other role's setting",
                ENTRY,
                "[entry]",
                "[control]\ndata_folder = x\n[entry]",
            )
            + (["data_folder"],),
            (
                "duplicate peer",
                ENTRY,
                "control-1=",
                "a=127.0.0.1:1,a=",
                ["control", "'a'"],
            ),
            ("no control replicas", ENTRY, "control-1=127.0.0.1:7001", "", ["control"]),
            ("ticket key not hex", ENTRY, KEY_1, "1:zz", ["ticket_keys"]),
            ("short ticket key", ENTRY, KEY_1, "1:00", ["ticket_keys"]),
            ("three ticket keys", ENTRY, KEY_1, f"{KEY_1},{KEY_2},3:{'22' * 16}")
            + (["ticket_keys", "3"],),
            (
                "host name as service host",
                ENTRY,
                "[entry]",
                "[entry]\nservice_host = vm",
            )
            + (["service_host", "vm"],),
            ("time with unit", ENTRY, "[entry]", "[timing]\nlease_ms = 2s\n[entry]")
            + (["[timing] lease_ms", "2s"],),
            ("time out of range", ENTRY, "[entry]", "[timing]\nlease_ms = 0\n[entry]")
            + (["lease_ms", "1 to 3600000 ms", "'0'"],),
            (
                "heartbeat not below timeout",
                ENTRY,
                "[entry]",
                "[timing]\nheartbeat_ms = 2000\n[entry]",
            )
            + (["heartbeat_ms", "stream_timeout_ms"],),
            ("other address for own name", CONTROL, "control-1=127.0.0.1:7001")
            + ("control-1=127.0.0.1:7002", ["control", "7002"]),
            *(
                (f"link of {rate} Mbit/s", FORWARDER, "= 1.4", f"= {rate}")
                + (["[forwarder] link_mbps", f"'{rate}'"],)
                for rate in ("0", "-1.4", "nan", "inf", "1e9", "wide", "1.4 Mbit/s")
            ),
            ("no data folder", CONTROL, "data_folder = data", "", ["data_folder"]),
        )
    ]

    def test_error(self):
        self.assertIn(self.old, self.base)
        self.write(self.base.replace(self.old, self.new, 1))
        error = self.assertRaises(BadSettingError, read_settings, str(self.path))
        for word in [str(self.path), "bad_setting", *self.expected]:
            self.assertIn(word, str(error))


class HostileValues(testscenarios.TestWithScenarios, SettingsFile):
    """Any value of a setting is read, or refused as a bad setting.

    Guards against values that end a process by an error that it doesn't expect.
    """

    VALUES = (
        "",
        "\0",
        "-0",
        "nan",
        "1e400",
        "0x10",
        "1_0",
        "٣",
        "²",
        "%(x)s",
        "a,,b",
        "a" * 10_000,
        LONG_NUMBER,
        f"10.0.0.1:{LONG_NUMBER}",
        f"a=10.0.0.1:{LONG_NUMBER}",
        f"{LONG_NUMBER}:{'ab' * 16}",
        "10.0.0.1:٣",
        "::1",
        "a=",
        "1:",
    )
    scenarios = [
        (f"{role}, {option.key}", {"base": base, "option": option})
        for role, base in (
            ("entry", ENTRY),
            ("control", CONTROL),
            ("forwarder", FORWARDER),
        )
        for option in OPTIONS
        if role in option.roles
    ]

    def test_refused_or_read(self):
        section, key = self.option.section, self.option.key
        parser = configparser.ConfigParser(interpolation=None)
        parser.read_string(self.base)
        if not parser.has_section(section):
            parser.add_section(section)
        for value in self.VALUES:
            parser[section][key] = value
            text = io.StringIO()
            parser.write(text)
            self.write(text.getvalue())
            with self.subTest(value=value[:20]), contextlib.suppress(BadSettingError):
                settings = read_settings(str(self.path))
                self.assertNotIn("\0", str(getattr(settings, key)))


class PlatformValues(testscenarios.TestWithScenarios, SettingsFile):
    """Values that the platform's pages allow don't keep a process from starting."""

    scenarios = [
        (
            f"{role} {key} = {text or 'nothing'}",
            {"role": role, "key": key, "text": text, "value": value},
        )
        for role, key, text, value in (
            (CONTROL_TEMPLATE, "zone", "us_east-1", "us_east-1"),
            (CONTROL_TEMPLATE, "zones", "us_east-1,zone.b", ("us_east-1", "zone.b")),
            (CONTROL_TEMPLATE, "may_found", "", False),
            (CONTROL_TEMPLATE, "tolerated_losses", "", 1),
            (CONTROL_TEMPLATE, "tolerated_losses", "1.0", 1),
            (CONTROL_TEMPLATE, "tolerated_losses", "12", 12),
            (CONTROL_TEMPLATE, "report_ms", "", 1_200),
            (CONTROL_TEMPLATE, "report_ms", "800.0", 800),
            (CONTROL_TEMPLATE, "cold_slack", "2.5", 2.5),
            (CONTROL_TEMPLATE, "cold_slack", "3", 3),
            (CONTROL_TEMPLATE, "cold_over", "2", 2),
            (CONTROL_TEMPLATE, "data_folder", "/a b/c%d;e#f", "/a b/c%d;e#f"),
            (FORWARDER_TEMPLATE, "name", "front_1.a", "front_1.a"),
            (FORWARDER_TEMPLATE, "zone", "us_east-1", "us_east-1"),
            (FORWARDER_TEMPLATE, "link_mbps", "350", 350),
            (FORWARDER_TEMPLATE, "link_mbps", "", None),
        )
    ]

    def test_value(self):
        template = TEMPLATES / self.role
        settings = template.read_text(encoding="utf-8")
        for placeholder, text in PLACEHOLDERS.items():
            settings = settings.replace(placeholder, text)
        old = re.search(rf"^{self.key} = .*$", settings, re.MULTILINE).group()
        self.write(settings.replace(old, f"{self.key} = {self.text}"))
        read = read_settings(str(self.path))
        self.assertEqual(self.value, getattr(read, self.key))


class UnusableFile(SettingsFile):
    """An unreadable or invalid file ends in BadSettingError, not in a traceback."""

    def test_missing_file(self):
        self.assertRaises(BadSettingError, read_settings, str(self.path))

    def test_not_utf8(self):
        self.path.write_bytes(b"\xff\xfe[daemon]")
        self.assertRaises(BadSettingError, read_settings, str(self.path))

    def test_check_exit_status(self):
        self.write(ENTRY)
        self.assertEqual(0, daemon.main(["--check", str(self.path)]))
        self.write(ENTRY.replace("role = entry", "role = x"))
        self.assertEqual(4, daemon.main(["--check", str(self.path)]))


class Reload(SettingsFile):
    """A reload applies reloadable settings and returns the other changed keys."""

    def test_changed_keys(self):
        self.write(ENTRY)
        settings = read_settings(str(self.path))
        changed = ENTRY.replace(KEY_1, f"{KEY_2},{KEY_1}").replace("zone-a", "zone-b")
        self.write(changed)
        self.assertEqual(["zone"], settings.reload())
        self.assertEqual([2, 1], list(settings.ticket_keys))
        self.assertEqual("zone-a", settings.zone)

    def test_link_rate(self):
        """The rate of the link is optional and reloadable."""
        self.write(FORWARDER)
        settings = read_settings(str(self.path))
        self.assertEqual(1.4, settings.link_mbps)
        self.write(FORWARDER.replace("= 1.4", "="))
        self.assertEqual([], settings.reload())
        self.assertIsNone(settings.link_mbps)

    def test_bad_file_changes_nothing(self):
        self.write(ENTRY)
        settings = read_settings(str(self.path))
        before = settings.values()
        self.write(ENTRY.replace(KEY_1, KEY_2) + "[timing]\nlease_ms = x\n")
        self.assertRaises(BadSettingError, settings.reload)
        self.assertEqual(before, settings.values())

    def test_other_role(self):
        """A file of another role changes nothing, and doesn't end the process."""
        for first, second in ((FORWARDER, CONTROL), (CONTROL, FORWARDER)):
            with self.subTest(second=second):
                self.write(first)
                settings = read_settings(str(self.path))
                before = settings.values()
                self.write(second)
                error = self.assertRaises(BadSettingError, settings.reload)
                self.assertIn("[daemon] role", str(error))
                self.assertEqual(before, settings.values())
