"""knapweeddeal.messages.packets: Packet routes, and the upstreams behind them."""

from knapweeddeal.messages.base import (
    Blob,
    Flag,
    Integer,
    ListOf,
    Message,
    Nested,
    OneOf,
    Text,
)
from knapweeddeal.messages.control import Replica
from knapweeddeal.messages.fields import HOST, NAME, PORT, REQUEST_ID

__all__ = [
    "DRAINING",
    "GONE",
    "ROUTE_KEY_BYTES",
    "READY",
    "AnswerCount",
    "AnswerCounts",
    "ControlState",
    "DirectoryAck",
    "DirectoryBatch",
    "ForwarderHello",
    "PacketConfiguration",
    "PacketHints",
    "PacketRoute",
    "PublishAnswer",
    "PublishRequest",
    "PublishRecord",
    "PublishedAnswer",
    "PublishedRoutesRequest",
    "ReplicaNotice",
    "RouteGroup",
    "RoutesRequest",
    "RoutesPush",
    "ServiceShare",
    "UpstreamHeartbeat",
    "UpstreamState",
    "UpstreamsPush",
]

READY = "ready"
DRAINING = "draining"
GONE = "gone"

#: Largest document of an operator that a configuration keeps.
MAX_DOCUMENT_BYTES = 1 << 22
MAX_ROUTES = 20_000
#: Bytes by which a packet names its route.
ROUTE_KEY_BYTES = 6


class ServiceShare(Message):
    """Give a service a share of a route's new flows."""

    tag = 160
    schema = {"service": NAME, "weight": Integer(maximum=1_000_000)}
    __slots__ = tuple(schema)


class PacketRoute(Message):
    """Lead packets for one address to services.

    `former` names services that had a share earlier: their open flows go on.
    """

    tag = 161
    schema = {
        "host": HOST,
        "port": PORT,
        "shares": ListOf(Nested(ServiceShare), max_items=64),
        "former": ListOf(NAME, max_items=256),
    }
    __slots__ = tuple(schema)


class PacketConfiguration(Message):
    """Hold the packet routes in force; the operator numbers the revisions.

    `document` is what the operator sent, byte for byte.
    """

    tag = 162
    schema = {
        "revision": Integer(),
        "routes": ListOf(Nested(PacketRoute), max_items=MAX_ROUTES),
        "document": Blob(max_bytes=MAX_DOCUMENT_BYTES),
    }
    __slots__ = tuple(schema)


class PublishRequest(Message):
    """Ask to put packet routes in force: an intent that needs no plan."""

    tag = 163
    schema = {"configuration": Nested(PacketConfiguration)}
    __slots__ = tuple(schema)


class PublishAnswer(Message):
    """Tell the revision in force after a publication."""

    tag = 164
    schema = {"revision": Integer()}
    __slots__ = tuple(schema)


class PublishedRoutesRequest(Message):
    """Ask for the packet routes in force."""

    tag = 165
    schema = {}
    __slots__ = ()


class PublishedAnswer(Message):
    """Give the packet routes in force; revision 0 for none."""

    tag = 166
    schema = {"configuration": Nested(PacketConfiguration)}
    __slots__ = tuple(schema)


class PublishRecord(Message):
    """Put packet routes in force if their revision is higher."""

    tag = 167
    schema = {
        "operator": Text(max_chars=64),
        "request_id": REQUEST_ID,
        "configuration": Nested(PacketConfiguration),
    }
    __slots__ = tuple(schema)


#: Fields of an upstream's state that decide how flows are routed.
ROUTING = (
    "born_ms",
    "service",
    "zone",
    "host",
    "port",
    "slots",
    "status",
    "silent",
    "failing",
)


class UpstreamState(Message):
    """Tell what an upstream last said of itself.

    Of one upstream the higher (`born_ms`, `sequence`) wins. `silent` tells that
    nothing was heard for longer than reports may take; `failing` that forwarders saw
    too many requests there without an answer; `home` is the replica that heard it
    last. `hint` marks what a replica remembers from before its start.
    """

    tag = 170
    schema = {
        "upstream_id": NAME,
        "born_ms": Integer(),
        "sequence": Integer(),
        "service": NAME,
        "zone": NAME,
        "host": HOST,
        "port": PORT,
        "slots": Integer(minimum=1, maximum=100_000),
        "status": OneOf(READY, DRAINING, GONE),
        "cold_ms": Integer(),
        "silent": Flag(),
        "failing": Flag(),
        "home": Integer(),
        "hint": Flag(),
    }
    __slots__ = tuple(schema)

    @property
    def version_key(self):
        """Return what orders the states of one upstream."""
        return (self.born_ms, self.sequence)

    def has_same_routing(self, other):
        """Tell whether flows are routed alike by two states of one upstream."""
        return all(getattr(self, name) == getattr(other, name) for name in ROUTING)


class UpstreamHeartbeat(Message):
    """Tell that an upstream was heard, with nothing new to say."""

    tag = 171
    schema = {"upstream_id": NAME, "born_ms": Integer(), "sequence": Integer()}
    __slots__ = tuple(schema)


class DirectoryBatch(Message):
    """Hand on upstreams between replicas; a `batch_id` above 0 asks for an ack."""

    tag = 172
    schema = {
        "sender": Integer(),
        "batch_id": Integer(),
        "states": ListOf(Nested(UpstreamState)),
        "beats": ListOf(Nested(UpstreamHeartbeat)),
    }
    __slots__ = tuple(schema)


class DirectoryAck(Message):
    """Acknowledge a batch."""

    tag = 173
    schema = {"sender": Integer(), "batch_id": Integer()}
    __slots__ = tuple(schema)


class AnswerCount(Message):
    """Count requests to an upstream with and without an answer."""

    tag = 182
    schema = {"upstream_id": NAME, "answered": Integer(), "unanswered": Integer()}
    __slots__ = tuple(schema)


class AnswerCounts(Message):
    """Tell what a forwarder saw since its last message, or all of a replica's did.

    `sender` is the replica's identity, or 0 for a forwarder. A replica gives sums over
    some seconds, of upstreams with requests that went unanswered.
    """

    tag = 183
    schema = {"sender": Integer(), "counts": ListOf(Nested(AnswerCount))}
    __slots__ = tuple(schema)

    @classmethod
    def of(cls, *, sender, counts):
        """Return a message of (answered, unanswered) by upstream."""
        return cls(
            sender=sender,
            counts=[
                AnswerCount(
                    upstream_id=upstream_id, answered=answered, unanswered=unanswered
                )
                for upstream_id, (answered, unanswered) in counts.items()
            ],
        )


class ForwarderHello(Message):
    """Open a forwarder's subscription to routes and upstreams."""

    tag = 174
    schema = {"name": NAME, "zone": NAME, "revision": Integer()}
    __slots__ = tuple(schema)


class ControlState(Message):
    """Tell a forwarder whether this replica hears a leader, and of the others."""

    tag = 175
    schema = {
        "zone": NAME,
        "current": Flag(),
        "revision": Integer(),
        "replicas": ListOf(Nested(Replica), max_items=64),
    }
    __slots__ = tuple(schema)


class RouteGroup(Message):
    """Give routes that lead to the same services.

    `keys` holds their addresses, one after another, as packets name them.
    """

    tag = 181
    schema = {
        "keys": Blob(max_bytes=ROUTE_KEY_BYTES * MAX_ROUTES),
        "shares": ListOf(Nested(ServiceShare), max_items=64),
        "former": ListOf(NAME, max_items=256),
    }
    __slots__ = tuple(schema)


class RoutesPush(Message):
    """Change a forwarder's routes from revision `base`; base 0 replaces all of them.

    `dropped` holds the keys of routes that are no more.
    """

    tag = 176
    schema = {
        "revision": Integer(),
        "base": Integer(),
        "groups": ListOf(Nested(RouteGroup), max_items=MAX_ROUTES),
        "dropped": Blob(max_bytes=ROUTE_KEY_BYTES * MAX_ROUTES),
    }
    __slots__ = tuple(schema)


class RoutesRequest(Message):
    """Ask for all routes, when a difference was made on another revision."""

    tag = 179
    schema = {}
    __slots__ = ()


class UpstreamsPush(Message):
    """Tell a forwarder of upstreams; `whole` says that the replica knows no others."""

    tag = 177
    schema = {"whole": Flag(), "states": ListOf(Nested(UpstreamState))}
    __slots__ = tuple(schema)


class PacketHints(Message):
    """Keep on disk what forwarders were told, for a replica's next start."""

    tag = 180
    schema = {
        "revision": Integer(),
        "routes": ListOf(Nested(PacketRoute), max_items=MAX_ROUTES),
        "states": ListOf(Nested(UpstreamState)),
    }
    __slots__ = tuple(schema)


class ReplicaNotice(Message):
    """Tell a replica of another one that it may not know."""

    tag = 178
    schema = {"replica": Nested(Replica)}
    __slots__ = tuple(schema)
