"""knapweeddeal.upstream: The reference side of an upstream: announce, serve, push."""

from collections import deque
from functools import singledispatchmethod

import curio
from curio import socket

from knapweeddeal.errors import KnapweeddealError
from knapweeddeal.messages import encode
from knapweeddeal.messages.upstream import (
    LEAVING,
    FlowAccepted,
    FlowClose,
    FlowOpen,
    FlowShed,
    FlowTouch,
    Heartbeat,
    StreamHello,
    StreamWelcome,
    UpstreamPush,
    Work,
    WorkAnswer,
    WorkCancel,
    WorkCancelled,
    WorkShed,
)
from knapweeddeal.outbox import Outbox
from knapweeddeal.record import Record
from knapweeddeal.stream import serve
from knapweeddeal.tasks import run_until_first

__all__ = ["UpstreamCore", "UpstreamServer", "WorkKey"]

ANNOUNCE_MS = 300
#: Requests that may wait for a slot, for each slot.
MAX_QUEUED_PER_SLOT = 64


class WorkKey(Record):
    """Name one request."""

    __slots__ = ("flow_id", "owner_incarnation", "number")


class HeldFlow(Record):
    """Hold a flow: where its caller is, by which stream it last came, its pushes."""

    __slots__ = ("caller_host", "caller_port", "stream", "pushed")


class Job(Record):
    """Hold a request that waits or runs."""

    __slots__ = ("key", "work", "stream", "until_ms")


class Reply(Record):
    """Ask the shell to send a message on a stream."""

    __slots__ = ("stream", "message")


class Run(Record):
    """Ask the shell to run a job."""

    __slots__ = ("job",)


class UpstreamCore:
    """Decide for an upstream: take flows, queue work, stand by cancellations."""

    def __init__(self, *, announce):
        self.announce = announce
        self.flows = {}
        self._queue = deque()
        self._seen = set()
        self._cancelled = set()
        self.running = 0

    @property
    def outstanding(self):
        """Return how many requests wait or run."""
        return self.running + len(self._queue)

    def _load(self):
        return {
            "outstanding": self.outstanding,
            "connections": len(self.flows),
        }

    @singledispatchmethod
    def receive(self, message, stream, *, now_ms):
        """Decide on a message that came on a stream; return replies and runs."""
        return []

    @receive.register
    def _(self, message: FlowOpen, stream, *, now_ms):
        if message.flow_id not in self.flows:
            reason = self._reason_to_shed()
            if reason:
                shed = FlowShed(flow_id=message.flow_id, reason=reason, **self._load())
                return [Reply(stream=stream, message=shed)]
        self._touch(message, stream)
        accepted = FlowAccepted(flow_id=message.flow_id, **self._load())
        return [Reply(stream=stream, message=accepted)]

    @receive.register
    def _(self, message: FlowTouch, stream, *, now_ms):
        self._touch(message, stream)
        return []

    @receive.register
    def _(self, message: FlowClose, stream, *, now_ms):
        self.flows.pop(message.flow_id, None)
        return []

    @receive.register
    def _(self, message: Work, stream, *, now_ms):
        key = _work_key(message)
        if key in self._cancelled:
            return [self._shed(message, stream, "cancelled")]
        if key in self._seen:
            return []
        if self.outstanding >= self.announce.slots * (1 + MAX_QUEUED_PER_SLOT):
            self._cancelled.add(key)
            return [self._shed(message, stream, "overloaded")]
        self._seen.add(key)
        self._touch(message, stream)
        until_ms = now_ms + message.deadline_ms
        self._queue.append(Job(key=key, work=message, stream=stream, until_ms=until_ms))
        return self._start(now_ms)

    @receive.register
    def _(self, message: WorkCancel, stream, *, now_ms):
        key = _work_key(message)
        waiting = [job for job in self._queue if job.key == key]
        for job in waiting:
            self._queue.remove(job)
        stands = bool(waiting) or key not in self._seen
        if stands:
            self._cancelled.add(key)
        answer = WorkCancelled(
            flow_id=key.flow_id,
            owner_incarnation=key.owner_incarnation,
            number=key.number,
            stands=stands,
        )
        return [Reply(stream=stream, message=answer)]

    def finish(self, job, body, *, now_ms):
        """Answer a job and start what waits for its slot."""
        self.running -= 1
        answer = WorkAnswer(
            flow_id=job.key.flow_id,
            owner_incarnation=job.key.owner_incarnation,
            number=job.key.number,
            body=body,
            **self._load(),
        )
        return [Reply(stream=job.stream, message=answer), *self._start(now_ms)]

    def push(self, flow_id, body):
        """Return the push of a body on a flow, or nothing if the flow is gone."""
        flow = self.flows.get(flow_id)
        if flow is None:
            return []
        flow.pushed += 1
        push = UpstreamPush(
            flow_id=flow_id,
            sequence=flow.pushed,
            caller_host=flow.caller_host,
            caller_port=flow.caller_port,
            body=body,
        )
        return [Reply(stream=flow.stream, message=push)]

    def _start(self, now_ms):
        actions = []
        while self._queue and self.running < self.announce.slots:
            job = self._queue.popleft()
            if job.until_ms <= now_ms:
                self._cancelled.add(job.key)
                actions.append(self._shed(job.work, job.stream, "deadline"))
                continue
            self.running += 1
            actions.append(Run(job=job))
        return actions

    def _shed(self, work, stream, reason):
        shed = WorkShed(
            flow_id=work.flow_id,
            owner_incarnation=work.owner_incarnation,
            number=work.number,
            reason=reason,
            **self._load(),
        )
        return Reply(stream=stream, message=shed)

    def _touch(self, message, stream):
        flow = self.flows.get(message.flow_id)
        if flow is None:
            self.flows[message.flow_id] = HeldFlow(
                caller_host=message.caller_host,
                caller_port=message.caller_port,
                stream=stream,
                pushed=0,
            )
            return
        flow.caller_host = message.caller_host
        flow.caller_port = message.caller_port
        flow.stream = stream

    def _reason_to_shed(self):
        if self.announce.state == LEAVING:
            return "leaving"
        if len(self.flows) >= self.announce.max_connections:
            return "full"
        return ""


class UpstreamServer:
    """Run an upstream: announcements out, streams in, work by `application`."""

    def __init__(self, *, announce, announce_to, application, clock_ms):
        self.core = UpstreamCore(announce=announce)
        self._announce_to = announce_to
        self._application = application
        self._clock_ms = clock_ms
        self._outboxes = {}
        self._tasks = curio.TaskGroup(wait=None)
        self._sequence = 0

    async def run(self):
        """Serve until cancelled."""
        announce = self.core.announce
        async with self._tasks as tasks:
            await tasks.spawn(serve, (announce.host, announce.port), self._take)
            await self._announce_for_ever()

    async def push(self, flow_id, body):
        """Push a body to a flow's caller."""
        await self._perform_all(self.core.push(flow_id, body))

    async def _announce_for_ever(self):
        async with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as port:
            while True:
                self._sequence += 1
                announce = self.core.announce.replace(sequence=self._sequence)
                await port.sendto(encode(announce), self._announce_to)
                await curio.sleep(ANNOUNCE_MS / 1000)

    async def _take(self, stream):
        outbox = Outbox()
        try:
            if not await self._greet(stream):
                return
            self._outboxes[id(outbox)] = outbox
            await run_until_first(
                self._receive(stream, id(outbox)),
                outbox.drain_to(stream),
            )
        except KnapweeddealError:
            return
        finally:
            self._outboxes.pop(id(outbox), None)

    async def _greet(self, stream):
        announce = self.core.announce
        hello = await stream.receive()
        await stream.send(
            StreamWelcome(
                service=announce.service,
                upstream_id=announce.upstream_id,
                upstream_incarnation=announce.incarnation,
            )
        )
        return type(hello) is StreamHello and (
            hello.service == announce.service
            and hello.upstream_id == announce.upstream_id
            and hello.upstream_incarnation == announce.incarnation
        )

    async def _receive(self, stream, key):
        while True:
            message = await stream.receive()
            if type(message) is Heartbeat:
                await self._outboxes[key].offer(message)
                continue
            actions = self.core.receive(message, key, now_ms=self._clock_ms())
            await self._perform_all(actions)

    async def _perform_all(self, actions):
        for action in actions:
            if type(action) is Run:
                await self._tasks.spawn(self._run_job, action.job)
                continue
            outbox = self._outboxes.get(action.stream)
            if outbox is None and type(action.message) is UpstreamPush:
                outbox = next(iter(self._outboxes.values()), None)
            if outbox is not None:
                await outbox.offer(action.message)

    async def _run_job(self, job):
        body = await self._application(job.work)
        await self._perform_all(self.core.finish(job, body, now_ms=self._clock_ms()))


def _work_key(message):
    return WorkKey(
        flow_id=message.flow_id,
        owner_incarnation=message.owner_incarnation,
        number=message.number,
    )
