"""knapweeddeal.ticket: Sealed tickets that let any entry route any packet of a flow."""

import hashlib
import hmac

import msgpack

from knapweeddeal.errors import BadTicketError
from knapweeddeal.record import Record

__all__ = ["Ticket", "TicketSealer"]

MAC_BYTES = 16
#: Maximum lead of the issuing VM's clock over this VM's clock.
MAX_SKEW_MS = 60_000


class Ticket(Record):
    """Identify a flow, its upstream and its owner."""

    __slots__ = (
        "service",
        "flow_id",
        "upstream_id",
        "upstream_incarnation",
        "upstream_host",
        "upstream_port",
        "owner_id",
        "owner_incarnation",
        "owner_host",
        "owner_port",
        "issued_ms",
    )


class TicketSealer:
    """Seal tickets with the first key; open tickets sealed with any key."""

    __slots__ = ("_keys", "_life_ms", "_sealing_id")

    def __init__(self, *, keys, life_ms):
        self._life_ms = life_ms
        self.set_keys(keys)

    def set_keys(self, keys):
        """Set the keys by id; the first one seals."""
        self._keys = dict(keys)
        self._sealing_id = next(iter(self._keys))

    def seal(self, ticket):
        """Return the authenticated bytes that callers send with each packet."""
        body = msgpack.packb([self._sealing_id, *ticket._values(ticket)])
        return self._mac(self._sealing_id, body) + body

    def open(self, data, *, now_ms):
        """Return the ticket sealed in `data`; raise BadTicketError if it is invalid."""
        mac, body = data[:MAC_BYTES], data[MAC_BYTES:]
        try:
            key_id, *values = msgpack.unpackb(body)
            known = key_id in self._keys
        except (ValueError, TypeError, RecursionError, msgpack.UnpackException):
            raise BadTicketError("ticket can't be decoded") from None
        if not known:
            raise BadTicketError(
                "ticket is sealed with an unknown key", field="key_id", value=key_id
            )
        if not hmac.compare_digest(mac, self._mac(key_id, body)):
            raise BadTicketError("ticket doesn't match its message authentication code")
        ticket = Ticket(**dict(zip(Ticket.__slots__, values, strict=True)))
        if not -MAX_SKEW_MS <= now_ms - ticket.issued_ms < self._life_ms:
            raise BadTicketError(
                "ticket expired or was issued in the future",
                field="issued_ms",
                value=ticket.issued_ms,
            )
        return ticket

    def _mac(self, key_id, body):
        key = self._keys[key_id]
        return hashlib.blake2b(body, key=key, digest_size=MAC_BYTES).digest()
