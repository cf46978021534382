"""knapweeddeal.memberrecords: Records of members and their order of precedence."""

import zlib

from knapweeddeal.messages.member import ALIVE, DEAD, LEFT, SUSPECT
from knapweeddeal.record import Record

__all__ = ["Member", "MemberRecords", "is_live", "supersedes"]

#: Precedence of states under one counter.
STATE_PRECEDENCE = {ALIVE: 0, SUSPECT: 1, DEAD: 2, LEFT: 3}
LIVE = frozenset((ALIVE, SUSPECT))
#: Time for which the record of a dead or left member is kept.
TOMBSTONE_TTL_MS = 600_000


class Member(Record):
    """Hold a member's record, its time of change and the hash that picks its bucket."""

    __slots__ = ("changed_ms", "name_hash", "record")


class MemberRecords:
    """Hold the records of all members but this one, by name."""

    __slots__ = ("_by_address", "_members")

    def __init__(self):
        self._members = {}
        self._by_address = {}

    def __len__(self):
        """Return the number of members, live or not."""
        return len(self._members)

    # Commands

    def put(self, record, *, now_ms):
        """Store a record; return False if it is outdated, or not live and unknown."""
        current = self._members.get(record.name)
        if current is None:
            if not is_live(record):
                return False
            name_hash = zlib.crc32(record.name.encode())
            current = Member(record=record, changed_ms=now_ms, name_hash=name_hash)
            self._members[record.name] = current
        elif not supersedes(record, current.record):
            return False
        self._remove_address(current.record)
        if is_live(record):
            self._by_address[(record.host, record.port)] = record.name
        current.record = record
        current.changed_ms = now_ms
        return True

    def forget(self, *, now_ms):
        """Remove members that died or left over TOMBSTONE_TTL_MS ago."""
        for name, member in list(self._members.items()):
            if (
                not is_live(member.record)
                and now_ms - member.changed_ms > TOMBSTONE_TTL_MS
            ):
                del self._members[name]

    def _remove_address(self, record):
        address = (record.host, record.port)
        if self._by_address.get(address) == record.name:
            del self._by_address[address]

    # Queries

    def get(self, name):
        """Return a member's record, or None."""
        member = self._members.get(name)
        return member.record if member else None

    def name_at(self, address):
        """Return the name of the member at an address, or None."""
        return self._by_address.get((address.host, address.port))

    def live(self):
        """Return the records of the members that count as live."""
        return [m.record for m in self._members.values() if is_live(m.record)]

    def dead_records(self):
        """Return the records of the members that died without leaving."""
        return [m.record for m in self._members.values() if m.record.state == DEAD]

    def suspected_before(self, time_ms):
        """Return the records of the members suspected at or before a time."""
        return [
            m.record
            for m in self._members.values()
            if m.record.state == SUSPECT and m.changed_ms <= time_ms
        ]

    def bucket(self, bucket, buckets, own):
        """Return the records of a bucket; `own` is this process's own record."""
        found = [
            m.record for m in self._members.values() if m.name_hash % buckets == bucket
        ]
        if zlib.crc32(own.name.encode()) % buckets == bucket:
            found.append(own)
        return found


def is_live(record):
    """Return whether a record is that of a live or suspected member."""
    return record.state in LIVE


def supersedes(record, current):
    """Return whether a record replaces another one of the same member.

    A restarted process raises its counter above that of the previous process.
    """
    if record.incarnation == current.incarnation:
        new_precedence = (record.counter, STATE_PRECEDENCE[record.state])
        return new_precedence > (current.counter, STATE_PRECEDENCE[current.state])
    new_precedence = (record.counter, record.incarnation)
    return new_precedence > (current.counter, current.incarnation)


def digest(records):
    """Return a 64-bit hash of the live ones of some records, in any order."""
    result = 0
    for record in records:
        if is_live(record):
            text = f"{record.name} {record.incarnation} {record.counter}"
            first = zlib.crc32(text.encode())
            result ^= first << 32 | zlib.crc32(text.encode(), first)
    return result
