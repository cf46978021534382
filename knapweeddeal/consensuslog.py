"""knapweeddeal.consensuslog: The in-memory replicated log and its memberships."""

import bisect

from knapweeddeal.messages.base import decode, encode
from knapweeddeal.messages.control import LogRecord
from knapweeddeal.messages.replication import MembershipRecord

__all__ = [
    "ConsensusLog",
    "is_command",
    "is_optional_command",
    "pack_command",
    "pack_noop",
    "pack_membership",
    "pack_optional_command",
    "unpack_command",
    "unpack_membership",
]

#: First byte of a record's command: the type of the record.
COMMAND_TYPE = b"\0"
MEMBERSHIP_TYPE = b"\1"
NOOP_TYPE = b"\2"
#: A command that a replica of an earlier version, which doesn't know it, ignores.
OPTIONAL_COMMAND_TYPE = b"\3"


def pack_command(data):
    """Return the bytes of a record with an embedder's command."""
    return COMMAND_TYPE + data


def pack_optional_command(data):
    """Return the bytes of a record with a command that replicas may ignore."""
    return OPTIONAL_COMMAND_TYPE + data


def pack_membership(record):
    """Return the bytes of a record with a membership."""
    return MEMBERSHIP_TYPE + encode(record)


def pack_noop():
    """Return the bytes of the record that a new leader appends first."""
    return NOOP_TYPE


def is_command(record):
    """Return whether a record carries an embedder's command."""
    return record.command[:1] in (COMMAND_TYPE, OPTIONAL_COMMAND_TYPE)


def is_optional_command(record):
    """Return whether a record carries a command that replicas may ignore."""
    return record.command[:1] == OPTIONAL_COMMAND_TYPE


def unpack_command(record):
    """Return the embedder's command in a record."""
    return record.command[1:]


def unpack_membership(record):
    """Return the membership in a record, or None."""
    if record.command[:1] != MEMBERSHIP_TYPE:
        return None
    message = decode(record.command[1:])
    return message if isinstance(message, MembershipRecord) else None


class ConsensusLog:
    """Hold the records after a base index, and the membership at each index.

    The base may be lower than the index of the latest snapshot, so that followers
    that lag a little can catch up from records instead of a snapshot.
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
        """Return the index of the latest membership."""
        return self._memberships[-1][0]

    def replicas_at(self, index):
        """Return the membership in effect at an index."""
        position = bisect.bisect_right(
            self._memberships, index, key=lambda entry: entry[0]
        )
        return self._memberships[max(position - 1, 0)][1]

    def term_at(self, index):
        """Return the term of an index, or None if the log doesn't hold it."""
        if index == self.base_index:
            return self.base_term
        record = self.get(index)
        return record.term if record else None

    def get(self, index):
        """Return the record at an index, or None."""
        position = index - self.base_index - 1
        return self._records[position] if 0 <= position < len(self._records) else None

    def slice(self, first, last, *, max_bytes=1 << 30):
        """Return records from `first` to `last`, up to a size in bytes.

        The first record is returned even if it exceeds `max_bytes`.
        """
        records, size_bytes = [], 0
        for index in range(max(first, self.base_index + 1), last + 1):
            record = self.get(index)
            if record is None:
                break
            size_bytes += len(record.command)
            if records and size_bytes > max_bytes:
                break
            records.append(record)
        return records

    def first_index_of_term(self, index):
        """Return the first index that has the same term as a given index."""
        term = self.term_at(index)
        while index > self.base_index + 1 and self.term_at(index - 1) == term:
            index -= 1
        return index

    def append(self, record):
        """Append the next record."""
        if record.index != self.last_index + 1:
            raise ValueError(
                f"record {record.index} doesn't follow record {self.last_index}"
            )
        self._records.append(record)
        membership = unpack_membership(record)
        if membership is not None:
            self._memberships.append((record.index, tuple(membership.replicas)))

    def add(self, term, command):
        """Create the next record, append it and return it."""
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
        later = [entry for entry in self._memberships if entry[0] > index]
        self._memberships = [(index, replicas), *later]

    def reset(self, snapshot):
        """Reset to a snapshot; keep later records if the log holds its last one."""
        matches = self.term_at(snapshot.last_index) == snapshot.last_term
        if matches:
            self.compact_to(snapshot.last_index)
            return
        self._records = []
        self.base_index = snapshot.last_index
        self.base_term = snapshot.last_term
        self._memberships = [(snapshot.last_index, tuple(snapshot.replicas))]
