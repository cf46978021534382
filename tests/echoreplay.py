"""tests.echoreplay: Replay of upstreams whose ids yield the same echo.

Two tables of control replicas and two forwarders exchange states over links that
deliver in order, each at its own time. No sockets are involved.
"""

from itertools import count

from knapweeddeal.messages.packets import GONE, READY
from knapweeddeal.packetheader import RST
from knapweeddeal.upstreamtable import UpstreamTable
from tests.packetfakes import ForwarderHarness, packet, route, state, syn

__all__ = ["COLLIDING_IDS", "EchoReplay", "colliding_state"]

#: Ids whose halves yield the same bits: 9 ^ 2 is 10 ^ 1 is 11 ^ 0.
COLLIDING_IDS = (
    "i-0000000900000002",
    "i-0000000a00000001",
    "i-0000000b00000000",
)
REPLICAS = (1, 2)
FORWARDERS = ("forwarder-1", "forwarder-2")
REPORT_MS = 1_200
#: Bytes before the echo in the bytes for an upstream.
PAYLOAD_ECHO = slice(10, 14)


def colliding_state(number, **changes):
    """Return the state of the upstream with one of the colliding ids."""
    values = {
        "upstream_id": COLLIDING_IDS[number],
        "host": f"10.0.0.{number + 1}",
        "born_ms": 1_000 * (number + 1),
    }
    return state(**{**values, **changes})


class EchoReplay:
    """Hold replicas, forwarders, the messages between them, and open flows."""

    def __init__(self):
        self.tables = {
            replica: UpstreamTable(own_identity=replica, report_ms=REPORT_MS)
            for replica in REPLICAS
        }
        self.forwarders = {name: new_forwarder() for name in FORWARDERS}
        #: Lists of states under way, by sender and receiver.
        self.links = {}
        #: Port of a flow by the address of its upstream and its last echo.
        self.flows = {}
        self.left = set()
        self._ports = count(40_001)

    # Events.

    def report(self, replica, number, **changes):
        """Let an upstream report to a replica."""
        reported = colliding_state(number, home=replica, **changes)
        changed = self.tables[replica].apply_state(reported, 0)
        others = [other for other in REPLICAS if other != replica]
        self._send(replica, [*others, *FORWARDERS], changed)

    def depart(self, replica, number):
        """Let an upstream leave, whose flows have ended."""
        self.left.add(colliding_state(number).host)
        self.report(replica, number, sequence=9, status=GONE)

    def restart(self, name, replica):
        """Restart a forwarder; it gets all states from a replica."""
        self.forwarders[name] = new_forwarder()
        for sender in REPLICAS:
            self.links.pop((sender, name), None)
        states = self.tables[replica].states(0)
        self.forwarders[name].pool.apply_states(states, 0, current=True, whole=True)

    def restore(self, replica):
        """Restart a replica with the hints on its disk, and link it again."""
        hints = [
            one.replace(home=replica, hint=True)
            for one in self.tables[replica].states(0)
            if one.status != GONE
        ]
        table = UpstreamTable(own_identity=replica, report_ms=REPORT_MS)
        self.tables[replica] = table
        table.apply_states(hints, 0)
        for other in REPLICAS:
            if other != replica:
                self._send(other, [replica], self.tables[other].states(0))

    def wipe(self, replica):
        """Restart a replica without its disk, and link it again."""
        self.tables[replica] = UpstreamTable(own_identity=replica, report_ms=REPORT_MS)
        for other in REPLICAS:
            if other != replica:
                self._send(other, [replica], self.tables[other].states(0))

    def _send(self, sender, receivers, states):
        for receiver in receivers:
            if states:
                self.links.setdefault((sender, receiver), []).append(states)

    def deliver(self, sender, receiver):
        """Deliver the oldest message on a link."""
        states = self.links[sender, receiver].pop(0)
        if not self.links[sender, receiver]:
            del self.links[sender, receiver]
        if receiver in self.forwarders:
            pool = self.forwarders[receiver].pool
            pool.apply_states(states, 0, current=True)
            return
        changed = self.tables[receiver].apply_states(states, 0)
        self._send(receiver, FORWARDERS, changed)

    def deliver_all(self):
        """Deliver all messages."""
        while self.links:
            self.deliver(*next(iter(self.links)))

    # Flows.

    def open_flows(self, name):
        """Open a flow at a forwarder to each upstream that it may choose."""
        forwarder = self.forwarders[name]
        known = [one for one in forwarder.pool.all() if one.state.status == READY]
        for _ in known:
            port = next(self._ports)
            (data, address), *_ = forwarder.handle_packet(syn(port=port))
            self.flows.setdefault((address, data[PAYLOAD_ECHO]), port)

    def astray(self, name, *, known=False):
        """Send a packet of each flow through a forwarder; return those led elsewhere.

        The forwarder goes by the echo alone, unless the flows are `known` to it. One
        that doesn't know the upstream yet drops the packet. The upstream returns the
        echo that it gets, so that the caller's next packet carries it.
        """
        found = []
        for (address, echo), port in list(self.flows.items()):
            sent = self._use(name, port if known else next(self._ports), echo)
            if address[0] in self.left or not sent:
                continue
            payload, target = sent[0]
            if target != address or payload[0] == RST:
                found.append((address, echo, target))
            else:
                self.flows.setdefault((address, payload[PAYLOAD_ECHO]), port)
        return found

    def dropped(self, name):
        """Return the flows of living upstreams whose packets a forwarder drops."""
        return [
            (address, echo)
            for address, echo in self.flows
            if address[0] not in self.left
            and not self._use(name, next(self._ports), echo)
        ]

    def _use(self, name, port, echo):
        data = packet(port=port, echo=echo, data=b"x")
        return self.forwarders[name].handle_packet(data)

    def signature(self):
        """Return what the next steps depend on, as text."""
        tables = [table.states(0) for table in self.tables.values()]
        pools = [
            sorted(
                (u.state.version_key, u.echo, u.state.status) for u in one.pool.all()
            )
            for one in self.forwarders.values()
        ]
        links = sorted(self.links.items(), key=str)
        return repr((tables, pools, links, sorted(self.flows), self.left))


def new_forwarder():
    """Return a forwarder that has just started."""
    return ForwarderHarness(routes=[route()])
