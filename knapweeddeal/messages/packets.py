"""knapweeddeal.messages.packets: Messages on packet routes and their upstreams."""

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
    "NO_EVACUATIONS",
    "NO_ROUTE_TERMS",
    "ROUTE_KEY_BYTES",
    "READY",
    "AnswerCount",
    "AnswerCounts",
    "ControlState",
    "DirectoryAck",
    "DirectoryBatch",
    "Evacuation",
    "Evacuations",
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
    "RouteTerms",
    "RoutesRequest",
    "RoutesPush",
    "ServiceShare",
    "ServiceTerms",
    "UpstreamHeartbeat",
    "UpstreamState",
    "UpstreamsPush",
    "ZonesPush",
]

READY = "ready"
DRAINING = "draining"
GONE = "gone"

#: Largest operator document that a packet configuration holds.
MAX_DOCUMENT_BYTES = 1 << 22
MAX_ROUTES = 20_000
#: Largest number of evacuated zones.
MAX_EVACUATIONS = 1_000
#: Largest index of an upstream's echo.
MAX_ECHO_INDEX = 1_000
#: Length of a route's key in a packet: port and IPv4 address.
ROUTE_KEY_BYTES = 6


class ServiceShare(Message):
    """Give a service a weighted share of a route's new flows."""

    tag = 160
    schema = {"service": NAME, "weight": Integer(maximum=1_000_000)}
    __slots__ = tuple(schema)


class RouteTerms(Message):
    """Describe the requests on a route; an empty `kind` states nothing about them.

    `timeout_ms`: the longest time for an answer. `objective_ms`: the time in which an
    answer should arrive. `priority`: 0 is the highest.
    """

    tag = 184
    schema = {
        "kind": Text(max_chars=64),
        "timeout_ms": Integer(),
        "objective_ms": Integer(),
        "priority": Integer(),
    }
    __slots__ = tuple(schema)


#: Terms of a route that states none.
NO_ROUTE_TERMS = RouteTerms(kind="", timeout_ms=0, objective_ms=0, priority=0)


class ServiceTerms(Message):
    """Describe what an upstream of a service bears; 0 states no limit.

    An upstream is cold for `cold_start_ms` after its start, and then bears
    `cold_per_s_milli` thousandths of a request a second.
    """

    tag = 185
    schema = {
        "name": NAME,
        "max_connections": Integer(),
        "cold_start_ms": Integer(),
        "cold_per_s_milli": Integer(),
    }
    __slots__ = tuple(schema)


class PacketRoute(Message):
    """Route packets for one address to services.

    `former` lists services that had a share earlier and keep their open flows.
    """

    tag = 161
    schema = {
        "host": HOST,
        "port": PORT,
        "shares": ListOf(Nested(ServiceShare), max_items=64),
        "former": ListOf(NAME, max_items=256),
        "terms": Nested(RouteTerms),
    }
    __slots__ = tuple(schema)
    defaults = (NO_ROUTE_TERMS.to_wire(),)


class PacketConfiguration(Message):
    """Hold a revision of the packet routes; the operator sets its number.

    `document` holds the operator's original request body, byte for byte.
    """

    tag = 162
    schema = {
        "revision": Integer(),
        "routes": ListOf(Nested(PacketRoute), max_items=MAX_ROUTES),
        "document": Blob(max_bytes=MAX_DOCUMENT_BYTES),
        "services": ListOf(Nested(ServiceTerms), max_items=MAX_ROUTES),
    }
    __slots__ = tuple(schema)
    defaults = ([],)


class PublishRequest(Message):
    """Publish packet routes: an intent that needs no plan."""

    tag = 163
    schema = {"configuration": Nested(PacketConfiguration)}
    __slots__ = tuple(schema)


class PublishAnswer(Message):
    """Return the revision in force after a publication."""

    tag = 164
    schema = {"revision": Integer()}
    __slots__ = tuple(schema)


class PublishedRoutesRequest(Message):
    """Request the packet routes in force."""

    tag = 165
    schema = {}
    __slots__ = ()


class PublishedAnswer(Message):
    """Return the packet routes in force, with revision 0 if there are none."""

    tag = 166
    schema = {"configuration": Nested(PacketConfiguration)}
    __slots__ = tuple(schema)


class PublishRecord(Message):
    """Record packet routes in the log; in force if their revision is higher."""

    tag = 167
    schema = {
        "operator": Text(max_chars=64),
        "request_id": REQUEST_ID,
        "configuration": Nested(PacketConfiguration),
    }
    __slots__ = tuple(schema)


#: Fields of an upstream's state that affect the routing of flows.
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
    "echo_index",
)


class UpstreamState(Message):
    """Hold the last reported state of an upstream.

    Of two states of an upstream, the one with the higher (`born_ms`, `sequence`) wins.
    `silent`: its reports are overdue. `failing`: forwarders counted too many unanswered
    requests to it. `home`: the replica that received its last report. `hint`: the
    state was read from disk when the replica started, and not reported since.
    `echo_index`: which echo of its id it has, see `upstreamechoes`; above 0 only if
    echoes of other upstreams collided with it.
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
        "echo_index": Integer(maximum=MAX_ECHO_INDEX),
    }
    __slots__ = tuple(schema)
    defaults = (0,)

    def to_wire(self):
        """Return the wire form, which earlier versions read if the index is 0."""
        wire = super().to_wire()
        return wire if self.echo_index else wire[:-1]

    @property
    def version_key(self):
        """Return the key that orders the states of one upstream."""
        return (self.born_ms, self.sequence)

    def has_same_routing(self, other):
        """Return whether two states of one upstream route flows alike."""
        return all(getattr(self, name) == getattr(other, name) for name in ROUTING)


class UpstreamHeartbeat(Message):
    """Report that an upstream is alive and its state unchanged."""

    tag = 171
    schema = {"upstream_id": NAME, "born_ms": Integer(), "sequence": Integer()}
    __slots__ = tuple(schema)


class DirectoryBatch(Message):
    """Replicate upstream states; a `batch_id` above 0 requests an acknowledgment."""

    tag = 172
    schema = {
        "sender": Integer(),
        "batch_id": Integer(),
        "states": ListOf(Nested(UpstreamState)),
        "beats": ListOf(Nested(UpstreamHeartbeat)),
    }
    __slots__ = tuple(schema)


class DirectoryAck(Message):
    """Acknowledge a directory batch."""

    tag = 173
    schema = {"sender": Integer(), "batch_id": Integer()}
    __slots__ = tuple(schema)


class AnswerCount(Message):
    """Count requests to an upstream with and without an answer."""

    tag = 182
    schema = {"upstream_id": NAME, "answered": Integer(), "unanswered": Integer()}
    __slots__ = tuple(schema)


class AnswerCounts(Message):
    """Report answer counts of one forwarder, or sums over a replica's forwarders.

    `sender` is the replica's identity, or 0 for a forwarder. A forwarder counts since
    its last message. A replica sums over some seconds, and only for upstreams with
    unanswered requests.
    """

    tag = 183
    schema = {"sender": Integer(), "counts": ListOf(Nested(AnswerCount))}
    __slots__ = tuple(schema)

    @classmethod
    def of(cls, *, sender, counts):
        """Return a message made of (answered, unanswered) pairs by upstream id."""
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
    """Subscribe a forwarder to routes and upstreams."""

    tag = 174
    schema = {"name": NAME, "zone": NAME, "revision": Integer()}
    __slots__ = tuple(schema)


class ControlState(Message):
    """Report whether the sender has a leader (`current`), and list the replicas."""

    tag = 175
    schema = {
        "zone": NAME,
        "current": Flag(),
        "revision": Integer(),
        "replicas": ListOf(Nested(Replica), max_items=64),
    }
    __slots__ = tuple(schema)


class RouteGroup(Message):
    """Group routes that have the same services.

    `keys` holds the concatenated route keys, each as packets carry it.
    """

    tag = 181
    schema = {
        "keys": Blob(max_bytes=ROUTE_KEY_BYTES * MAX_ROUTES),
        "shares": ListOf(Nested(ServiceShare), max_items=64),
        "former": ListOf(NAME, max_items=256),
        "terms": Nested(RouteTerms),
    }
    __slots__ = tuple(schema)


class RoutesPush(Message):
    """Send a forwarder the changes since revision `base`; 0 replaces all routes.

    `dropped` holds the concatenated keys of removed routes. `services` holds the terms
    of all services.
    """

    tag = 176
    schema = {
        "revision": Integer(),
        "base": Integer(),
        "groups": ListOf(Nested(RouteGroup), max_items=MAX_ROUTES),
        "dropped": Blob(max_bytes=ROUTE_KEY_BYTES * MAX_ROUTES),
        "services": ListOf(Nested(ServiceTerms), max_items=MAX_ROUTES),
    }
    __slots__ = tuple(schema)


class RoutesRequest(Message):
    """Request all routes, as a received change had another base revision."""

    tag = 179
    schema = {}
    __slots__ = ()


class UpstreamsPush(Message):
    """Send upstream states to a forwarder; `whole` marks a complete list."""

    tag = 177
    schema = {"whole": Flag(), "states": ListOf(Nested(UpstreamState))}
    __slots__ = tuple(schema)


class Evacuation(Message):
    """Describe an evacuated zone; `since_ms` is the leader's wall clock."""

    tag = 186
    schema = {"zone": NAME, "since_ms": Integer(), "operator": Text(max_chars=64)}
    __slots__ = tuple(schema)


class Evacuations(Message):
    """List the evacuated zones; `version` increases with each change."""

    tag = 187
    schema = {
        "version": Integer(),
        "zones": ListOf(Nested(Evacuation), max_items=MAX_EVACUATIONS),
    }
    __slots__ = tuple(schema)


#: State before the first order.
NO_EVACUATIONS = Evacuations(version=0, zones=[])


class ZonesPush(Message):
    """Send a forwarder the names of all evacuated zones as of a version."""

    tag = 193
    schema = {"version": Integer(), "zones": ListOf(NAME, max_items=MAX_EVACUATIONS)}
    __slots__ = tuple(schema)


class PacketHints(Message):
    """Hold on disk the routes and states that a replica serves first after a start."""

    tag = 180
    schema = {
        "revision": Integer(),
        "routes": ListOf(Nested(PacketRoute), max_items=MAX_ROUTES),
        "states": ListOf(Nested(UpstreamState)),
        "services": ListOf(Nested(ServiceTerms), max_items=MAX_ROUTES),
        "evacuations": Nested(Evacuations),
    }
    __slots__ = tuple(schema)
    defaults = ([], NO_EVACUATIONS.to_wire())


class ReplicaNotice(Message):
    """Report a replica's address to another replica that may lack it."""

    tag = 178
    schema = {"replica": Nested(Replica)}
    __slots__ = tuple(schema)
