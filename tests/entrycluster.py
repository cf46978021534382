"""tests.entrycluster: Cores of entries and upstreams, connected in memory."""

import itertools
import random
from collections import Counter, deque
from functools import singledispatchmethod

from knapweeddeal.actions import (
    Address,
    Dial,
    ToCaller,
    ToControl,
    ToPeer,
    ToStream,
    ToUpstream,
    UpstreamKey,
)
from knapweeddeal.entrycore import Candidate, EntryCore, Identity
from knapweeddeal.events import Peer
from knapweeddeal.limits import Limits
from knapweeddeal.messages import decode, encode
from knapweeddeal.messages.caller import (
    KeepAlive,
    Open,
    Opened,
    Outcome,
    Renew,
    Request,
    TicketUpdate,
)
from knapweeddeal.messages.control import Configuration, ServiceEntry
from knapweeddeal.messages.peer import HandOver, RefusalAck, RefusalBatch
from knapweeddeal.messages.upstream import LEAVING, READY, Announce, UpstreamPush, Work
from knapweeddeal.ticket import TicketSealer
from knapweeddeal.upstream import RunJob, SendReply, UpstreamCore

SERVICE = "records"
CALLER = Address(host="127.0.0.9", port=9)
WALL_MS = 1_700_000_000_000


class Caller:
    """Hold the state of one caller: its flow, its ticket, the messages received."""

    def __init__(self, *, address):
        self.address = address
        self.flow_id = 0
        self.ticket = b""
        self.received_messages = []

    def request(self, number, **fields):
        """Return a request with the caller's ticket."""
        defaults = {
            "service": SERVICE,
            "flow_id": self.flow_id,
            "ticket": self.ticket,
            "number": number,
            "floor": 0,
            "attempt": 0,
            "idempotent": False,
            "deadline_ms": 5_000,
            "body": b"x",
            **fields,
        }
        return Request(**defaults)

    def on_flow(self, cls, **fields):
        """Return a message on the caller's flow with its ticket."""
        return cls(service=SERVICE, flow_id=self.flow_id, ticket=self.ticket, **fields)

    def receive(self, message):
        """Receive a message from an entry."""
        self.received_messages.append(message)
        if type(message) is Opened and not self.ticket:
            self.flow_id, self.ticket = message.flow_id, message.ticket
        if type(message) is TicketUpdate and message.flow_id == self.flow_id:
            self.ticket = message.ticket

    def outcomes(self, number):
        """Return the kinds of the outcomes received for a request."""
        return [
            message.kind if type(message) is Outcome else "answer"
            for message in self.received_messages
            if getattr(message, "number", None) == number
        ]


class EntryCluster:
    """Connect entries and upstreams; perform each action at once, or hold it."""

    def __init__(self, *, entries=("a", "b", "c"), upstreams=("u1",), **limits):
        self.now_ms = 1_000
        #: Jobs that upstreams started, by flow and number.
        self.run_counts = Counter()
        #: Non-idempotent `Work` that upstreams received, by flow and number.
        self.work_counts = Counter()
        self.hold_work = False
        self.hold_records = False
        self.hold_hand_overs = False
        self.hold_announces = False
        self.held_jobs = []
        self.held_batches = []
        self.held_hand_overs = []
        #: Pairs of names that can't reach each other.
        self.partitions = set()
        self.dead = set()
        #: Upstreams whose announcements are lost.
        self.unannounced = set()
        self.callers = {}
        self._links = set()
        self._queue = deque()
        self._limits = limits
        self._sequence = 0
        self._incarnations = itertools.count(100)
        self.counters = Counter()
        self.entries = {}
        self.upstreams = {}
        for name in upstreams:
            self.add_upstream(name)
        for name in entries:
            self.add_entry(name)

    # Set-up

    def add_entry(self, name):
        """Start an entry; a later one of the same name has another incarnation."""
        number = ord(name[0])
        self._links = {link for link in self._links if link[0] != name}
        core = EntryCore(
            identity=Identity(
                entry_id=name,
                incarnation=next(self._incarnations),
                zone="z",
                address=Address(host=f"127.0.1.{number}", port=7000),
            ),
            sealer=TicketSealer(keys={1: bytes(16)}, life_ms=86_400_000),
            limits=Limits(**self._limits),
            rng=random.Random(number),
            wall_clock_ms=lambda: WALL_MS + self.now_ms,
            count=lambda name, number=1: self.counters.update({name: number}),
        )
        self.entries[name] = core
        self.dead.discard(name)
        entry = ServiceEntry(name=SERVICE, host="127.0.0.1", port=1, draining=[])
        core.apply_configuration(Configuration(version=1, services=[entry]))
        self.announce_all()
        return core

    def add_upstream(self, name):
        """Start an upstream and announce it."""
        self.upstreams[name] = UpstreamCore(
            announce=Announce(
                upstream_id=name,
                incarnation=1,
                sequence=1,
                zone="z",
                service=SERVICE,
                host="127.0.2.1",
                port=1 + len(self.upstreams),
                health_port=0,
                slots=100,
                max_connections=1_000,
                state=READY,
                drain_ms=5_000,
            )
        )
        self.announce_all()

    def key(self, name):
        """Return the key of an upstream."""
        return UpstreamKey(service=SERVICE, upstream_id=name, incarnation=1)

    def announce_all(self):
        """Announce every upstream to every entry that it reaches."""
        if self.hold_announces:
            return
        self._sequence += 1
        for name, upstream in self.upstreams.items():
            upstream.announce = upstream.announce.replace(sequence=self._sequence)
            for entry_name, core in self.entries.items():
                if (
                    self.are_connected(name, entry_name)
                    and name not in self.unannounced
                ):
                    self._queue_actions(
                        entry_name,
                        core.apply_announce(upstream.announce, now_ms=self.now_ms),
                    )
        self.deliver()

    def leave(self, name):
        """Announce an upstream as leaving."""
        upstream = self.upstreams[name]
        upstream.announce = upstream.announce.replace(state=LEAVING)
        self.announce_all()

    # Faults

    def are_connected(self, one, other):
        """Return whether two processes can reach each other."""
        if one in self.dead or other in self.dead:
            return False
        return frozenset((one, other)) not in self.partitions

    def kill(self, name):
        """End a process without warning."""
        self.dead.add(name)
        if name in self.upstreams:
            for entry in self.entries:
                self.break_stream(entry, name)

    def break_stream(self, entry, upstream):
        """Break the stream between an entry and an upstream."""
        core = self.entries[entry]
        self._links.discard((entry, self.key(upstream)))
        self._queue_actions(
            entry, core.stream_down(self.key(upstream), now_ms=self.now_ms)
        )
        self.deliver()

    # Delivery

    def open(self, entry="a", address=CALLER):
        """Return a caller with an open flow that an entry owns."""
        caller = Caller(address=address)
        self.callers[address] = caller
        self.send(entry, caller, Open(service=SERVICE, nonce=1, deadline_ms=1_000))
        return caller

    def send(self, entry, caller, message):
        """Send a caller's datagram to an entry."""
        if entry in self.dead:
            return
        core = self.entries[entry]
        actions = core.from_caller(
            SERVICE, caller.address, encode(message), now_ms=self.now_ms
        )
        self._queue_actions(entry, actions)
        self.deliver()

    def keep_alive(self, entry, caller):
        """Send a caller's keep-alive to an entry."""
        self.send(entry, caller, caller.on_flow(KeepAlive))

    def renew(self, entry, caller):
        """Send a caller's request for a new ticket to an entry."""
        self.send(entry, caller, caller.on_flow(Renew))

    def stop(self, name):
        """Begin the planned stop of an entry."""
        candidates = [
            Candidate(name=other, address=core.identity.address)
            for other, core in self.entries.items()
            if other != name
        ]
        core = self.entries[name]
        self._queue_actions(name, core.begin_stop(candidates, now_ms=self.now_ms))
        self.deliver()

    def advance(self, ms, *, step_ms=50):
        """Advance the clock, with a tick of every live entry at each step."""
        for _ in range(ms // step_ms):
            self.now_ms += step_ms
            for name, core in list(self.entries.items()):
                if name not in self.dead:
                    self._queue_actions(name, core.tick(now_ms=self.now_ms))
            self.deliver()

    def release(self):
        """Deliver the jobs, the records and the hand-overs that were held."""
        self.hold_hand_overs = False
        self._queue.extend(self.held_hand_overs)
        self.held_hand_overs.clear()
        self.deliver()
        held, self.held_jobs = self.held_jobs, []
        for upstream, job in held:
            self._finish_job(upstream, job)
        held_batches, self.held_batches = self.held_batches, []
        for name, batch in held_batches:
            if name not in self.dead:
                self._acknowledge(name, batch)
        self.deliver()

    def _queue_actions(self, name, actions):
        self._queue.extend((name, action) for action in actions)

    def deliver(self):
        """Perform all queued actions."""
        while self._queue:
            name, action = self._queue.popleft()
            if name not in self.dead:
                self._perform(action, name)

    @singledispatchmethod
    def _perform(self, action, name):
        raise TypeError(action)

    @_perform.register
    def _(self, action: ToCaller, name):
        caller = self.callers.get(action.caller)
        if caller is not None:
            caller.receive(decode(encode(action.message)))

    @_perform.register
    def _(self, action: Dial, name):
        key = action.key
        core = self.entries[name]
        if (name, key) in self._links:
            return
        if self.are_connected(name, key.upstream_id):
            self._links.add((name, key))
            core.stream_up(key)
        else:
            self._queue_actions(name, core.stream_down(key, now_ms=self.now_ms))

    @_perform.register
    def _(self, action: ToUpstream, name):
        core, upstream_name = self.entries[name], action.key.upstream_id
        if not core.context.is_stream_up(action.key) or not self.are_connected(
            name, upstream_name
        ):
            actions = core.handle_unsent(action.message, action.key, now_ms=self.now_ms)
            self._queue_actions(name, actions)
            return
        upstream = self.upstreams[upstream_name]
        message = decode(encode(action.message))
        if type(message) is Work and not message.idempotent:
            self.work_counts[message.flow_id, message.number] += 1
        replies = upstream.receive(message, name, now_ms=self.now_ms)
        self._from_upstream(upstream_name, replies)

    def _from_upstream(self, upstream_name, replies):
        for reply in replies:
            self._perform_upstream_action(reply, upstream_name)

    @singledispatchmethod
    def _perform_upstream_action(self, reply, upstream_name):
        raise TypeError(reply)

    @_perform_upstream_action.register
    def _(self, reply: RunJob, upstream_name):
        self.run_counts[reply.job.key.flow_id, reply.job.key.number] += 1
        if self.hold_work:
            self.held_jobs.append((upstream_name, reply.job))
        else:
            self._finish_job(upstream_name, reply.job)

    @_perform_upstream_action.register
    def _(self, reply: SendReply, upstream_name):
        entry, message = reply.stream, decode(encode(reply.message))
        if type(message) is UpstreamPush and entry in self.dead:
            entry = next(n for n in self.entries if n not in self.dead)
        core = self.entries[entry]
        key = self.key(upstream_name)
        if self.are_connected(entry, upstream_name) and core.context.is_stream_up(key):
            actions = core.from_upstream(message, key, now_ms=self.now_ms)
            self._queue_actions(entry, actions)

    def _finish_job(self, upstream_name, job):
        if upstream_name in self.dead:
            return
        upstream = self.upstreams[upstream_name]
        body = b"done %d" % job.key.number
        replies = upstream.finish(job, body, now_ms=self.now_ms)
        self._from_upstream(upstream_name, replies)

    @_perform.register
    def _(self, action: ToPeer, name):
        if self.hold_hand_overs and type(action.message) is HandOver:
            self.held_hand_overs.append((name, action))
            return
        core = self.entries[name]
        for other, target in self.entries.items():
            is_target = target.identity.address == action.address
            if is_target and self.are_connected(name, other):
                peer = Peer(
                    name=name, incarnation=core.identity.incarnation, stream=name
                )
                message = decode(encode(action.message))
                self._queue_actions(
                    other, target.from_peer(message, peer, now_ms=self.now_ms)
                )
                return
        self._queue_actions(name, core.peer_down(action.address, now_ms=self.now_ms))
        self._queue_actions(
            name, core.handle_undeliverable(action.message, now_ms=self.now_ms)
        )

    @_perform.register
    def _(self, action: ToStream, name):
        if self.are_connected(name, action.stream):
            core = self.entries[action.stream]
            message = decode(encode(action.message))
            self._queue_actions(
                action.stream, core.from_peer(message, None, now_ms=self.now_ms)
            )

    @_perform.register
    def _(self, action: ToControl, name):
        if type(action.message) is not RefusalBatch:
            return
        if self.hold_records:
            self.held_batches.append((name, action.message.batch))
        else:
            self._acknowledge(name, action.message.batch)

    def _acknowledge(self, name, batch):
        ack = RefusalAck(batch=batch)
        core = self.entries[name]
        self._queue_actions(name, core.from_control(ack))
