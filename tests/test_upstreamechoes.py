"""tests.test_upstreamechoes: Tests of echoes, and of ids that yield the same one."""

from itertools import permutations

import testscenarios
import testtools

from knapweeddeal.messages.base import decode, encode
from knapweeddeal.messages.packets import GONE
from knapweeddeal.packetupstreams import FLOW_RETENTION_MS, UPSTREAM_RETENTION_MS
from knapweeddeal.upstreamechoes import upstream_echo
from knapweeddeal.upstreamtable import UpstreamTable
from tests.echoreplay import (
    COLLIDING_IDS,
    FORWARDERS,
    EchoReplay,
    colliding_state,
)
from tests.packetfakes import ForwarderHarness, packet, route, state, syn


class EchoSequence(testscenarios.TestWithScenarios, testtools.TestCase):
    """Ids with the same first echo differ in the next ones; none is zero."""

    scenarios = [
        ("folded digits", {"ids": COLLIDING_IDS}),
        ("same digits", {"ids": ("records-1", "sheets-1", "i-01", "i-1")}),
        ("zero", {"ids": ("i-0", "i-0000000100000001", "i-1")}),
    ]

    def test_echoes(self):
        first = {upstream_echo(one, 0) for one in self.ids}
        later = [upstream_echo(one, index) for one in self.ids for index in range(1, 9)]
        self.assertEqual(1, len(first))
        self.assertEqual(len(later), len(set(later)))
        self.assertNotIn(bytes(4), [*first, *later])


class WireForm(testscenarios.TestWithScenarios, testtools.TestCase):
    """Earlier versions read a state without a collision, and theirs are read."""

    FIELDS = 14

    scenarios = [
        ("no collision", {"index": 0, "fields": FIELDS}),
        ("collision", {"index": 2, "fields": FIELDS + 1}),
    ]

    def test_round_trip(self):
        message = state(echo_index=self.index)
        self.assertEqual(self.fields, len(message.to_wire()) - 1)
        self.assertEqual(message, decode(encode(message)))


class AnyOrder(testscenarios.TestWithScenarios, testtools.TestCase):
    """Processes that learn of upstreams in any order give them the same echoes.

    The one that was learned of last took the echo, so that the packets of the other's
    flows went to it.
    """

    scenarios = [
        ("two", {"states": [{}, {}], "indexes": [0, 1]}),
        ("three", {"states": [{}, {}, {}], "indexes": [0, 1, 1]}),
        ("other services", {"states": [{}, {"service": "sheets"}], "indexes": [0, 1]}),
        ("moved before", {"states": [{"echo_index": 1}, {}], "indexes": [1, 0]}),
        ("both moved", {"states": [{"echo_index": 1}] * 2, "indexes": [1, 1]}),
        ("started at once", {"states": [{"born_ms": 5}] * 2, "indexes": [0, 1]}),
        ("remembered only", {"states": [{"hint": True}, {}], "indexes": [1, 0]}),
    ]

    def colliding_states(self):
        """Return the states of the upstreams, from another replica."""
        return [
            colliding_state(number, home=2, **changes)
            for number, changes in enumerate(self.states)
        ]

    def test_replica(self):
        for order in permutations(self.colliding_states()):
            table = UpstreamTable(own_identity=1, report_ms=1_200)
            for one in order:
                table.apply_state(one, 0)
            found = [
                table.get(one).echo_index for one in COLLIDING_IDS if table.get(one)
            ]
            self.assertEqual(self.indexes, found)

    def test_forwarder(self):
        for order in permutations(self.colliding_states()):
            pool = ForwarderHarness(states=order).pool
            by_id = {one.state.upstream_id: one for one in pool.all()}
            found = [by_id[one] for one in COLLIDING_IDS if one in by_id]
            self.assertEqual(self.indexes, [one.state.echo_index for one in found])
            for one in found:
                self.assertIs(one, pool.find_by_echo(one.echo))


class NewUpstream(testscenarios.TestWithScenarios, testtools.TestCase):
    """An upstream that has just started leaves the echo to the one that has flows.

    Its clock may be behind, and the other one may be on its way out.
    """

    scenarios = [
        ("started later", {"known": {}}),
        ("clock behind", {"known": {"born_ms": 9_000}}),
        ("the other drains", {"known": {"status": "draining"}}),
        ("the other is silent", {"known": {"silent": True}}),
        ("the other is gone", {"known": {"status": GONE}}),
        ("the other was remembered", {"known": {"hint": True}}),
    ]

    def test_index(self):
        table = UpstreamTable(own_identity=1, report_ms=1_200)
        table.apply_state(colliding_state(0, home=1, **self.known), 0)
        changed = table.apply_state(colliding_state(1, home=1), 10)
        self.assertEqual([COLLIDING_IDS[1]], [one.upstream_id for one in changed])
        self.assertEqual(1, changed[0].echo_index)
        self.assertEqual(0, table.get(COLLIDING_IDS[0]).echo_index)
        (move,) = table.pop_echo_moves()
        self.assertEqual(COLLIDING_IDS[0], move.holder_id)


class IndexKept(testscenarios.TestWithScenarios, testtools.TestCase):
    """The echo of an upstream stays as it is, whatever is reported of it later."""

    scenarios = [
        ("next report", {"update": {"sequence": 2}}),
        ("late report", {"update": {"sequence": 0}}),
        ("restarted", {"update": {"born_ms": 9_000}}),
        ("from another replica", {"update": {"sequence": 2, "home": 2}}),
        ("gone", {"update": {"sequence": 2, "status": GONE}}),
    ]

    def test_index(self):
        table = UpstreamTable(own_identity=1, report_ms=1_200)
        harness = ForwarderHarness()
        for reported in (
            colliding_state(0),
            colliding_state(1),
            colliding_state(1, **self.update),
        ):
            harness.pool.apply_states(table.apply_state(reported, 0), 0, current=True)
            harness.pool.apply_states([reported], 0, current=True)
        self.assertEqual(1, table.get(COLLIDING_IDS[1]).echo_index)
        indexes = [one.state.echo_index for one in harness.pool.all()]
        self.assertEqual([0, 1], indexes)


class LearnedIndex(testscenarios.TestWithScenarios, testtools.TestCase):
    """A replica adopts, pushes and keeps an index that another one found.

    It may never learn of the upstream that has the former echo.
    """

    scenarios = [
        ("same report", {"update": {"home": 2}}),
        ("earlier report", {"update": {"home": 2, "sequence": 4}}),
        ("later report", {"update": {"home": 2, "sequence": 6}}),
    ]

    def test_index(self):
        table = UpstreamTable(own_identity=1, report_ms=1_200)
        table.pop_unsent(table.apply_state(colliding_state(1, sequence=5), 0))
        update = {"sequence": 5, "echo_index": 1, **self.update}
        changed = table.apply_state(colliding_state(1, **update), 10)
        self.assertEqual([1], [one.echo_index for one in table.pop_unsent(changed)])
        table.apply_state(colliding_state(1, sequence=7), 20)
        self.assertEqual(1, table.get(COLLIDING_IDS[1]).echo_index)


class OneBatch(testtools.TestCase):
    """The index that another replica found counts before the other states with it.

    The echo that an upstream had left would otherwise be taken from its new holder.
    """

    KNOWN = colliding_state(1, born_ms=5)
    BATCH = [colliding_state(0, home=2), colliding_state(1, born_ms=5, echo_index=1)]

    def test_replica(self):
        table = UpstreamTable(own_identity=1, report_ms=1_200)
        table.apply_state(self.KNOWN, 0)
        changed = table.apply_states(self.BATCH, 0)
        self.assertEqual([1, 0], [one.echo_index for one in changed])

    def test_forwarder(self):
        pool = ForwarderHarness(states=[self.KNOWN]).pool
        changed = pool.apply_states(self.BATCH, 0, current=True)
        self.assertEqual([1, 0], [one.echo_index for one in changed])


class FreedEcho(testscenarios.TestWithScenarios, testtools.TestCase):
    """An upstream has the echo of one that left once that one's flows are over.

    Replicas remove the one that left at other times than forwarders, and a forwarder
    that was frozen learns late that it left.
    """

    LAST_MS = UPSTREAM_RETENTION_MS - 1

    scenarios = [
        ("still open", {"left": {"status": GONE}, "after_ms": 1_000, "index": 1}),
        ("left", {"left": {"status": GONE}, "after_ms": FLOW_RETENTION_MS, "index": 0}),
        ("silent", {"left": {"silent": True}, "after_ms": LAST_MS, "index": 0}),
        ("unnoticed", {"left": None, "after_ms": LAST_MS, "whole": True, "index": 0}),
        ("unnoticed by one", {"left": None, "after_ms": LAST_MS, "index": 1}),
    ]
    whole = False

    def test_index(self):
        pool = ForwarderHarness(states=[colliding_state(0)]).pool
        if self.left is not None:
            left = colliding_state(0, sequence=2, **self.left)
            pool.apply_states([left], 0, current=True)
        pool.expire_upstreams(self.after_ms)
        states = [colliding_state(1)]
        pool.apply_states(states, self.after_ms, current=True, whole=self.whole)
        (new,) = [one for one in pool.all() if one.state.born_ms == 2_000]
        self.assertEqual(self.index, new.state.echo_index)
        self.assertIs(new, pool.find_by_echo(new.echo))


class ReturnedUpstream(testscenarios.TestWithScenarios, testtools.TestCase):
    """An upstream that is back keeps its echo, as flows may be open again."""

    SILENT = colliding_state(0, sequence=2, silent=True)

    scenarios = [
        ("silent before", {"pushes": [([SILENT], False)]}),
        ("not listed before", {"pushes": [([], True)]}),
    ]

    def test_index(self):
        pool = ForwarderHarness(states=[colliding_state(0)]).pool
        for states, whole in self.pushes:
            pool.apply_states(states, 0, current=True, whole=whole)
        pool.expire_upstreams(FLOW_RETENTION_MS)
        for returned in (colliding_state(0, sequence=3), colliding_state(1)):
            pool.apply_states([returned], FLOW_RETENTION_MS, current=True)
        self.assertEqual([0, 1], [one.state.echo_index for one in pool.all()])


class RemovedUpstream(testtools.TestCase):
    """The echo of an upstream that was removed is free.

    A replica whose table still led to it would move each new upstream.
    """

    def test_replica(self):
        table = UpstreamTable(own_identity=1, report_ms=1_200)
        table.apply_state(colliding_state(0), 0)
        table.expire(now_ms=UPSTREAM_RETENTION_MS, current=True, linked=())
        (changed,) = table.apply_state(colliding_state(1), UPSTREAM_RETENTION_MS)
        self.assertEqual(0, changed.echo_index)

    def test_forwarder(self):
        pool = ForwarderHarness(states=[colliding_state(0, status=GONE)]).pool
        pool.expire_upstreams(UPSTREAM_RETENTION_MS)
        self.assertIsNone(pool.find_by_echo(upstream_echo(COLLIDING_IDS[0], 0)))


class LearnedAfterMove(testscenarios.TestWithScenarios, testtools.TestCase):
    """A forwarder that starts after a move leads older flows to their upstream."""

    scenarios = [
        ("other service", {"holder": {"service": "sheets"}}),
        ("holder unknown", {"holder": None}),
    ]

    def test_packet(self):
        moved = colliding_state(1, echo_index=1)
        known = [moved] if self.holder is None else [colliding_state(0, **self.holder)]
        harness = ForwarderHarness(routes=[route()], states=[*known, moved])
        former_echo = upstream_echo(moved.upstream_id, 0)
        ((_, address),) = harness.handle_packet(packet(echo=former_echo, data=b"x"))
        self.assertEqual(moved.host, address[0])


class MovedEcho(testscenarios.TestWithScenarios, testtools.TestCase):
    """Flows of an upstream whose echo moved stay at it, and get its new echo.

    Two replicas that were cut off from each other may each give an upstream the same
    echo; the one that started later moves once a forwarder knows both.
    """

    scenarios = [
        ("flow known here", {"opened_here": True, "service": "records"}),
        ("other service", {"opened_here": False, "service": "sheets"}),
        (
            "echo not taken",
            {"opened_here": False, "service": "records", "taken": False},
        ),
    ]
    taken = True

    def test_packets(self):
        moved = colliding_state(1, service=self.service)
        harness = ForwarderHarness(routes=[route(self.service)], states=[moved])
        old_echo = upstream_echo(moved.upstream_id, 0)
        if self.opened_here:
            _, old_echo = harness.open(port=40_001)
        update = colliding_state(0) if self.taken else moved.replace(echo_index=1)
        harness.pool.apply_states([update], 0, current=True)
        echo = old_echo
        for _ in range(2):
            ((payload, address),) = harness.handle_packet(
                packet(port=40_001, echo=echo, data=b"x")
            )
            self.assertEqual(moved.host, address[0])
            echo = payload[10:14]
        self.assertEqual(upstream_echo(moved.upstream_id, 1), echo)


class OfferedTwice(testtools.TestCase):
    """A flow stays where it opened if a copy of its SYN went to the colliding upstream.

    The two copies came to different forwarders, and the packets of the flow come to
    both.
    """

    def test_packets(self):
        holder = colliding_state(0)
        moved = colliding_state(1, echo_index=1)
        harness = ForwarderHarness(routes=[route()], states=[moved])
        harness.handle_packet(syn(port=40_001))
        harness.pool.apply_states([holder], 0, current=True)
        echo = upstream_echo(holder.upstream_id, 0)
        ((_, address),) = harness.handle_packet(
            packet(port=40_001, echo=echo, data=b"x")
        )
        self.assertEqual(holder.host, address[0])


class SearchedOrders(testscenarios.TestWithScenarios, testtools.TestCase):
    """No order of messages and restarts leads a flow away from its upstream.

    All orders are tried: messages arrive late at any process, and forwarders and
    replicas restart between them. At the end, all flows arrive.
    """

    #: States of all processes that each search reaches at least.
    MIN_STATES = 10

    scenarios = [
        ("second upstream", {"events": [("report", 2, 1)]}),
        ("clock behind", {"events": [("report", 2, 1, {"born_ms": 5})]}),
        ("first one leaves", {"events": [("report", 2, 1), ("depart", 1, 0)]}),
        ("second one leaves", {"events": [("report", 2, 1), ("depart", 2, 1)]}),
        ("third upstream", {"events": [("report", 2, 1), ("report", 2, 2)]}),
        (
            "forwarder restarts",
            {"events": [("report", 2, 1), ("restart", FORWARDERS[1], 1)]},
        ),
        ("replica restarts", {"events": [("report", 2, 1), ("restore", 1)]}),
        ("home restarts", {"events": [("report", 2, 1), ("restore", 2)]}),
        (
            "home loses its disk",
            {
                "events": [
                    ("report", 2, 1),
                    ("wipe", 2),
                    ("report", 2, 1, {"sequence": 2}),
                ]
            },
        ),
        (
            "home of an upstream with its clock behind loses its disk",
            {
                "events": [
                    ("report", 2, 1, {"born_ms": 5}),
                    ("wipe", 2),
                    ("report", 2, 1, {"born_ms": 5, "sequence": 2}),
                ]
            },
        ),
    ]

    def test_all_orders(self):
        pending, seen = [()], set()
        while pending:
            choices = pending.pop()
            replay, events = self.play(choices)
            signature = (replay.signature(), len(events))
            if signature in seen:
                continue
            seen.add(signature)
            options = [("deliver", *link) for link in replay.links]
            options += events[:1]
            pending += [(*choices, option) for option in options]
            if not options:
                for name in FORWARDERS:
                    self.assertEqual([], replay.dropped(name), choices)
        self.assertGreater(len(seen), self.MIN_STATES)

    def play(self, choices):
        """Return a replay after some choices, and the events that are left."""
        replay, events = EchoReplay(), list(self.events)
        replay.report(1, 0)
        replay.deliver_all()
        self.check(replay, choices)
        for choice in choices:
            if choice in events:
                events.remove(choice)
            name, *arguments = choice
            changes = {}
            if isinstance(arguments[-1], dict):
                changes = arguments.pop()
            getattr(replay, name)(*arguments, **changes)
            self.check(replay, choices)
        return replay, events

    def check(self, replay, choices):
        """Open flows at each forwarder, and use all flows at each."""
        for name in FORWARDERS:
            replay.open_flows(name)
        for name in FORWARDERS:
            self.assertEqual([], replay.astray(name), choices)


class StartedAtOnce(testscenarios.TestWithScenarios, testtools.TestCase):
    """Two upstreams that start at once at two replicas both get new flows.

    Flows that were opened before the replicas knew of both stay where they were opened
    as long as their packets come to the same forwarder.
    """

    scenarios = [
        ("one after the other", {"born_ms": 2_000}),
        ("same time", {"born_ms": 1_000}),
        ("in the other order", {"born_ms": 500}),
    ]

    def test_flows(self):
        replay = EchoReplay()
        replay.report(1, 0)
        replay.report(2, 1, born_ms=self.born_ms)
        early = {}
        for replica, name in zip((1, 2), FORWARDERS, strict=True):
            replay.deliver(replica, name)
            replay.open_flows(name)
            early[name], replay.flows = replay.flows, {}
        replay.deliver_all()
        for name in FORWARDERS:
            replay.flows = early[name]
            self.assertEqual([], replay.astray(name, known=True))
        replay.flows = {}
        for name in FORWARDERS:
            replay.open_flows(name)
        self.assertEqual(2, len({address for address, _ in replay.flows}))
        for name in FORWARDERS:
            self.assertEqual([], replay.astray(name))
            self.assertEqual([], replay.dropped(name))
