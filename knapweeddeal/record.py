"""knapweeddeal.record: Base class of plain value classes with slots."""

import operator

__all__ = ["PRINTED_NAMES", "Record", "printed_name"]

#: Printed name of each renamed message and event class: logs, errors and metrics keep
#: these names, which operators' tools match.
PRINTED_NAMES = {
    "AnnounceDigest": "AnnounceSeen",
    "AnnounceReceived": "AnnounceCame",
    "AnnounceRequest": "AnnounceWanted",
    "AppendRequest": "AppendAsk",
    "ConfigurationReceived": "ConfigurationCame",
    "ConfigurationRequest": "ConfigurationAsk",
    "ConfirmRequest": "ConfirmAsk",
    "DumpRequest": "DumpAsk",
    "EntryRequest": "EntryAsk",
    "ForwardedAnnounce": "Announced",
    "HandOverRequest": "HandOverAsk",
    "HealthPolled": "HealthCame",
    "HoldRequest": "HoldAsk",
    "InitialMembership": "Founding",
    "InstallSnapshotRequest": "SnapshotAsk",
    "KeepAliveAck": "KeptAlive",
    "LeaseRequest": "LeaseAsk",
    "LoadRequest": "LoadAsk",
    "LoadSample": "LoadFigure",
    "MembersUpdated": "MembersCame",
    "MetricsRequest": "MetricsAsk",
    "NoteDelivered": "NoteTaken",
    "OperatorRequest": "OperatorAsk",
    "PingRequest": "PingAsk",
    "PlanRequest": "PlanAsk",
    "PreparedPublication": "PublishAsk",
    "PublishRequest": "PublishAsk",
    "PublishedRoutesRequest": "PublishedAsk",
    "RefusalsRequest": "RefusalsAsk",
    "RegistrarAnswered": "DirectoryCame",
    "ReloadRequested": "ReloadAsked",
    "ReplicaSwapRequest": "ReplicaSwapAsk",
    "ReplicasRequest": "ReplicasAsk",
    "RequestFromRegistrar": "AskRegistrar",
    "RoutesRequest": "RoutesAsk",
    "ServicesRequest": "ServicesAsk",
    "StatusRequest": "StatusAsk",
    "StopRequest": "StopAsk",
    "StopRequested": "StopAsked",
    "SyncRequest": "SyncAsk",
    "TicketUpdate": "Moved",
    "UpstreamHeartbeat": "UpstreamBeat",
    "UpstreamsRequest": "UpstreamsAsk",
    "VersionReceived": "VersionCame",
    "VoteRequest": "VoteAsk",
}


class Record:
    """Hold the fields that a subclass names in its slots.

    Constructors take every field by keyword.
    """

    __slots__ = ()

    def __init_subclass__(cls):
        """Prepare the class's field access and constructor."""
        names = tuple(cls.__slots__)
        cls._names = names
        getter = operator.attrgetter(*names) if names else lambda _: ()
        cls._values = staticmethod(
            getter if len(names) != 1 else lambda record: (getter(record),)
        )
        if "__init__" not in cls.__dict__:
            cls.__init__ = _lazy_constructor(cls, names)

    def __eq__(self, other):
        """Compare class and all fields."""
        return type(self) is type(other) and self._values(self) == other._values(other)

    def __hash__(self):
        """Hash class and all fields."""
        return hash((type(self), self._values(self)))

    def __repr__(self):
        """Return class and fields."""
        fields = ", ".join(f"{n}={getattr(self, n)!r}" for n in self._names)
        return f"{printed_name(self)}({fields})"

    def replace(self, **changes):
        """Return a copy with some fields changed."""
        values = dict(zip(self._names, self._values(self), strict=True))
        values.update(changes)
        return type(self)(**values)


def printed_name(value):
    """Return the class name of a value as logs, errors and metrics print it."""
    name = type(value).__name__
    return PRINTED_NAMES.get(name, name)


def _lazy_constructor(cls, names):
    """Return a constructor that replaces itself with the compiled one when called."""

    def construct(self, **fields):
        cls.__init__ = _compile_constructor(names)
        cls.__init__(self, **fields)

    return construct


def _compile_constructor(names):
    """Return a constructor that takes the named fields by keyword.

    It is compiled for speed, as it runs for every message of every packet.
    """
    if not names:
        return object.__init__
    lines = [f"def __init__(self, *, {', '.join(names)}):"]
    lines += [f"    self.{name} = {name}" for name in names]
    scope = {}
    exec("\n".join(lines), scope)
    return scope["__init__"]
