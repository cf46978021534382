"""knapweeddeal.settings: Settings of a daemon, read from INI and checked."""

import configparser

from knapweeddeal.errors import BadSettingError
from knapweeddeal.options import (
    address_option,
    choice_option,
    keys_option,
    name_option,
    peers_option,
    text_option,
    whole_option,
)

__all__ = ["CONTROL", "ENTRY", "OPTIONS", "Option", "Settings", "read_settings"]

ENTRY = "entry"
CONTROL = "control"


class Option:
    """Describe one setting: its key, check, unit, range and default."""

    __slots__ = (
        "check",
        "choices",
        "default",
        "key",
        "maximum",
        "minimum",
        "reloadable",
        "roles",
        "section",
        "text",
        "unit",
    )

    def __init__(
        self,
        *,
        section,
        key,
        check,
        text,
        default=None,
        unit="",
        minimum=0,
        maximum=2**63,
        choices=(),
        roles=(ENTRY, CONTROL),
        reloadable=False,
    ):
        self.section = section
        self.key = key
        self.check = check
        self.text = text
        self.default = default
        self.unit = unit
        self.minimum = minimum
        self.maximum = maximum
        self.choices = choices
        self.roles = roles
        self.reloadable = reloadable


def time_option(key, default, text, *, section="timing", minimum=1, maximum=3_600_000):
    """Return an option in milliseconds."""
    return Option(
        section=section,
        key=key,
        check=whole_option,
        default=str(default),
        unit="ms",
        minimum=minimum,
        maximum=maximum,
        text=text,
        reloadable=True,
    )


#: Every setting. An option without a default must be given.
OPTIONS = (
    Option(
        section="daemon",
        key="name",
        check=name_option,
        text="Name of this process, unique in the system.",
    ),
    Option(
        section="daemon",
        key="role",
        check=choice_option,
        choices=(ENTRY, CONTROL),
        text="What this process does.",
    ),
    Option(
        section="daemon",
        key="zone",
        check=name_option,
        text="Availability zone of this VM.",
    ),
    Option(
        section="daemon",
        key="listen",
        check=address_option,
        text="Address for streams of peers and operators.",
    ),
    Option(
        section="daemon",
        key="log_file",
        check=text_option,
        default="",
        text="File for the log; empty for standard error.",
    ),
    Option(
        section="daemon",
        key="control",
        check=peers_option,
        text="Control replicas by name; on the first start, the first membership.",
    ),
    Option(
        section="control",
        key="data_folder",
        check=text_option,
        roles=(CONTROL,),
        text="Folder that holds all durable state.",
    ),
    Option(
        section="entry",
        key="service_host",
        check=text_option,
        default="",
        roles=(ENTRY,),
        text="Own IP that stands in for service addresses; empty to bind those.",
    ),
    Option(
        section="entry",
        key="announce",
        check=address_option,
        roles=(ENTRY,),
        text="Address for announcements of upstreams.",
    ),
    Option(
        section="entry",
        key="peers",
        check=peers_option,
        default="",
        roles=(ENTRY,),
        text="Other entries by name.",
    ),
    Option(
        section="entry",
        key="ticket_keys",
        check=keys_option,
        maximum=2,
        roles=(ENTRY,),
        reloadable=True,
        text="Ticket keys ID:HEX; the first signs, both are accepted.",
    ),
    time_option("lease_ms", 2_000, "Life of an upstream's lease."),
    time_option("heartbeat_ms", 500, "Time between heartbeats on a stream."),
    time_option("stream_timeout_ms", 2_000, "Silence after which a stream is cut."),
    time_option("ticket_life_ms", 86_400_000, "Life of a ticket.", maximum=10**9),
    time_option("stop_ms", 10_000, "Longest time that a planned stop waits."),
    time_option("election_ms", 500, "Shortest time without a leader before a vote."),
    time_option("plan_life_ms", 600_000, "Time in which a plan can be confirmed."),
)


class Settings:
    """Hold checked settings; each option is an attribute by its key."""

    def __init__(self, *, values):
        self.__dict__.update(values)

    def values(self):
        """Return all settings by key."""
        return dict(self.__dict__)


def read_settings(path):
    """Return the settings in a file, or raise BadSettingError."""
    parser = configparser.ConfigParser(interpolation=None)
    try:
        with open(path, encoding="utf-8") as file:
            parser.read_file(file)
    except (OSError, UnicodeDecodeError, configparser.Error) as error:
        first_line = str(error).splitlines()[0]
        raise BadSettingError(f"can't read {path}: {first_line}") from None
    role = parser.get("daemon", "role", fallback="")
    _check_known(path, parser)
    values = {}
    for option in OPTIONS:
        if role in option.roles or option.key == "role":
            values[option.key] = _read_option(path, parser, option)
    return Settings(values=values)


def _read_option(path, parser, option):
    field = f"{path} [{option.section}] {option.key}"
    text = parser.get(option.section, option.key, fallback=option.default)
    if text is None:
        raise BadSettingError("must be given", field=field)
    return option.check(field, text.strip(), option) if text else _empty(field, option)


def _empty(field, option):
    if option.check is peers_option:
        return {}
    if option.check is text_option and option.default is not None:
        return ""
    raise BadSettingError("must not be empty", field=field)


def _check_known(path, parser):
    known = {(option.section, option.key) for option in OPTIONS}
    for section in parser.sections():
        for key in parser[section]:
            if (section, key) not in known:
                field = f"{path} [{section}] {key}"
                raise BadSettingError(
                    "no such setting", field=field, value=parser[section][key]
                )
