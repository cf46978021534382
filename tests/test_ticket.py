"""tests.test_ticket: Tests of sealing and opening tickets."""

import testscenarios
import testtools

from knapweeddeal.errors import BadTicketError
from knapweeddeal.ticket import Ticket, TicketSealer

LIFE_MS = 1_000
ISSUED_MS = 10_000_000
OLD_KEY, NEW_KEY, OTHER_KEY = bytes(16), bytes(range(16)), b"x" * 16
TICKET = Ticket(
    service="a",
    flow_id=1,
    upstream_id="u",
    upstream_incarnation=2,
    upstream_host="127.0.0.1",
    upstream_port=3,
    owner_id="e",
    owner_incarnation=4,
    owner_host="127.0.0.1",
    owner_port=5,
    issued_ms=ISSUED_MS,
)


def sealer(**keys):
    """Return a sealer; the keyword `k1` sets the key with id 1."""
    by_id = {int(name[1:]): key for name, key in keys.items()}
    return TicketSealer(keys=by_id, life_ms=LIFE_MS)


class KeyRotation(testtools.TestCase):
    """A ticket opens as long as the sealer has its key."""

    def test_both_keys_open(self):
        sealed = sealer(k1=OLD_KEY).seal(TICKET)
        both = sealer(k2=NEW_KEY, k1=OLD_KEY)
        self.assertEqual(TICKET, both.open(sealed, now_ms=ISSUED_MS))
        self.assertEqual(TICKET, both.open(both.seal(TICKET), now_ms=ISSUED_MS))


class Invalid(testscenarios.TestWithScenarios, testtools.TestCase):
    """Opening invalid, forged or expired bytes raises BadTicketError."""

    sealed = sealer(k1=OLD_KEY).seal(TICKET)
    scenarios = [
        ("empty", {"data": b""}),
        ("garbage", {"data": b"\xc1" * 100}),
        ("truncated", {"data": sealed[:-1]}),
        ("forged mac", {"data": bytes(16) + sealed[16:]}),
        ("forged body", {"data": sealed[:-2] + b"\x00" + sealed[-1:]}),
        ("other key", {"data": sealer(k1=OTHER_KEY).seal(TICKET)}),
        ("unknown key id", {"data": sealer(k9=OLD_KEY).seal(TICKET)}),
        ("expired", {"data": sealed, "now_ms": ISSUED_MS + LIFE_MS}),
        ("issued in the future", {"data": sealed, "now_ms": ISSUED_MS - 100_000}),
    ]
    now_ms = ISSUED_MS

    def test_raises(self):
        opener = sealer(k1=OLD_KEY)
        self.assertRaises(BadTicketError, opener.open, self.data, now_ms=self.now_ms)
