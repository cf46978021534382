"""knapweeddeal.settings: Settings of a daemon, read from an INI file and checked."""

import configparser
import os
from types import MappingProxyType

from knapweeddeal.coldbound import DEFAULT_COLD_OVER, DEFAULT_COLD_SLACK
from knapweeddeal.errors import BadSettingError
from knapweeddeal.options import (
    address_option,
    addresses_option,
    choice_option,
    decimal_option,
    flag_option,
    host_option,
    integer_option,
    keys_option,
    name_option,
    names_option,
    peers_option,
    text_option,
)

__all__ = [
    "CONTROL",
    "ENTRY",
    "FORWARDER",
    "OPTIONS",
    "Option",
    "Settings",
    "read_settings",
]

ENTRY = "entry"
CONTROL = "control"
#: Forwards opaque packets; runs on the platform's entry VMs.
FORWARDER = "forwarder"
ROLES = (ENTRY, CONTROL, FORWARDER)


class Option:
    """Describe one setting: its key, check, unit, range and default."""

    __slots__ = (
        "check",
        "choices",
        "default",
        "empty",
        "key",
        "maximum",
        "minimum",
        "optional",
        "reload_roles",
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
        empty=None,
        unit="",
        minimum=0,
        maximum=2**63,
        choices=(),
        roles=(ENTRY, CONTROL),
        reload_roles=(),
        optional=False,
    ):
        self.optional = optional
        self.section = section
        self.key = key
        self.check = check
        self.text = text
        self.default = default
        self.empty = empty
        self.unit = unit
        self.minimum = minimum
        self.maximum = maximum
        self.choices = choices
        self.roles = roles
        #: Roles that apply a changed value without a restart.
        self.reload_roles = reload_roles


def time_option(
    key, default, text, *, maximum=3_600_000, reload_roles=(), roles=(ENTRY, CONTROL)
):
    """Return an option in milliseconds."""
    return Option(
        section="timing",
        key=key,
        check=integer_option,
        default=str(default),
        empty=default,
        unit="ms",
        minimum=1,
        maximum=maximum,
        text=text,
        roles=roles,
        reload_roles=reload_roles,
    )


#: All settings; those without a default are required.
OPTIONS = (
    Option(
        section="daemon",
        key="name",
        roles=ROLES,
        check=name_option,
        text="Name of this process, unique in the system.",
    ),
    Option(
        section="daemon",
        key="role",
        check=choice_option,
        choices=ROLES,
        roles=ROLES,
        text="What this process does.",
    ),
    Option(
        section="daemon",
        key="zone",
        roles=ROLES,
        check=name_option,
        text="Availability zone of this VM.",
    ),
    Option(
        section="daemon",
        key="listen",
        roles=ROLES,
        check=address_option,
        text="Address for streams of peers and operators.",
    ),
    Option(
        section="daemon",
        key="log_file",
        roles=ROLES,
        check=text_option,
        default="",
        empty="",
        text="File for the log; - for standard output, empty for standard error.",
    ),
    Option(
        section="daemon",
        key="metrics",
        check=address_option,
        default="",
        empty=None,
        optional=True,
        roles=(CONTROL, FORWARDER),
        text="Address that serves counters and latencies as text; empty for none.",
    ),
    Option(
        section="daemon",
        key="seeds",
        check=addresses_option,
        default="",
        empty=(),
        roles=(CONTROL, FORWARDER),
        reload_roles=(CONTROL, FORWARDER),
        text="Addresses whose hosts run control replicas, on the port of `listen`.",
    ),
    Option(
        section="daemon",
        key="control",
        check=peers_option,
        default="",
        empty=MappingProxyType({}),
        text="Control replicas by name; on the first start, the first membership.",
    ),
    Option(
        section="control",
        key="api",
        check=address_option,
        default="",
        empty=None,
        optional=True,
        roles=(CONTROL,),
        text="Address of the platform's HTTP interface; empty for none.",
    ),
    Option(
        section="control",
        key="may_found",
        check=flag_option,
        default="true",
        empty=False,
        roles=(CONTROL,),
        text="Whether empty replicas may found a new log.",
    ),
    Option(
        section="control",
        key="tolerated_losses",
        check=integer_option,
        default="1",
        empty=1,
        unit="replicas",
        maximum=1_000,
        roles=(CONTROL,),
        text="Disks that may be lost at once; bounds the removal of silent members.",
    ),
    Option(
        section="control",
        key="heals_itself",
        check=flag_option,
        default="false",
        roles=(CONTROL,),
        text="Whether candidates join and lost members leave without an operator.",
    ),
    Option(
        section="control",
        key="zones",
        check=names_option,
        default="",
        empty=(),
        roles=(CONTROL,),
        reload_roles=(CONTROL,),
        text="All availability zones, which may be evacuated; empty to allow any name.",
    ),
    Option(
        section="control",
        key="cold_over",
        check=decimal_option,
        default=str(DEFAULT_COLD_OVER),
        empty=DEFAULT_COLD_OVER,
        maximum=1_000,
        roles=(CONTROL,),
        text="Factor on the rate of a cold upstream that opening packets may reach.",
    ),
    Option(
        section="control",
        key="cold_slack",
        check=decimal_option,
        default=str(DEFAULT_COLD_SLACK),
        empty=DEFAULT_COLD_SLACK,
        unit="packets",
        maximum=1_000_000,
        roles=(CONTROL,),
        text="Opening packets to a cold upstream in any second beyond that rate.",
    ),
    Option(
        section="forwarder",
        key="packets",
        check=address_option,
        roles=(FORWARDER,),
        text="UDP address for packets; callers get theirs on the same port.",
    ),
    Option(
        section="forwarder",
        key="ready",
        check=address_option,
        roles=(FORWARDER,),
        text="Address that tells by HTTP whether this forwarder serves.",
    ),
    Option(
        section="forwarder",
        key="link_mbps",
        check=decimal_option,
        default="",
        empty=None,
        optional=True,
        unit="Mbit/s",
        minimum=0.01,
        maximum=400_000,
        roles=(FORWARDER,),
        reload_roles=(FORWARDER,),
        text="Rate of this VM's link, at which packets leave; empty to not pace them.",
    ),
    Option(
        section="forwarder",
        key="admission",
        check=choice_option,
        default="on",
        choices=("on", "off"),
        roles=(FORWARDER,),
        reload_roles=(FORWARDER,),
        text="Whether flows of the least value are refused or delayed (on or off).",
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
        check=host_option,
        default="",
        empty="",
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
        empty=MappingProxyType({}),
        roles=(ENTRY,),
        text="Other entries by name.",
    ),
    Option(
        section="entry",
        key="ticket_keys",
        check=keys_option,
        maximum=2,
        roles=(ENTRY,),
        reload_roles=(ENTRY,),
        text="Ticket keys ID:HEX; the first signs, both are accepted.",
    ),
    time_option("lease_ms", 2_000, "Life of an upstream's lease."),
    time_option(
        "heartbeat_ms",
        500,
        "Time between heartbeats on a stream.",
        roles=ROLES,
        reload_roles=(ENTRY,),
    ),
    time_option(
        "stream_timeout_ms",
        2_000,
        "Silence after which a stream is cut.",
        roles=ROLES,
        reload_roles=(ENTRY,),
    ),
    time_option("ticket_life_ms", 86_400_000, "Life of a ticket.", maximum=10**9),
    time_option(
        "stop_ms", 10_000, "Longest time that a planned stop waits.", roles=ROLES
    ),
    time_option(
        "report_ms",
        1_200,
        "Time between status reports of an upstream for packets.",
        roles=(CONTROL,),
    ),
    time_option(
        "packet_flow_idle_ms",
        15_000,
        "Silence after which a packet flow is forgotten.",
        roles=(FORWARDER,),
    ),
    time_option("election_ms", 500, "Shortest time without a leader before a vote."),
    time_option("plan_life_ms", 600_000, "Time in which a plan can be confirmed."),
    Option(
        section="entry",
        key="registrars_per_zone",
        check=integer_option,
        default="2",
        unit="entries",
        maximum=64,
        roles=(ENTRY,),
        text="Entries of a zone that lease out its upstreams; 0 for all.",
    ),
    Option(
        section="entry",
        key="max_ejected_percent",
        check=integer_option,
        default="34",
        unit="%",
        maximum=99,
        roles=(ENTRY,),
        text="Share of a service's upstreams kept from new flows for failures.",
    ),
    Option(
        section="entry",
        key="max_flows",
        check=integer_option,
        default="400000",
        unit="flows",
        minimum=1,
        maximum=10_000_000,
        roles=(ENTRY,),
        text="Flows that one entry owns; over it new ones are refused.",
    ),
    Option(
        section="entry",
        key="max_answer_bytes",
        check=integer_option,
        default=str(48 * 1024 * 1024),
        unit="bytes",
        minimum=1_048_576,
        maximum=2**34,
        roles=(ENTRY,),
        text="Bytes of kept answers; the oldest are given up for want of room.",
    ),
    time_option("flow_idle_ms", 600_000, "Silence after which a flow is forgotten."),
    time_option("poll_ms", 1_000, "Time between polls of an upstream's health."),
    time_option("silence_ms", 2_000, "Silence after which an upstream is dropped."),
    time_option("lease_ask_ms", 500, "Time between asks for leases."),
    time_option("probe_ms", 1_000, "Time between probes of other entries."),
    time_option("start_wait_ms", 2_000, "Longest wait for peers before serving."),
)


#: Pairs of settings; the first must be smaller than the second.
ORDERED_PAIRS = (
    ("heartbeat_ms", "stream_timeout_ms"),
    ("heartbeat_ms", "lease_ms"),
    ("lease_ask_ms", "lease_ms"),
)


class Settings:
    """Hold checked settings; each option is an attribute by its key."""

    def __init__(self, *, path, values, file_version=None):
        self._path = path
        self._values = values
        #: Modification time, size and inode from before the file was read.
        self._loaded_version = file_version

    def __getattr__(self, key):
        """Return a setting."""
        try:
            return self._values[key]
        except KeyError:
            raise AttributeError(key) from None

    def is_outdated(self):
        """Return whether the file changed since it was read."""
        return _file_version(self._path) != self._loaded_version

    @property
    def seed_addresses(self):
        """Return the seeds' stream addresses: `listen` has the same port on all VMs."""
        return [(host, self.listen[1]) for host, _ in self.seeds]

    def values(self):
        """Return all settings by key."""
        return dict(self._values)

    def reload(self):
        """Apply changed settings; return the changed keys that need a restart.

        Raises BadSettingError for an invalid file and changes no setting then.
        """
        self._loaded_version = _file_version(self._path)
        fresh = read_settings(self._path).values()
        if fresh["role"] != self.role:
            raise BadSettingError(
                f"must stay {self.role} while the process runs",
                field=_field(self._path, "daemon", "role"),
                value=fresh["role"],
            )
        changed = {key for key, value in fresh.items() if self._values[key] != value}
        reloadable = {o.key for o in OPTIONS if self.role in o.reload_roles}
        for key in changed & reloadable:
            self._values[key] = fresh[key]
        return sorted(changed - reloadable)


def read_settings(path):
    """Return the settings in a file, or raise BadSettingError."""
    file_version = _file_version(path)
    parser = _parse(path)
    role = parser.get("daemon", "role", fallback="").strip()
    options = [option for option in OPTIONS if option.key == "role"]
    if role in ROLES:
        options = [option for option in OPTIONS if role in option.roles]
        _check_for_unknown(path, parser, options)
    values = {option.key: _read_option(path, parser, option) for option in options}
    _check_combinations(path, values)
    if values["role"] == CONTROL and values["seeds"]:
        values["control"] = _seed_replicas(values)
    return Settings(path=path, values=values, file_version=file_version)


def _file_version(path):
    """Return a value that changes when the file does; None if it can't be found."""
    try:
        status = os.stat(path)
    except OSError:
        # Reading the file reports the reason.
        return None
    return (status.st_mtime_ns, status.st_size, status.st_ino)


def _seed_replicas(values):
    """Return the addresses of the seeds' replicas by name, which is the host."""
    port = values["listen"][1]
    return {host: (host, port) for host, _ in values["seeds"]}


def _parse(path):
    parser = configparser.ConfigParser(interpolation=None)
    try:
        with open(path, encoding="utf-8") as file:
            parser.read_file(file)
    except (OSError, UnicodeDecodeError, configparser.Error) as error:
        reason = " ".join(str(error).split())
        raise BadSettingError(f"can't be read: {reason}", field=path) from None
    return parser


def _read_option(path, parser, option):
    field = _field(path, option.section, option.key)
    text = parser.get(option.section, option.key, fallback=option.default)
    if text is None:
        raise BadSettingError("must be given", field=field)
    text = text.strip()
    if text:
        return option.check(field, text, option)
    if option.empty is None and not option.optional:
        raise BadSettingError("must not be empty", field=field)
    return option.empty


def _field(path, section, key):
    return f"{path} [{section}] {key}"


def _check_for_unknown(path, parser, options):
    known = {(option.section, option.key) for option in options}
    for section in parser.sections():
        for key, value in parser[section].items():
            if (section, key) not in known:
                raise BadSettingError(
                    "no such setting for this role",
                    field=_field(path, section, key),
                    value=value,
                )


def _check_combinations(path, values):
    for smaller, larger in ORDERED_PAIRS:
        if smaller in values and values[smaller] >= values.get(larger, 2**63):
            raise BadSettingError(
                f"must be smaller than {larger}",
                field=_field(path, "timing", smaller),
                value=values[smaller],
            )
    if values["role"] == FORWARDER:
        _check_not_empty(path, "daemon", "seeds", values)
        return
    if values["role"] == CONTROL and values["seeds"]:
        return
    _check_not_empty(path, "daemon", "control", values)
    own = values["control"].get(values["name"])
    if values["role"] == CONTROL and own != values["listen"]:
        raise BadSettingError(
            "must list this replica by name with its listen address",
            field=_field(path, "daemon", "control"),
            value=own,
        )


def _check_not_empty(path, section, key, values):
    if not values[key]:
        raise BadSettingError("must not be empty", field=_field(path, section, key))
