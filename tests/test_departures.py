"""tests.test_departures: Search of all orders of reports and departures.

Two processes have one id in turn, and report to two control replicas, which run the
real table of upstreams. The network delays departures for any time.
"""

import copy
import functools
from unittest import mock

import testscenarios
import testtools

from knapweeddeal.messages.packets import DRAINING, GONE, READY, UpstreamState
from knapweeddeal.upstreamtable import ACCEPTED, DEFERRED, IGNORED, UpstreamTable
from tests.packetfakes import state
from tests.statesearch import search

REPLICAS = (1, 2)
REPORT_MS = 1_000
#: Longer than an upstream of a connected replica may be silent.
SILENCE_MS = 4_000
#: Reports of the second process, which is the last one.
MAX_REPORTS = 3
LAST_PROCESS = 2
#: Checks of each replica.
MAX_CHECKS = 2
MAX_STATES = 200_000
UPSTREAM_ID = "i-1"


class Replica:
    """Run the table of one replica, with the messages that travel to the other one."""

    def __init__(self, identity):
        self.table = UpstreamTable(own_identity=identity, report_ms=REPORT_MS)
        self.identity = identity
        self.now_ms = 0
        self.checks = 0
        #: Whether a check found no report since the one before it.
        self.is_paused = False
        self.outbox = []

    def copy(self):
        """Return a copy; states of upstreams don't change and are shared."""
        twin = Replica(self.identity)
        twin.table._entries = {
            name: entry.replace() for name, entry in self.table._entries.items()
        }
        twin.table._by_address = dict(self.table._by_address)
        twin.now_ms, twin.checks = self.now_ms, self.checks
        twin.is_paused, twin.outbox = self.is_paused, list(self.outbox)
        return twin

    @property
    def entry(self):
        """Return the entry of the upstream, or None."""
        return self.table._entries.get(UPSTREAM_ID)

    @functools.cached_property
    def key(self):
        """Return a hashable value of the state, once it no longer changes."""
        entry = self.entry
        known = entry and (
            entry.state,
            entry.is_departing,
            entry.is_restarted,
            self.now_ms - entry.received_ms,
        )
        return (known, self.checks, self.is_paused, tuple(self.outbox))

    def has_heard(self, born_ms):
        """Return whether a process reported since the last check."""
        entry = self.entry
        known = entry is not None and entry.state.born_ms == born_ms
        return known and entry.received_ms == self.now_ms

    def report(self, reported):
        """Handle a report, as the hub does."""
        changed = self.table.apply_state(reported, self.now_ms)
        self.outbox += changed or self.table.pop_heartbeats()
        self.table.pop_heartbeats()

    def depart(self, born_ms):
        """Handle a departure, as the hub does."""
        verdict = self.table.judge_departure(UPSTREAM_ID, born_ms)
        if verdict == ACCEPTED:
            departed = self.table.departed_state(UPSTREAM_ID, None)
            self.outbox += self.table.apply_state(departed, self.now_ms)
        elif verdict == DEFERRED:
            self.table.defer_departure(UPSTREAM_ID)

    def receive(self, message, sender):
        """Handle a message of the other replica."""
        if isinstance(message, UpstreamState):
            self.table.apply_state(message, self.now_ms)
        else:
            self.table.apply_heartbeat(message, sender, self.now_ms)

    def check(self, elapsed_ms):
        """Let time pass, and check for silent upstreams."""
        self.checks += 1
        self.now_ms += elapsed_ms
        others = [one for one in REPLICAS if one != self.identity]
        changed = self.table.expire(now_ms=self.now_ms, current=True, linked=others)
        self.outbox += [one for one in changed if one.status == GONE]


class World:
    """Hold both replicas, the present process, and departures on their way.

    At first, both replicas know that the first process drains, which reported to one.
    """

    def __init__(self):
        self.replicas = {identity: Replica(identity) for identity in REPLICAS}
        self.process = 1
        self.status = DRAINING
        #: Sequence of the last report, and the replicas that received one.
        self.sequence = 0
        self.reported = frozenset()
        #: Pairs of a replica and the start that the connection shows, or None.
        self.departures = frozenset()
        self.report(1)
        self.replicate(1)

    def key(self):
        """Return a hashable value of the state."""
        own = (self.process, self.status, self.sequence, self.reported)
        replicas = tuple(replica.key for replica in self.replicas.values())
        return (own, self.departures, replicas)

    def violation(self):
        """Return what is wrong: a process that lives counts as gone."""
        for replica in self.replicas.values():
            entry = replica.entry
            if self.status == GONE or entry is None:
                continue
            if entry.state.born_ms == self.process and entry.state.status == GONE:
                return f"process {self.process} is gone at replica {replica.identity}"
        return ""

    def steps(self):
        """Yield each possible action with the world after it."""
        for action in self.actions():
            following = copy.copy(self)
            following.replicas = dict(self.replicas)
            name, *arguments = action
            getattr(following, name)(*arguments)
            yield action, following

    def actions(self):
        """Yield the actions that may be next, until the last process has ended."""
        if self.status == GONE and self.process == LAST_PROCESS:
            return
        for replica in self.replicas.values():
            yield from self.replica_actions(replica)
        for departure in self.departures:
            yield ("deliver", departure)
        if self.status == DRAINING and self.is_confirmed():
            yield from self.ends()
        if self.status == READY and self.reported:
            yield ("drain",)
        if self.status == GONE:
            yield ("start",)

    def replica_actions(self, replica):
        """Yield what may happen at a replica."""
        if self.may_report():
            yield ("report", replica.identity)
        if replica.outbox:
            yield ("replicate", replica.identity)
        if replica.checks < MAX_CHECKS and self.may_check(replica):
            yield ("check", replica.identity)

    def ends(self):
        """Yield ends with a departure over a new connection, or over a known one."""
        for identity in REPLICAS:
            yield ("end", identity, None)
        for identity in self.reported:
            yield ("end", identity, self.process)

    def may_report(self):
        """Return whether the second process runs and has reports left."""
        is_last = self.process == LAST_PROCESS and self.status != GONE
        return is_last and self.sequence < MAX_REPORTS

    def may_check(self, replica):
        """Return whether time may pass: a process reports, but a replica may pause."""
        if self.process != LAST_PROCESS:
            return self.status == GONE
        if replica.has_heard(self.process):
            return True
        return not replica.is_paused

    def is_confirmed(self):
        """Return whether both replicas know that the process drains."""
        entries = [replica.entry for replica in self.replicas.values()]
        return all(
            entry is not None
            and (entry.state.born_ms, entry.state.status) == (self.process, DRAINING)
            for entry in entries
        )

    def copied(self, identity):
        """Return a replica that other worlds don't share."""
        self.replicas[identity] = self.replicas[identity].copy()
        return self.replicas[identity]

    def report(self, identity):
        """Send a report, which arrives at once."""
        self.sequence += 1
        self.reported |= {identity}
        self.copied(identity).report(
            state(
                born_ms=self.process,
                sequence=self.sequence,
                status=self.status,
                home=identity,
            )
        )

    def replicate(self, identity):
        """Deliver a message of a replica to the other one."""
        message = self.copied(identity).outbox.pop(0)
        (other,) = (one for one in REPLICAS if one != identity)
        self.copied(other).receive(message, identity)

    def check(self, identity):
        """Let time pass at a replica: a long time, unless a report arrived before."""
        replica = self.copied(identity)
        replica.is_paused = not replica.has_heard(self.process)
        replica.check(SILENCE_MS if replica.is_paused else REPORT_MS)

    def drain(self):
        """Report `draining` from now on."""
        self.status = DRAINING

    def end(self, identity, born_ms):
        """Send a departure, and end."""
        self.status = GONE
        self.departures |= {(identity, born_ms)}

    def deliver(self, departure):
        """Deliver a departure, which may have been delayed."""
        self.departures -= {departure}
        identity, born_ms = departure
        self.copied(identity).depart(born_ms)

    def start(self):
        """Start the next process under the id."""
        self.process += 1
        self.status, self.sequence, self.reported = READY, 0, frozenset()


class DelayedDepartures(testtools.TestCase):
    """No order of messages makes a process that lives count as gone."""

    def test_no_violation(self):
        result = search(World(), max_states=MAX_STATES)
        self.assertEqual((None, ""), (result.trace, result.violation))
        expected = {"report", "replicate", "check", "deliver", "drain", "end", "start"}
        self.assertEqual(expected, result.actions)


def believe_all(table, upstream_id, _born_ms):
    """Take each departure to be of the last process known."""
    return ACCEPTED if table.get(upstream_id) else IGNORED


def believe_if_draining(table, upstream_id, _born_ms):
    """Take it to be of the last process known if that drains."""
    last = table.get(upstream_id)
    return ACCEPTED if last and last.status == DRAINING else IGNORED


def believe_without_start(table, upstream_id, born_ms):
    """Check the start if there is one, and believe all others."""
    last = table.get(upstream_id)
    if last is None or last.status != DRAINING or born_ms not in (None, last.born_ms):
        return IGNORED
    return ACCEPTED


def expire_at_once(table, *, now_ms, current, linked):
    """Take a silent upstream to be gone at the first check."""
    changed = EXPIRE(table, now_ms=now_ms, current=current, linked=linked)
    return changed + EXPIRE(table, now_ms=now_ms, current=current, linked=linked)


EXPIRE = UpstreamTable.expire


class OmittedRule(testscenarios.TestWithScenarios, testtools.TestCase):
    """The search finds a violation if a rule is left out."""

    scenarios = [
        ("ready upstreams", {"patch": {"judge_departure": believe_all}}),
        ("start", {"patch": {"judge_departure": believe_if_draining}}),
        ("no start", {"patch": {"judge_departure": believe_without_start}}),
        ("second check", {"patch": {"expire": expire_at_once}}),
    ]

    def test_violation(self):
        with mock.patch.multiple(UpstreamTable, **self.patch):
            result = search(World(), max_states=MAX_STATES)
        self.assertNotEqual("", result.violation)
        self.assertEqual(
            "deliver", next(a[0] for a in result.trace if a[0] == "deliver")
        )
