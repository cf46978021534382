"""knapweeddeal.consensuslog: The replicated log in memory, and its memberships."""

import bisect

from knapweeddeal.messages.base import decode, encode
from knapweeddeal.messages.control import LogRecord
from knapweeddeal.messages.replication import MembershipRecord

__all__ = [
    "ConsensusLog",
    "is_command",
    "pack_command",
    "pack_noop",
    "pack_membership",
    "unpack_command",
    "unpack_membership",
]

#: First byte of a record: whom it is for.
COMMAND = b"\0"
MEMBERSHIP = b"\1"
NOOP = b"\2"


def pack_command(data):
    """Return record bytes that carry an embedder's command."""
    return COMMAND + data


def pack_membership(record):
    """Return record bytes that put a membership in force."""
    return MEMBERSHIP + encode(record)


def pack_noop():
    """Return record bytes that only mark the start of a term."""
    return NOOP


def is_command(record):
    """Tell whether a record carries an embedder's command."""
    return record.command[:1] == COMMAND


def unpack_command(record):
    """Return the embedder's command in a record."""
    return record.command[1:]


def unpack_membership(record):
    """Return the membership in a record, or None."""
    if record.command[:1] != MEMBERSHIP:
        return None
    message = decode(record.command[1:])
    return message if isinstance(message, MembershipRecord) else None


class ConsensusLog:
    """Hold the records after a base index, and the membership at each index.

    The base may lie before the latest snapshot, so that followers that lag a little
    need no snapshot.
    """

    __slots__ = ("_memberships", "_records", "base_index", "base_term")

    def __init__(self, *, base_index=0, base_term=0, replicas=(), records=()):
        self.base_index = base_index
        self.base_term = base_term
        self._records = []
        self._memberships = [(base_index, tuple(replicas))]
        for record in records:
            self.append(record)

    @property
    def last_index(self):
        """Return the index of the last record."""
        return self.base_index + len(self._records)

    @property
    def last_term(self):
        """Return the term of the last record."""
        return self._records[-1].term if self._records else self.base_term

    @property
    def replicas(self):
        """Return the latest membership, committed or not."""
        return self._memberships[-1][1]

    @property
    def membership_index(self):
        """Return the index that put the latest membership in force."""
        return self._memberships[-1][0]

    def replicas_at(self, index):
        """Return the membership that was in force at an index."""
        place = bisect.bisect_right(self._memberships, index, key=lambda pair: pair[0])
        return self._memberships[max(place - 1, 0)][1]

    def term_at(self, index):
        """Return the term of an index, or None if the log doesn't hold it."""
        if index == self.base_index:
            return self.base_term
        record = self.get(index)
        return record.term if record else None

    def get(self, index):
        """Return the record at an index, or None."""
        place = index - self.base_index - 1
        return self._records[place] if 0 <= place < len(self._records) else None

    def slice(self, first, last, *, max_bytes=1 << 30):
        """Return records from first to last, at least one, up to a size."""
        chosen, size = [], 0
        for index in range(max(first, self.base_index + 1), last + 1):
            record = self.get(index)
            if record is None:
                break
            size += len(record.command)
            if chosen and size > max_bytes:
                break
            chosen.append(record)
        return chosen

    def first_index_of_term(self, index):
        """Return the first index of the run of one term that ends at an index."""
        term = self.term_at(index)
        while index > self.base_index + 1 and self.term_at(index - 1) == term:
            index -= 1
        return index

    def append(self, record):
        """Add the next record."""
        if record.index != self.last_index + 1:
            raise ValueError(f"record {record.index} after {self.last_index}")
        self._records.append(record)
        membership = unpack_membership(record)
        if membership is not None:
            self._memberships.append((record.index, tuple(membership.replicas)))

    def add(self, term, command):
        """Make and add the next record, and return it."""
        record = LogRecord(index=self.last_index + 1, term=term, command=command)
        self.append(record)
        return record

    def truncate_from(self, index):
        """Drop the records from an index on."""
        del self._records[index - self.base_index - 1 :]
        while self._memberships[-1][0] >= index and len(self._memberships) > 1:
            self._memberships.pop()

    def compact_to(self, index):
        """Drop the records up to an index, which becomes the base."""
        if index <= self.base_index:
            return
        term = self.term_at(index)
        replicas = self.replicas_at(index)
        del self._records[: index - self.base_index]
        self.base_index, self.base_term = index, term
        later = [pair for pair in self._memberships if pair[0] > index]
        self._memberships = [(index, replicas), *later]

    def reset(self, snapshot):
        """Start again after a snapshot; keep the records that go on from it."""
        matches = self.term_at(snapshot.last_index) == snapshot.last_term
        if matches:
            self.compact_to(snapshot.last_index)
            return
        self._records = []
        self.base_index = snapshot.last_index
        self.base_term = snapshot.last_term
        self._memberships = [(snapshot.last_index, tuple(snapshot.replicas))]
