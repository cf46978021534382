"""knapweeddeal.membership: Failure detection and gossip between entries (SWIM)."""

from functools import singledispatchmethod

from knapweeddeal.actions import Address
from knapweeddeal.gossip import GossipQueue
from knapweeddeal.memberrecords import MemberRecords, digest, is_live
from knapweeddeal.messages.member import (
    ALIVE,
    DEAD,
    LEFT,
    MAX_COUNTER,
    SUSPECT,
    Note,
    Ping,
    PingAnswer,
    PingRequest,
    SyncAnswer,
    SyncRequest,
)
from knapweeddeal.record import Record

__all__ = [
    "MemberGone",
    "MembersChanged",
    "Membership",
    "NoteReceived",
    "SendDatagram",
    "VersionSeen",
]

#: Members that are requested to ping a member that didn't answer.
INDIRECT_PROBES = 3
#: Members that are pinged at once on a new version or note, on the leave of this
#: process, and while it joins.
FANOUT = 3
LEAVE_FANOUT = 8
JOIN_FANOUT = 8
#: Periods after the start with up to JOIN_FANOUT pings of seeds or dead members.
JOIN_PERIODS = 5
#: Records and notes piggybacked on one datagram.
PIGGYBACKED_RECORDS = 6
PIGGYBACKED_NOTES = 2
#: Unexpired notes that are remembered.
MAX_NOTES = 10_000
#: Records in an answer to a sync request, and mean records in a bucket.
SYNC_RECORDS = 12
BUCKET_RECORDS = 6
#: Buckets that one full sync requests.
MAX_BUCKETS = 2_000
#: Answers to one sync request.
MAX_SYNC_ANSWERS = 4
#: Buckets that a full sync requests per tick.
SYNC_REQUESTS_PER_TICK = 8
#: Periods between two pings of dead members or seeds, and between two sync requests.
RETRY_PERIODS = 3
SYNC_PERIODS = 5
#: Least periods between two full syncs; with more buckets, one period per bucket.
MIN_FULL_SYNC_PERIODS = 5
#: Periods with a sync request in each, after a sync answer that changed live members.
FREQUENT_SYNC_PERIODS = 3
#: Consecutive unanswered probes after which a member is suspected.
PROBE_ATTEMPTS = 2
#: Least periods between suspicion and death, for the member to refute it.
MIN_SUSPICION_PERIODS = 3
#: Fractions of a period: time to wait for a direct answer, and longest pause between
#: ticks. After a longer pause of this process, a missing answer raises no suspicion.
ANSWER_TIMEOUT_FRACTION = 0.3
PAUSE_FRACTION = 0.5


class SendDatagram(Record):
    """Request that the shell sends a message to an address."""

    __slots__ = ("address", "message")


class MembersChanged(Record):
    """Report that the set of live members changed."""

    __slots__ = ()


class MemberGone(Record):
    """Report that a member left as planned or died."""

    __slots__ = ("planned", "record")


class VersionSeen(Record):
    """Report a member's version: a higher one, or any while this one has none."""

    __slots__ = ("name", "version")


class NoteReceived(Record):
    """Report a note that is new to this member."""

    __slots__ = ("note",)


class Probe(Record):
    """Hold the pending probe."""

    __slots__ = ("answered", "indirect", "number", "record", "sent_ms", "attempts")


class RelayedPing(Record):
    """Hold a ping on behalf of another member."""

    __slots__ = ("address", "number", "until_ms")


class FullSync(Record):
    """Hold the progress of a full sync with another member."""

    __slots__ = ("address", "buckets", "done", "first_bucket")


class Membership:
    """Maintain the set of live entries; every command returns a list of actions.

    One member is probed each `probe_ms`; changes are piggybacked on the probes.
    The cost of a member grows with the number of changes, not of members.
    """

    def __init__(self, *, record, seeds, rng, probe_ms, now_ms):
        self.record = record
        self.records = MemberRecords()
        self._seeds = seeds
        self._rng = rng
        self._probe_ms = probe_ms
        self._version = 0
        self._gossip = GossipQueue()
        self._notes = GossipQueue()
        #: Expiry times of the notes received or sent, by note id.
        self._known_notes = {}
        self._gossip.add(record.name, record)
        self._last_number = 0
        self._probe_queue = []
        self._probe = None
        self._relayed_pings = {}
        self._period_ms = now_ms - probe_ms
        self._periods = 0
        self._ticked_ms = now_ms
        self._paused = False
        #: Pending full sync with another member, or None.
        self._full_sync = None
        self._frequent_sync_until = 0
        self._next_full_sync = 0
        #: Bit length of the number of members when this one last gossiped its record.
        self._announced_count_bits = 0

    # Queries

    def names_by_zone(self):
        """Return the names of the live members by zone, including this one."""
        zones = {}
        for record in [*self.records.live(), self.record]:
            if is_live(record):
                zones.setdefault(record.zone, []).append(record.name)
        return zones

    def address(self, name):
        """Return the address of a member, or None."""
        record = self.record if name == self.record.name else self.records.get(name)
        return _address(record) if record else None

    # Commands

    def tick(self, *, now_ms):
        """Return the actions that are due; call it several times in each period."""
        pause_ms = now_ms - self._ticked_ms
        self._ticked_ms = now_ms
        self._paused = self._paused or pause_ms > self._probe_ms * PAUSE_FRACTION
        actions = self._continue_full_sync()
        if now_ms - self._period_ms >= self._probe_ms:
            self._period_ms = now_ms
            actions += self._end_period(now_ms)
        elif self._probe and not self._probe.answered and not self._probe.indirect:
            actions += self._send_indirect_probes(now_ms)
        return actions

    def set_version(self, version):
        """Set the applied version if it is higher, and ping some members at once."""
        if version <= self._version:
            return []
        self._version = version
        return [self._ping(_address(record)) for record in self._random_members(FANOUT)]

    def broadcast_note(self, *, topic, body, life_ms, now_ms):
        """Gossip a small note to every member until its life ends."""
        note = Note(
            note_id=self._rng.getrandbits(64), topic=topic, life_ms=life_ms, body=body
        )
        self._known_notes[note.note_id] = now_ms + life_ms
        self._notes.add(note.note_id, note)
        return [self._ping(_address(record)) for record in self._random_members(FANOUT)]

    def leave(self, *, now_ms):
        """Mark this member as left as planned, and ping some members at once."""
        self._update_own(LEFT, self.record.counter + 1)
        targets = self._random_members(LEAVE_FANOUT)
        pings = [self._ping(_address(record), self.record) for record in targets]
        return [MembersChanged(), *pings]

    @singledispatchmethod
    def receive(self, message, source, *, now_ms):
        """Handle a message from an address."""
        return []

    @receive.register
    def _(self, message: Ping, source, *, now_ms):
        actions = self._apply_message(message, source, now_ms)
        known = self.records.get(message.name)
        is_outdated = known is not None and (
            known.incarnation != message.incarnation or known.state != ALIVE
        )
        answer = self._message(
            PingAnswer, message.number, known if is_outdated else None
        )
        return [*actions, SendDatagram(address=source, message=answer)]

    @receive.register
    def _(self, message: PingAnswer, source, *, now_ms):
        actions = self._apply_message(message, source, now_ms)
        probe = self._probe
        if probe is not None and probe.number == message.number:
            probe.answered = probe.answered or message.name == probe.record.name
        relayed = self._relayed_pings.pop(message.number, None)
        if relayed is not None:
            answer = message.replace(number=relayed.number, records=[], notes=[])
            actions.append(SendDatagram(address=relayed.address, message=answer))
        return actions

    @receive.register
    def _(self, message: PingRequest, source, *, now_ms):
        if self.records.name_at(source) != message.name:
            return []
        ping = self._ping(Address(host=message.host, port=message.port))
        self._relayed_pings[self._last_number] = RelayedPing(
            address=source,
            number=message.number,
            until_ms=now_ms + self._probe_ms,
        )
        return [ping]

    @receive.register
    def _(self, message: SyncRequest, source, *, now_ms):
        if message.bucket >= message.buckets:
            return []
        found = self.records.bucket(message.bucket, message.buckets, self.record)
        self._rng.shuffle(found)
        chunks = _chunks(found)[:MAX_SYNC_ANSWERS] or [[]]
        if message.digest == digest(found):
            chunks = [[]]
        elif message.buckets == 1:
            chunks = [[self.record, *self._random_members(SYNC_RECORDS - 1)]]
        return [
            SendDatagram(address=source, message=self._sync_answer(c)) for c in chunks
        ]

    @receive.register
    def _(self, message: SyncAnswer, source, *, now_ms):
        actions = []
        for record in message.records:
            should_gossip = record.name == message.name
            actions += self._apply_record(record, now_ms, should_gossip=should_gossip)
        if actions:
            self._frequent_sync_until = self._periods + FREQUENT_SYNC_PERIODS
        if (
            message.members > self._live_count()
            and self._periods >= self._next_full_sync
        ):
            self._start_full_sync(source, 1 + message.members // BUCKET_RECORDS)
        return actions

    # Records and notes

    def _apply_message(self, message, source, now_ms):
        actions = []
        for record in message.records:
            actions += self._apply_record(record, now_ms, should_gossip=True)
        for note in message.notes:
            actions += self._apply_note(note, now_ms)
        if message.version > self._version or not self._version:
            actions.append(VersionSeen(name=message.name, version=message.version))
        if self.records.get(message.name) is None:
            actions.append(self._sync_request(source, 0, 1))
        return actions

    def _apply_record(self, record, now_ms, *, should_gossip):
        if record.name != self.record.name:
            return self._store_record(record, now_ms, should_gossip=should_gossip)
        self._refute(record)
        return []

    def _store_record(self, record, now_ms, *, should_gossip=True):
        before = self.records.get(record.name)
        if not self.records.put(record, now_ms=now_ms):
            return []
        if should_gossip:
            self._gossip.add(record.name, record)
        if len(self.records).bit_length() > self._announced_count_bits:
            self._announced_count_bits = len(self.records).bit_length()
            self._gossip.add(self.record.name, self.record)
        was_live = before is not None and is_live(before)
        replaced = was_live and before.incarnation != record.incarnation
        if was_live == is_live(record) and not replaced:
            return []
        actions = [MembersChanged()]
        if was_live:
            planned = record.state == LEFT
            actions.append(MemberGone(record=before, planned=planned))
        return actions

    def _refute(self, record):
        if self.record.state == LEFT or record.counter == MAX_COUNTER:
            return
        if record.incarnation == self.record.incarnation:
            if record.state != ALIVE and record.counter >= self.record.counter:
                self._update_own(self.record.state, record.counter + 1)
        elif record.counter >= self.record.counter:
            self._update_own(self.record.state, record.counter + 1)

    def _update_own(self, state, counter):
        self.record = self.record.replace(state=state, counter=counter)
        self._gossip.add(self.record.name, self.record)

    def _apply_note(self, note, now_ms):
        if note.note_id in self._known_notes or not note.life_ms:
            return []
        if len(self._known_notes) >= MAX_NOTES:
            return []
        self._known_notes[note.note_id] = now_ms + note.life_ms
        self._notes.add(note.note_id, note)
        return [NoteReceived(note=note)]

    # Probes

    def _end_period(self, now_ms):
        self._periods += 1
        actions = self._evaluate_probe(now_ms)
        actions += self._declare_dead(now_ms)
        self._expire(now_ms)
        actions += self._start_probe(now_ms)
        if self._periods % RETRY_PERIODS == 0 or self._is_joining():
            actions += self._ping_unreachable()
        is_frequent = self._periods <= self._frequent_sync_until
        if is_frequent or self._periods % SYNC_PERIODS == 0:
            actions += self._sync_bucket()
        return actions

    def _evaluate_probe(self, now_ms):
        probe, self._probe = self._probe, None
        paused, self._paused = self._paused, False
        if probe is None or probe.answered or paused:
            return []
        current = self.records.get(probe.record.name)
        if current is None or current.state != ALIVE:
            return []
        if probe.attempts < PROBE_ATTEMPTS:
            return [self._send_probe(current, probe.attempts + 1, now_ms)]
        suspect = current.replace(state=SUSPECT)
        actions = self._store_record(suspect, now_ms)
        return [*actions, self._ping(_address(current), suspect)]

    def _declare_dead(self, now_ms):
        periods = max(MIN_SUSPICION_PERIODS, (len(self.records) + 1).bit_length())
        actions = []
        for record in self.records.suspected_before(now_ms - periods * self._probe_ms):
            actions += self._store_record(record.replace(state=DEAD), now_ms)
        return actions

    def _expire(self, now_ms):
        self.records.forget(now_ms=now_ms)
        self._relayed_pings = {
            number: ping
            for number, ping in self._relayed_pings.items()
            if ping.until_ms > now_ms
        }
        for note_id in [n for n, end in self._known_notes.items() if end <= now_ms]:
            del self._known_notes[note_id]

    def _start_probe(self, now_ms):
        record = None if self._probe else self._next_probe_target()
        return [self._send_probe(record, 1, now_ms)] if record else []

    def _send_probe(self, record, attempts, now_ms):
        ping = self._ping(_address(record), record if record.state != ALIVE else None)
        self._probe = Probe(
            record=record,
            number=ping.message.number,
            sent_ms=now_ms,
            answered=False,
            indirect=False,
            attempts=attempts,
        )
        return ping

    def _next_probe_target(self):
        while True:
            if not self._probe_queue:
                self._probe_queue = [record.name for record in self.records.live()]
                self._rng.shuffle(self._probe_queue)
            if not self._probe_queue:
                return None
            record = self.records.get(self._probe_queue.pop())
            if record is not None and is_live(record):
                return record

    def _send_indirect_probes(self, now_ms):
        probe = self._probe
        if now_ms - probe.sent_ms < self._probe_ms * ANSWER_TIMEOUT_FRACTION:
            return []
        probe.indirect = True
        request = PingRequest(
            name=self.record.name,
            number=probe.number,
            host=probe.record.host,
            port=probe.record.port,
        )
        return [
            SendDatagram(address=_address(record), message=request)
            for record in self._random_members(INDIRECT_PROBES)
            if record.name != probe.record.name
        ]

    def _is_joining(self):
        return self._periods <= JOIN_PERIODS or not self.records.live()

    def _ping_unreachable(self):
        unreachable = [
            (_address(record), record) for record in self.records.dead_records()
        ]
        for name, address in self._seeds.items():
            if self.records.get(name) is None:
                unreachable.append((address, None))
        count = JOIN_FANOUT if self._is_joining() else 1
        chosen = self._rng.sample(unreachable, min(count, len(unreachable)))
        return [self._ping(address, record) for address, record in chosen]

    # Sync

    def _sync_bucket(self):
        buckets = 1 + len(self.records) // BUCKET_RECORDS
        return [
            self._sync_request(_address(record), self._rng.randrange(buckets), buckets)
            for record in self._random_members(1)
        ]

    def _start_full_sync(self, source, buckets):
        buckets = min(buckets, MAX_BUCKETS)
        first_bucket = self._rng.randrange(buckets)
        self._full_sync = FullSync(
            address=source, first_bucket=first_bucket, done=0, buckets=buckets
        )
        self._next_full_sync = self._periods + max(MIN_FULL_SYNC_PERIODS, buckets)

    def _live_count(self):
        return len(self.records.live()) + 1

    def _continue_full_sync(self):
        full_sync = self._full_sync
        if full_sync is None:
            return []
        end = min(full_sync.done + SYNC_REQUESTS_PER_TICK, full_sync.buckets)
        numbers = range(
            full_sync.first_bucket + full_sync.done, full_sync.first_bucket + end
        )
        full_sync.done = end
        if end == full_sync.buckets:
            self._full_sync = None
        return [
            self._sync_request(
                full_sync.address, number % full_sync.buckets, full_sync.buckets
            )
            for number in numbers
        ]

    def _sync_request(self, address, bucket, buckets):
        records = self.records.bucket(bucket, buckets, self.record)
        request = SyncRequest(
            name=self.record.name,
            bucket=bucket,
            buckets=buckets,
            digest=digest(records),
        )
        return SendDatagram(address=address, message=request)

    def _sync_answer(self, records):
        return SyncAnswer(
            name=self.record.name, members=self._live_count(), records=records
        )

    # Datagrams

    def _ping(self, address, first_record=None):
        self._last_number += 1
        message = self._message(Ping, self._last_number, first_record)
        return SendDatagram(address=address, message=message)

    def _message(self, cls, number, first_record):
        members = len(self.records) + 1
        records = self._gossip.take(PIGGYBACKED_RECORDS, members=members)
        if first_record is not None and first_record not in records:
            records.insert(0, first_record)
        return cls(
            name=self.record.name,
            incarnation=self.record.incarnation,
            number=number,
            version=self._version,
            records=records,
            notes=self._piggybacked_notes(members),
        )

    def _piggybacked_notes(self, members):
        piggybacked = []
        for note in self._notes.take(PIGGYBACKED_NOTES, members=members):
            remaining_ms = self._known_notes.get(note.note_id, 0) - self._ticked_ms
            if remaining_ms > 0:
                piggybacked.append(note.replace(life_ms=remaining_ms))
        return piggybacked

    def _random_members(self, count):
        live = self.records.live()
        return self._rng.sample(live, min(count, len(live)))


def _address(record):
    return Address(host=record.host, port=record.port)


def _chunks(records):
    return [
        records[start : start + SYNC_RECORDS]
        for start in range(0, len(records), SYNC_RECORDS)
    ]
