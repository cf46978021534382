"""knapweeddeal.upstreamechoes: The echoes that name upstreams in packets.

An echo has 32 bits and an upstream's id up to 64, so the ids of two upstreams may yield
the same echo. Each id therefore yields a sequence of echoes. The index in it is part of
an upstream's state and only increases, so that processes which learn of upstreams in
different orders end up with the same echoes.
"""

import struct

from knapweeddeal.record import Record

__all__ = [
    "EchoMove",
    "EchoTable",
    "echo_from_number",
    "id_number",
    "in_echo_order",
    "log_echo_move",
    "upstream_echo",
]

ECHO = struct.Struct("<I")
ECHO_BYTES = ECHO.size
ECHO_MASK = 2**32 - 1
#: Bytes of an index when it is hashed.
INDEX_BYTES = 2


def id_number(upstream_id):
    """Return the number from the hexadecimal digits at the end of an upstream's id."""
    return int(upstream_id.rpartition("-")[2], 16)


def echo_from_number(number):
    """Return the first echo of an upstream, from its number; never zero."""
    folded = (number ^ (number >> 32)) & ECHO_MASK
    return ECHO.pack(folded or 1)


def upstream_echo(upstream_id, index):
    """Return the echo at an index of the sequence of an id: 4 bytes, never zero.

    Earlier versions know the first one only. The others are hashes of the whole id, as
    ids that differ before the digits have the same number.
    """
    if not index:
        return echo_from_number(id_number(upstream_id))
    # Imported when two echoes collide, as a forwarder's start should be short.
    from hashlib import blake2b

    salt = index.to_bytes(INDEX_BYTES, "big")
    hashed = blake2b(upstream_id.encode(), digest_size=ECHO_BYTES, salt=salt).digest()
    return hashed if any(hashed) else ECHO.pack(1)


def in_echo_order(states):
    """Return states in the order in which to apply them: the highest index first.

    An upstream whose echo moved leaves the former one to another one of the states.
    """
    return sorted(states, key=_by_index, reverse=True)


def _by_index(state):
    return state.echo_index


class EchoMove(Record):
    """Describe that an upstream got its next echo, as another one holds the former."""

    __slots__ = ("echo", "holder_id", "index", "upstream_id")


class EchoTable:
    """Map each echo to the one upstream that holds it.

    Holders are objects with a `state`, an `UpstreamState`, and `keeps_echo`: whether
    flows with its echo may still be open.
    """

    __slots__ = ("_holders", "_moves")

    def __init__(self):
        self._holders = {}
        self._moves = []

    def get(self, echo):
        """Return the holder of an echo, or None."""
        return self._holders.get(echo)

    def claim(self, claimant, *, is_new=False):
        """Give an upstream the first echo from its index on that it may hold.

        Return the holders whose index rose. A new upstream has no flows and leaves each
        echo to its holder. Otherwise the upstream that started first holds it: this
        doesn't depend on the order in which a process learns of them.
        """
        moved = []
        while True:
            state = claimant.state
            echo = upstream_echo(state.upstream_id, state.echo_index)
            holder = self._holders.get(echo)
            if holder is None or holder.state.upstream_id == state.upstream_id:
                self._holders[echo] = claimant
                return moved
            if is_new or _rank(holder) < _rank(claimant):
                self._move(claimant, echo, holder)
                moved.append(claimant)
                continue
            self._holders[echo] = claimant
            self._move(holder, echo, claimant)
            return [*moved, holder, *self.claim(holder)]

    def _move(self, loser, echo, holder):
        state = loser.state
        loser.state = state.replace(echo_index=state.echo_index + 1)
        self._moves.append(
            EchoMove(
                upstream_id=state.upstream_id,
                index=loser.state.echo_index,
                echo=echo.hex(),
                holder_id=holder.state.upstream_id,
            )
        )

    def adopt_index(self, holder, index):
        """Adopt a higher index that another process found.

        Return the holders whose index rose.
        """
        if index <= holder.state.echo_index:
            return []
        self.release(holder.state)
        holder.state = holder.state.replace(echo_index=index)
        return [holder, *self.claim(holder)]

    def release(self, state):
        """Remove the claim of a state, unless another upstream holds its echo."""
        echo = upstream_echo(state.upstream_id, state.echo_index)
        holder = self._holders.get(echo)
        if holder is not None and holder.state.upstream_id == state.upstream_id:
            del self._holders[echo]

    def pop_moves(self):
        """Return and clear the `EchoMove` of each collision since the last call."""
        moves, self._moves = self._moves, []
        return moves


def _rank(holder):
    """Return the key by which upstreams precede others with the same echo.

    A hint may be of an upstream that ended long ago.
    """
    state = holder.state
    return (not holder.keeps_echo, state.hint, state.born_ms, state.upstream_id)


def log_echo_move(move, *, log, metrics):
    """Log and count that an upstream got its next echo."""
    metrics.count("echo_collisions")
    log.warning(
        "gave an upstream its next echo, as another one holds the former",
        upstream=move.upstream_id,
        echo_index=move.index,
        former=move.echo,
        holder=move.holder_id,
    )
