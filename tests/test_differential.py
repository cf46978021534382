"""tests.test_differential: Comparison of entries with a naive reference model.

The reference model is one process with perfect knowledge: it runs each request once,
answers it at once, and has the current state of each upstream.
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
#: Retries of each caller after the faults have ended.
FINAL_RETRIES = 12

RUNS = settings(derandomize=True, deadline=None, max_examples=150)


class ReferenceBalancer:
    """Run each request exactly once, immediately."""

    def __init__(self):
        self.runs = {}

    def answer(self, flow, number):
        """Run a request and return its answer."""
        self.runs.setdefault((flow, number), 1)
        return b"done %d" % number


class DifferentialRun:
    """Apply a schedule to entries and to the reference model."""

    def __init__(self):
        self.cluster = EntryCluster(entries=ENTRIES, upstreams=UPSTREAMS)
        self.reference = ReferenceBalancer()
        self.callers = [
            self.cluster.open(entry, Address(host="127.0.0.8", port=port))
            for port, entry in enumerate(ENTRIES, 1)
        ]
        self.requests = []
        self.expected = {}

    def send_new(self, caller, entry, flag):
        """Send a new request to an entry, or lose it if the flag is set."""
        flow = self.callers[caller]
        number = 1 + sum(owner is flow for owner, _ in self.requests)
        request = flow.request(number, idempotent=flag)
        self.requests.append((flow, request))
        self.expected[flow, number] = self.reference.answer(flow.flow_id, number)
        if not flag:
            self.cluster.send(ENTRIES[entry], flow, request)

    def resend(self, index, entry, flag):
        """Deliver an old datagram again; twice if the flag is set."""
        if self.requests:
            flow, request = self.requests[index % len(self.requests)]
            for _ in range(1 + flag):
                self.cluster.send(ENTRIES[entry], flow, request)

    def hold_upstreams(self, _index, _entry, flag):
        """Hold the work of upstreams if the flag is set, else do it in random order."""
        self.cluster.hold_work = flag
        if not flag:
            random.Random(0).shuffle(self.cluster.held_jobs)
            self.cluster.release()

    def keep_alive(self, caller, entry, flag):
        """Send a keep-alive, or request a ticket of another owner."""
        flow = self.callers[caller]
        message = flow.on_flow(Renew if flag else KeepAlive)
        self.cluster.send(ENTRIES[entry], flow, message)

    def restart_entry(self, _index, entry, _flag):
        """Stop an entry as planned and start it again."""
        name, cluster = ENTRIES[entry], self.cluster
        cluster.hold_work = False
        cluster.release()
        cluster.stop(name)
        cluster.advance(4_000)
        if cluster.entries[name].stopped:
            cluster.kill(name)
            del cluster.entries[name]
            successions = cluster.entries[min(cluster.entries)].successions.all()
            core = cluster.add_entry(name)
            for succession in successions:
                core.successions.add(succession, now_ms=cluster.now_ms)

    def update_upstream(self, index, entry, flag):
        """Announce to one entry only that an upstream leaves or is ready again."""
        upstream = self.cluster.upstreams[UPSTREAMS[index % len(UPSTREAMS)]]
        state = LEAVING if flag else READY
        changed = upstream.announce.replace(
            state=state, sequence=upstream.announce.sequence + 1
        )
        upstream.announce = changed
        core = self.cluster.entries[ENTRIES[entry]]
        actions = core.apply_announce(changed, now_ms=self.cluster.now_ms)
        self.cluster._queue_actions(ENTRIES[entry], actions)
        self.cluster.deliver()

    def advance(self, index, _entry, flag):
        """Advance the clock; announce all upstreams if the flag is set."""
        self.cluster.advance(100 * (1 + index))
        if flag:
            self.cluster.announce_all()

    def recover(self):
        """End the faults and resend requests until each has an answer."""
        cluster = self.cluster
        cluster.hold_work = False
        for upstream in cluster.upstreams.values():
            upstream.announce = upstream.announce.replace(state=READY)
        for attempt in range(FINAL_RETRIES):
            cluster.announce_all()
            cluster.release()
            for index, (flow, request) in enumerate(self.requests):
                entry = ENTRIES[(index + attempt) % len(ENTRIES)]
                if not answers(flow, request.number):
                    cluster.send(entry, flow, request.replace(attempt=attempt))
            cluster.advance(500)


def answers(flow, number):
    """Return the distinct answers that a caller received to a request."""
    return {
        message.body
        for message in flow.received_messages
        if type(message) is AnswerPart and message.number == number
    }


STEPS = st.lists(
    st.tuples(
        st.sampled_from(
            ("send_new",) * 4
            + ("resend",) * 4
            + (
                "hold_upstreams",
                "hold_upstreams",
                "keep_alive",
                "keep_alive",
                "restart_entry",
                "update_upstream",
                "advance",
                "advance",
            )
        ),
        st.integers(0, 2),
        st.integers(0, 2),
        st.booleans(),
    ),
    min_size=5,
    max_size=40,
)


class Requests(testtools.TestCase):
    """Without crashes, non-idempotent requests run once; answers match the reference.

    Datagrams are lost, late and duplicated, answers are reordered, entries stop as
    planned, flows get new tickets, and announcements reach entries unevenly.
    """

    def test_same_answers(self):
        @RUNS
        @given(STEPS)
        def check(steps):
            run = DifferentialRun()
            for name, index, entry, flag in steps:
                getattr(run, name)(index, entry, flag)
            run.recover()
            self.compare(run)

        check()

    def compare(self, run):
        """Compare the outcomes of callers and the runs of requests."""
        for (flow, number), body in run.expected.items():
            self.assertEqual({body}, answers(flow, number), flow.outcomes(number))
            kinds = set(flow.outcomes(number))
            self.assertEqual(set(), kinds - {"answer", "resend"})
        for flow, request in run.requests:
            name = (flow.flow_id, request.number)
            if not request.idempotent:
                self.assertEqual(1, run.cluster.work_counts[name])
            self.assertLessEqual(1, run.cluster.run_counts[name])


class ReferenceDirectory:
    """Record when each upstream was last ready."""

    def __init__(self):
        self.ready_ms = {}

    def record_announcement(self, message, now_ms):
        """Record an announcement without delay or loss."""
        if message.state == READY:
            self.ready_ms[message.upstream_id] = now_ms

    def eligible(self, now_ms, within_ms):
        """Return the ids of upstreams that were ready within a time."""
        return {
            name for name, at_ms in self.ready_ms.items() if now_ms - at_ms <= within_ms
        }


class Upstreams(testscenarios.TestWithScenarios, testtools.TestCase):
    """An upstream is eligible only if it is so in the reference directory.

    The directory may lag by the time-out of silent upstreams; without loss both are
    equal.
    """

    scenarios = [
        ("good network", {"loss": 0.0, "delay_ms": 0}),
        ("lossy", {"loss": 0.2, "delay_ms": 200}),
        ("reordered", {"loss": 0.1, "delay_ms": 1_500}),
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
            self.run_schedule(steps, random.Random(seed))

        check()

    def run_schedule(self, steps, rng):
        names = ["r1", "r2", "r3"]
        net = RegistrarNetwork(
            rng=rng,
            zones={"zone-a": names},
            loss=self.loss,
            max_delay_ms=self.delay_ms,
        )
        reference = ReferenceDirectory()
        states = dict.fromkeys(range(1, self.COUNT + 1), "live")
        for number, event, tenths in [*steps, (1, "heal", 1)]:
            if event == "cut":
                net.unreachable_names = {names[number % 3]}
            elif event == "heal":
                net.unreachable_names = set()
            else:
                states[number] = event
            self.run_for(net, reference, states, tenths)
        self.run_for(net, reference, states, 100)
        expected = {f"upstream-{n}" for n, state in states.items() if state == "live"}
        if not self.loss:
            self.assertEqual(sorted(expected), net.eligible())

    def run_for(self, net, reference, states, tenths):
        """Advance the time; each live or leaving upstream announces itself."""
        for _ in range(tenths):
            for number, state in states.items():
                if state != "die" and net.now_ms % 500 == 0:
                    message = announce(
                        number,
                        sequence=1 + net.now_ms,
                        state=READY if state == "live" else LEAVING,
                    )
                    reference.record_announcement(message, net.now_ms)
                    net.send_announcement(message)
            net.run(net.now_ms + 100)
            self.check_eligible(net, reference)

    def check_eligible(self, net, reference):
        """Check that no upstream stays eligible too long after it died or left."""
        allowed = reference.eligible(net.now_ms, BOUND_MS + 3 * self.delay_ms)
        self.assertEqual(set(), set(net.eligible()) - allowed)
