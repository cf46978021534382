"""tests.test_differential: Real decisions against a naive version that knows all.

The naive version is one process with perfect knowledge: it runs each request
once and answers it at once, and it knows of each upstream at the moment.
"""

import random

import testscenarios
import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from knapweeddeal.actions import Address
from knapweeddeal.messages.caller import AnswerPart, KeepAlive, Renew
from knapweeddeal.messages.upstream import LEAVING, READY
from tests.directoryfakes import BOUND_MS, RegistrarNetwork, announce
from tests.entrycluster import EntryCluster

ENTRIES = "abc"
UPSTREAMS = ("u1", "u2")
#: Times that a caller tries again once the faults are over.
LAST_ROUNDS = 12

RUNS = settings(derandomize=True, deadline=None, max_examples=150)


class NaiveBalancer:
    """Run each request once, at once."""

    def __init__(self):
        self.runs = {}

    def answer(self, flow, number):
        """Return the answer to a request."""
        self.runs.setdefault((flow, number), 1)
        return b"done %d" % number


class Field:
    """Drive entries by a schedule, and the naive version beside them."""

    def __init__(self):
        self.cluster = EntryCluster(entries=ENTRIES, upstreams=UPSTREAMS)
        self.naive = NaiveBalancer()
        self.callers = [
            self.cluster.open(entry, Address(host="127.0.0.8", port=port))
            for port, entry in enumerate(ENTRIES, 1)
        ]
        self.requests = []
        self.expected = {}

    def new(self, caller, entry, flag):
        """Send a new request to one entry, or lose its first datagram."""
        flow = self.callers[caller]
        number = 1 + sum(owner is flow for owner, _ in self.requests)
        request = flow.request(number, idempotent=flag)
        self.requests.append((flow, request))
        self.expected[flow, number] = self.naive.answer(flow.flow_id, number)
        if not flag:
            self.cluster.send(ENTRIES[entry], flow, request)

    def again(self, place, entry, flag):
        """Let an old datagram come late, or twice."""
        if self.requests:
            flow, request = self.requests[place % len(self.requests)]
            for _ in range(1 + flag):
                self.cluster.send(ENTRIES[entry], flow, request)

    def hold(self, _place, _entry, flag):
        """Let upstreams work for a while, or finish, in any order."""
        self.cluster.hold_work = flag
        if not flag:
            random.Random(0).shuffle(self.cluster.held)
            self.cluster.release()

    def keep(self, caller, entry, flag):
        """Send a keep-alive, or ask for another owner."""
        flow = self.callers[caller]
        message = flow.on_flow(Renew if flag else KeepAlive)
        self.cluster.send(ENTRIES[entry], flow, message)

    def stop(self, _place, entry, _flag):
        """Stop an entry as planned and start it anew."""
        name, cluster = ENTRIES[entry], self.cluster
        cluster.hold_work = False
        cluster.release()
        cluster.stop(name)
        cluster.advance(4_000)
        if cluster.entries[name].stopped:
            cluster.kill(name)
            del cluster.entries[name]
            known = cluster.entries[min(cluster.entries)].successions.all()
            core = cluster.add_entry(name)
            for succession in known:
                core.successions.add(succession, now_ms=cluster.now_ms)

    def update(self, place, entry, flag):
        """Let one entry alone learn that an upstream leaves, or is back."""
        upstream = self.cluster.upstreams[UPSTREAMS[place % len(UPSTREAMS)]]
        state = LEAVING if flag else READY
        changed = upstream.announce.replace(
            state=state, sequence=upstream.announce.sequence + 1
        )
        upstream.announce = changed
        core = self.cluster.entries[ENTRIES[entry]]
        actions = core.apply_announce(changed, now_ms=self.cluster.now_ms)
        self.cluster._push(ENTRIES[entry], actions)
        self.cluster.deliver()

    def wait(self, place, _entry, flag):
        """Let time pass."""
        self.cluster.advance(100 * (1 + place))
        if flag:
            self.cluster.announce_all()

    def finish(self):
        """End the faults and let callers try again until they have an answer."""
        cluster = self.cluster
        cluster.hold_work = False
        for upstream in cluster.upstreams.values():
            upstream.announce = upstream.announce.replace(state=READY)
        for round_ in range(LAST_ROUNDS):
            cluster.announce_all()
            cluster.release()
            for place, (flow, request) in enumerate(self.requests):
                entry = ENTRIES[(place + round_) % len(ENTRIES)]
                if not answers(flow, request.number):
                    cluster.send(entry, flow, request.replace(attempt=round_))
            cluster.advance(500)


def answers(flow, number):
    """Return the different answers that a caller got."""
    return {
        message.body
        for message in flow.told
        if type(message) is AnswerPart and message.number == number
    }


STEPS = st.lists(
    st.tuples(
        st.sampled_from(
            ("new",) * 4
            + ("again",) * 4
            + ("hold", "hold", "keep", "keep", "stop", "update", "wait", "wait")
        ),
        st.integers(0, 2),
        st.integers(0, 2),
        st.booleans(),
    ),
    min_size=5,
    max_size=40,
)


class Requests(testtools.TestCase):
    """Without crashes, callers get what the naive version answers, once.

    Datagrams are lost, late and doubled, answers cross, entries stop as planned,
    flows get new tickets, and news of upstreams reach entries unevenly.
    """

    def test_same_answers(self):
        @RUNS
        @given(STEPS)
        def check(steps):
            field = Field()
            for name, place, entry, flag in steps:
                getattr(field, name)(place, entry, flag)
            field.finish()
            self.compare(field)

        check()

    def compare(self, field):
        """Compare what callers were told, and what ran."""
        for (flow, number), body in field.expected.items():
            self.assertEqual({body}, answers(flow, number), flow.outcomes(number))
            kinds = set(flow.outcomes(number))
            self.assertEqual(set(), kinds - {"answer", "resend"})
        for flow, request in field.requests:
            name = (flow.flow_id, request.number)
            if not request.idempotent:
                self.assertEqual(1, field.cluster.work_counts[name])
            self.assertLessEqual(1, field.cluster.run_counts[name])


class NaiveTable:
    """Know of each upstream when it last said that it takes new work."""

    def __init__(self):
        self.ready_ms = {}

    def record_announcement(self, message, now_ms):
        """Take an announcement at the moment it is made."""
        if message.state == READY:
            self.ready_ms[message.upstream_id] = now_ms

    def eligible(self, now_ms, within_ms):
        """Return the ids that were ready within a time."""
        return {
            name for name, at_ms in self.ready_ms.items() if now_ms - at_ms <= within_ms
        }


class Upstreams(testscenarios.TestWithScenarios, testtools.TestCase):
    """An entry's directory gives work only where a table that knows all would.

    It may lag by the bound on silence; with a good network both agree.
    """

    scenarios = [
        ("good network", {"loss": 0.0, "delay_ms": 0}),
        ("lossy", {"loss": 0.2, "delay_ms": 200}),
        ("out of order", {"loss": 0.1, "delay_ms": 1_500}),
    ]
    COUNT = 4

    def test_same_upstreams(self):
        @RUNS
        @given(
            st.lists(
                st.tuples(
                    st.integers(1, self.COUNT),
                    st.sampled_from(("die", "leave", "live", "cut", "heal")),
                    st.integers(1, 30),
                ),
                max_size=12,
            ),
            st.integers(0, 1_000),
        )
        def check(steps, seed):
            self.run_one(steps, random.Random(seed))

        check()

    def run_one(self, steps, rng):
        names = ["r1", "r2", "r3"]
        net = RegistrarNetwork(
            rng=rng,
            zones={"zone-a": names},
            loss=self.loss,
            max_delay_ms=self.delay_ms,
        )
        table = NaiveTable()
        states = dict.fromkeys(range(1, self.COUNT + 1), "live")
        for number, what, tenths in [*steps, (1, "heal", 1)]:
            if what == "cut":
                net.unreachable_names = {names[number % 3]}
            elif what == "heal":
                net.unreachable_names = set()
            else:
                states[number] = what
            self.run_for(net, table, states, tenths)
        self.run_for(net, table, states, 100)
        expected = {f"upstream-{n}" for n, state in states.items() if state == "live"}
        if not self.loss:
            self.assertEqual(sorted(expected), net.eligible())

    def run_for(self, net, table, states, tenths):
        """Let time pass; each live or leaving upstream announces itself."""
        for _ in range(tenths):
            for number, state in states.items():
                if state != "die" and net.now_ms % 500 == 0:
                    message = announce(
                        number,
                        sequence=1 + net.now_ms,
                        state=READY if state == "live" else LEAVING,
                    )
                    table.record_announcement(message, net.now_ms)
                    net.send_announcement(message)
            net.run(net.now_ms + 100)
            self.check_eligible(net, table)

    def check_eligible(self, net, table):
        """Check that no upstream is used long after it died or left."""
        may = table.eligible(net.now_ms, BOUND_MS + 3 * self.delay_ms)
        self.assertEqual(set(), set(net.eligible()) - may)
