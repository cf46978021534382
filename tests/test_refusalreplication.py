"""tests.test_refusalreplication: Tests of the replication of refusal records."""

import itertools
from collections import Counter

import testtools

from knapweeddeal import refusals
from knapweeddeal.actions import Address, ToControl, ToPeer, ToStream
from knapweeddeal.events import Peer
from knapweeddeal.messages.peer import RefusalAck, RefusalBatch, RefusalRecord
from knapweeddeal.refusalreplication import RefusalReplication
from knapweeddeal.refusals import RESEND_MS

ZONE_PEER = Address(host="127.0.0.2", port=1)
PEER = Peer(name="e2", incarnation=1, stream=7)
NUMBERS = itertools.count(1)


def record():
    """Return a record with a unique id."""
    return RefusalRecord(
        record_id=next(NUMBERS),
        caller="127.0.0.9:1",
        service="a",
        flow_id=1,
        number=1,
        refused_ms=1,
        entry_id="e1",
        reason="shed",
    )


class OwnRefusals(testtools.TestCase):
    """A refusal is released once another process stores its record, not earlier.

    Released earlier, its record would be lost if this entry crashed.
    """

    def setUp(self):
        super().setUp()
        self.counters = Counter()

        def count(name, number=1):
            self.counters[name] += number

        self.replication = RefusalReplication(count=count)
        self.replication.set_zone_peers([ZONE_PEER])
        self.record = record()
        self.replication.queue.add(self.record, "refusal")

    def sent(self, now_ms):
        """Return class and batch number of each action at a time."""
        actions = self.replication.tick(now_ms=now_ms)
        return [(type(action), action.message.batch) for action in actions]

    def test_control_replica_stores_first(self):
        self.assertEqual([(ToControl, 1)], self.sent(0))
        self.assertEqual([], self.sent(RESEND_MS - 1))
        self.assertEqual(["refusal"], self.replication.handle_ack(1, by_control=True))
        self.assertEqual([], self.replication.unacknowledged())
        self.assertEqual([], self.sent(10 * RESEND_MS))

    def test_zone_peer_stores_if_control_does_not_answer(self):
        self.sent(0)
        self.assertEqual([(ToControl, 1), (ToPeer, 1)], self.sent(RESEND_MS))
        self.assertEqual(["refusal"], self.replication.handle_ack(1, by_control=False))
        self.assertEqual([self.record], self.replication.unacknowledged())
        self.assertEqual([(ToControl, 2)], self.sent(2 * RESEND_MS))
        self.assertEqual([], self.replication.handle_ack(2, by_control=True))
        self.assertEqual([], self.replication.unacknowledged())

    def test_second_acknowledgement_is_ignored(self):
        self.sent(0)
        self.sent(RESEND_MS)
        self.assertEqual(["refusal"], self.replication.handle_ack(1, by_control=True))
        self.assertEqual([], self.replication.handle_ack(1, by_control=False))
        self.assertEqual([], self.replication.unacknowledged())

    def test_not_released_without_zone_peers(self):
        self.replication.set_zone_peers([])
        for turn in range(5):
            self.assertEqual([(ToControl, 1)], self.sent(turn * RESEND_MS))
        self.assertEqual([self.record], self.replication.unacknowledged())


class PeerRefusals(testtools.TestCase):
    """An entry stores records of its peers and sends them to control replicas."""

    def test_stored_and_sent_to_control(self):
        counters = Counter()
        replication = RefusalReplication(count=counters.update)
        batch = RefusalBatch(batch=9, records=[record()])
        ack = ToStream(stream=PEER.stream, message=RefusalAck(batch=9))
        self.assertEqual([ack], replication.store(batch, PEER))
        self.assertEqual(batch.records, replication.unacknowledged())
        (sent,) = replication.tick(now_ms=0)
        self.assertEqual(batch.records, sent.message.records)
        self.assertEqual([], replication.handle_ack(sent.message.batch, by_control=1))
        self.assertEqual([], replication.unacknowledged())

    def test_not_acknowledged_if_full(self):
        counted = Counter()
        replication = RefusalReplication(count=lambda name: counted.update([name]))
        self.patch(refusals, "MAX_QUEUED_REFUSALS", 1)
        first, second = (RefusalBatch(batch=n, records=[record()]) for n in (1, 2))
        self.assertEqual(1, len(replication.store(first, PEER)))
        self.assertEqual([], replication.store(second, PEER))
        self.assertEqual({"refusals_not_held": 1}, counted)
