"""tests.test_consensussearch: Search of the states that small runs of the log reach."""

from unittest import mock

import testscenarios
import testtools

from knapweeddeal import leadership
from knapweeddeal.consensus import Node
from knapweeddeal.leadership import Leadership
from knapweeddeal.messages.control import VoteRequest
from tests.consensussearch import Disk, World, led, parted
from tests.statesearch import search

MAX_STATES = 60_000

#: Complete searches: name, start, budgets.
STARTS = [
    (
        "first election, a write and a crash",
        World,
        {"elections": 1, "writes": 1, "crashes": 1},
    ),
    ("a write and another leader", led, {"elections": 1, "writes": 1}),
    ("a read and another leader", led, {"elections": 1, "reads_left": 1}),
    ("another leader and a crash", led, {"elections": 1, "crashes": 1}),
    ("records of two terms", parted, {"elections": 3}),
]


class ForgetsVote(Disk):
    """Lose term and vote in a crash."""

    def persist(self, ready):
        """Store all but the state."""
        state = self.state
        super().persist(ready)
        self.state = state


class ForgetsRecords(Disk):
    """Lose records in a crash that were said to be synced, but not the first two."""

    def persist(self, ready):
        """Store the state, and records up to index 2."""
        super().persist(ready)
        self.records = [record for record in self.records if record.index <= 2]


class VotesTwice(Node):
    """Vote for each candidate of a term."""

    __slots__ = ()

    def receive(self, sender, message, now_ms):
        """Forget the vote of the term before a request for another one."""
        if type(message) is VoteRequest:
            self.voted_for, self.leader = 0, 0
        super().receive(sender, message, now_ms)


class IgnoresPosition(Node):
    """Vote for candidates whose log lacks records."""

    __slots__ = ()

    def receive(self, sender, message, now_ms):
        """Handle each request as one of a candidate with a long log."""
        if type(message) is VoteRequest:
            message = message.replace(last_term=99)
        super().receive(sender, message, now_ms)


class AnyQuorum(Node):
    """Take a third of the members for a majority."""

    __slots__ = ()

    def is_quorum(self, identities):
        """Return whether a third of the members is included."""
        return len(identities & self.members) * 3 >= len(self.members)


#: Ends of a chain can't reach each other.
CHAIN = ({1, 2}, {2, 3})
STAR = ({1, 2}, {1, 3})


class CompleteSearch(testscenarios.TestWithScenarios, testtools.TestCase):
    """No order of messages, crashes and elections breaks a rule of the log.

    Nodes commit the same records, a term has one leader, and no read is stale.
    """

    scenarios = [
        (name, {"start": start, "budgets": budgets}) for name, start, budgets in STARTS
    ]

    def test_no_violation(self):
        result = search(self.start(**self.budgets), max_states=MAX_STATES)
        self.assertEqual((None, ""), (result.trace, result.violation))


class OmittedRule(testscenarios.TestWithScenarios, testtools.TestCase):
    """The search finds the violation if a rule is left out."""

    scenarios = [
        (name, {"start": start, "options": options, "violation": violation})
        for name, start, options, violation in (
            (
                "one vote in a term",
                World,
                {"elections": 2, "pairs": STAR, "node_type": VotesTwice},
                "two leaders",
            ),
            (
                "vote synced",
                World,
                {
                    "elections": 2,
                    "crashes": 1,
                    "pairs": STAR,
                    "disk_type": ForgetsVote,
                },
                "two leaders",
            ),
            (
                "majority",
                World,
                {"elections": 2, "node_type": AnyQuorum},
                "two leaders",
            ),
            (
                "records synced",
                led,
                {
                    "elections": 1,
                    "writes": 1,
                    "crashes": 1,
                    "pairs": CHAIN,
                    "kinds": {"disk_type": ForgetsRecords},
                },
                "committed",
            ),
            (
                "log of the candidate",
                led,
                {
                    "elections": 1,
                    "writes": 1,
                    "pairs": CHAIN,
                    "kinds": {"node_type": IgnoresPosition},
                },
                "committed",
            ),
        )
    ]

    def test_violation(self):
        result = search(self.start(**self.options), max_states=MAX_STATES)
        self.assertIn(self.violation, result.violation)


class OmittedReadRule(testscenarios.TestWithScenarios, testtools.TestCase):
    """The search finds a stale read if a rule of reads is left out."""

    scenarios = [
        (
            "round of a quorum",
            {
                "name": "_identities_answered",
                "rule": lambda leadership, _round: leadership._node.members,
                "options": {"elections": 1, "reads_left": 1},
            },
        ),
        (
            "committed record of the term",
            {
                "name": "is_term_committed",
                "rule": lambda _leadership: True,
                "options": {
                    "elections": 1,
                    "writes": 1,
                    "reads_left": 1,
                    "pairs": CHAIN,
                },
            },
        ),
    ]

    def test_violation(self):
        with mock.patch.object(Leadership, self.name, self.rule):
            result = search(led(**self.options), max_states=MAX_STATES)
        self.assertIn("stale", result.violation)


def commit_any_term(leadership):
    """Commit up to the last index that a majority synced, whatever its term."""
    node = leadership._node
    matches = sorted(map(leadership._match_index_of, node.members), reverse=True)
    index = matches[len(matches) // 2]
    if index > node.commit_index:
        node.commit_to(index)
        leadership.broadcast()


class OmittedTermRule(testtools.TestCase):
    """The search finds a lost record if a leader commits one of an earlier term."""

    def test_violation(self):
        rule = mock.patch.object(Leadership, "advance_commit", commit_any_term)
        # One record in each message, so that one of an earlier term is synced alone.
        one_record = mock.patch.object(leadership, "MAX_APPEND_BYTES", 1)
        with rule, one_record:
            result = search(parted(elections=4), max_states=MAX_STATES)
        self.assertIn("committed", result.violation)
