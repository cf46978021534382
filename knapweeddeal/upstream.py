"""knapweeddeal.upstream: Reference implementation of an upstream process."""

import contextlib
from collections import Counter, deque

import curio
from curio import socket

from knapweeddeal.dispatch import methoddispatch
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
from knapweeddeal.requesthistory import EndedHistories, FlowHistory
from knapweeddeal.stream import serve
from knapweeddeal.tasks import run_until_first

__all__ = ["UpstreamCore", "UpstreamServer", "WorkKey"]

ANNOUNCE_MS = 300
TICK_MS = 500
#: Time without a message after which a stream is closed.
STREAM_TIMEOUT_MS = 3_000
#: Time without a message after which a flow ends.
IDLE_MS = 600_000
#: Lifetime of tickets. Cancellations must stay in effect for as long.
TICKET_LIFE_MS = 86_400_000
#: Answers that are stored for entries that lost contact with the owner.
MAX_ANSWERS = 1_000
MAX_KEPT_ANSWER_BYTES = 8 * 1024 * 1024
#: Maximum number of queued requests for each slot.
MAX_QUEUED_PER_SLOT = 64


class WorkKey(Record):
    """Identify one request."""

    __slots__ = ("flow_id", "owner_incarnation", "number")


class FlowState(Record):
    """Hold the caller, latest stream, push count and request history of a flow."""

    __slots__ = ("caller_host", "caller_port", "stream", "pushed", "seen_ms", "history")


class Job(Record):
    """Hold a queued or running request and the streams that get its answer."""

    __slots__ = ("key", "work", "streams", "until_ms")

    __eq__ = object.__eq__
    __hash__ = object.__hash__


class SendReply(Record):
    """Instruct the server to send a message on a stream."""

    __slots__ = ("stream", "message")


class RunJob(Record):
    """Instruct the server to run a job."""

    __slots__ = ("job",)


class UpstreamCore:
    """Accept flows, queue requests and honor cancellations, without any I/O.

    A cancellation of a request that is running or ran recently is answered with the
    answer of the request. The owner may be lost, and the entry that cancels forwards
    the answer.
    """

    def __init__(self, *, announce, idle_ms=IDLE_MS, ticket_life_ms=TICKET_LIFE_MS):
        self.announce = announce
        self.flows = {}
        self.running = 0
        #: Event counters by name.
        self.counters = Counter()
        self._idle_ms = idle_ms
        self._ended_histories = EndedHistories(life_ms=ticket_life_ms)
        self._queue = deque()
        self._jobs = {}
        self._answers = {}
        self._answer_bytes = 0

    @property
    def outstanding(self):
        """Return the number of queued and running requests."""
        return self.running + len(self._queue)

    def _load(self):
        return {
            "outstanding": self.outstanding,
            "connections": len(self.flows),
        }

    @methoddispatch
    def receive(self, message, stream, *, now_ms):
        """Process a message from a stream; return replies to send and jobs to run."""
        self.counters["dropped_unexpected"] += 1
        return []

    @receive.register
    def _(self, message: FlowOpen, stream, *, now_ms):
        if message.flow_id not in self.flows:
            reason = self._reason_to_shed()
            if reason:
                shed = FlowShed(flow_id=message.flow_id, reason=reason, **self._load())
                return [SendReply(stream=stream, message=shed)]
        self._touch(message, stream, now_ms, opens=True)
        accepted = FlowAccepted(flow_id=message.flow_id, **self._load())
        return [SendReply(stream=stream, message=accepted)]

    @receive.register
    def _(self, message: FlowTouch, stream, *, now_ms):
        self._touch(message, stream, now_ms)
        return []

    @receive.register
    def _(self, message: FlowClose, stream, *, now_ms):
        flow = self.flows.pop(message.flow_id, None)
        if flow is not None:
            self._ended_histories.put(message.flow_id, flow.history, now_ms=now_ms)
        return []

    @receive.register
    def _(self, message: Work, stream, *, now_ms):
        key = _work_key(message)
        history = self._history_for(message, stream, now_ms)
        if history.is_cancelled(key.owner_incarnation, key.number):
            return [self._shed(message, stream, "cancelled")]
        if history.is_duplicate(key.owner_incarnation, key.number):
            replies = self._replies_if_known(key, stream)
            if replies is not None or not message.idempotent:
                return replies or []
        history.record_request(key.owner_incarnation, key.number)
        if self.outstanding >= self.announce.slots * (1 + MAX_QUEUED_PER_SLOT):
            self._record_cancellation(key, history, now_ms)
            return [self._shed(message, stream, "overloaded")]
        job = Job(
            key=key,
            work=message,
            streams=[stream],
            until_ms=now_ms + message.deadline_ms,
        )
        self._jobs[key] = job
        self._queue.append(job)
        return self._start_jobs(now_ms)

    @receive.register
    def _(self, message: WorkCancel, stream, *, now_ms):
        key = _work_key(message)
        job = self._jobs.get(key)
        if job is None or job not in self._queue:
            replies = self._replies_if_known(key, stream)
            if replies is not None:
                return replies
        stands = self._cancel(key, job, now_ms)
        answer = WorkCancelled(
            flow_id=key.flow_id,
            owner_incarnation=key.owner_incarnation,
            number=key.number,
            stands=stands,
        )
        return [SendReply(stream=stream, message=answer)]

    def _replies_if_known(self, key, stream):
        """Return the stored answer, [] if the job is pending, or None for neither."""
        stored_body = self._answers.get(key)
        if stored_body is not None:
            return [self._answer(key, stored_body, stream)]
        job = self._jobs.get(key)
        if job is None:
            return None
        if stream not in job.streams:
            job.streams.append(stream)
        return []

    def _cancel(self, key, job, now_ms):
        history = self._history(key.flow_id)
        if history is None:
            return False
        if job is None and history.is_cancelled(key.owner_incarnation, key.number):
            return True
        if job is None and history.may_have_seen(key.owner_incarnation, key.number):
            return False
        if not self._record_cancellation(key, history, now_ms):
            return False
        if job is not None:
            self._queue.remove(job)
            del self._jobs[key]
        return True

    def _record_cancellation(self, key, history, now_ms):
        """Record that a request must not run; return whether there was room."""
        if not history.has_cancellations() and self._ended_histories.is_full():
            self.counters["promises_without_room"] += 1
            return False
        done = history.record_cancellation(key.owner_incarnation, key.number)
        if key.flow_id not in self.flows:
            self._ended_histories.put(key.flow_id, history, now_ms=now_ms)
        return done

    def _history(self, flow_id):
        """Return the history of a flow; None if it may have been evicted."""
        flow = self.flows.get(flow_id)
        return flow.history if flow is not None else self._ended_histories.get(flow_id)

    def _history_for(self, work, stream, now_ms):
        """Return the history of a request's flow, without opening an ended flow."""
        if work.flow_id in self.flows:
            return self._touch(work, stream, now_ms).history
        history = self._ended_histories.get(work.flow_id)
        if history is None:
            history = FlowHistory(is_incomplete=True)
            self._ended_histories.put(work.flow_id, history, now_ms=now_ms)
        return history

    def finish(self, job, body, *, now_ms):
        """Return the answers of a finished job and the jobs that can start now."""
        self.running -= 1
        del self._jobs[job.key]
        self._store_answer(job.key, body)
        replies = [self._answer(job.key, body, stream) for stream in job.streams]
        return [*replies, *self._start_jobs(now_ms)]

    def _answer(self, key, body, stream):
        answer = WorkAnswer(
            flow_id=key.flow_id,
            owner_incarnation=key.owner_incarnation,
            number=key.number,
            body=body,
            **self._load(),
        )
        return SendReply(stream=stream, message=answer)

    def _store_answer(self, key, body):
        self._answers[key] = body
        self._answer_bytes += len(body)
        while (
            len(self._answers) > MAX_ANSWERS
            or self._answer_bytes > MAX_KEPT_ANSWER_BYTES
        ):
            oldest = next(iter(self._answers))
            self._answer_bytes -= len(self._answers.pop(oldest))

    def tick(self, *, now_ms):
        """End idle flows and drop expired histories."""
        self._ended_histories.expire(now_ms=now_ms)
        while self.flows:
            flow_id, flow = next(iter(self.flows.items()))
            if now_ms - flow.seen_ms < self._idle_ms:
                return
            self.counters["flows_expired"] += 1
            del self.flows[flow_id]
            self._ended_histories.put(flow_id, flow.history, now_ms=now_ms)

    def push(self, flow_id, body):
        """Return the push of a body on a flow, or no action if the flow has ended."""
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
        return [SendReply(stream=flow.stream, message=push)]

    def _start_jobs(self, now_ms):
        actions = []
        while self._queue and self.running < self.announce.slots:
            job = self._queue.popleft()
            if job.until_ms <= now_ms:
                actions += self._shed_expired(job, now_ms)
                continue
            self.running += 1
            actions.append(RunJob(job=job))
        return actions

    def _shed_expired(self, job, now_ms):
        del self._jobs[job.key]
        history = self._history(job.key.flow_id)
        if history is not None:
            self._record_cancellation(job.key, history, now_ms)
        return [self._shed(job.work, stream, "deadline") for stream in job.streams]

    def _shed(self, work, stream, reason):
        shed = WorkShed(
            flow_id=work.flow_id,
            owner_incarnation=work.owner_incarnation,
            number=work.number,
            reason=reason,
            **self._load(),
        )
        return SendReply(stream=stream, message=shed)

    def _touch(self, message, stream, now_ms, *, opens=False):
        flow = self.flows.pop(message.flow_id, None)
        if flow is None:
            history = self._ended_histories.pop(message.flow_id)
            if history is None:
                is_incomplete = not opens or self._ended_histories.may_have_evicted(
                    now_ms=now_ms
                )
                history = FlowHistory(is_incomplete=is_incomplete)
            flow = FlowState(
                caller_host="",
                caller_port=0,
                stream=stream,
                pushed=0,
                seen_ms=now_ms,
                history=history,
            )
        self.flows[message.flow_id] = flow
        flow.caller_host = message.caller_host
        flow.caller_port = message.caller_port
        flow.stream = stream
        flow.seen_ms = now_ms
        return flow

    def _reason_to_shed(self):
        if self.announce.state == LEAVING:
            return "leaving"
        if len(self.flows) >= self.announce.max_connections:
            return "full"
        return ""


class UpstreamStream(Record):
    """Hold the outbox of a stream and the task to cancel to close it."""

    __slots__ = ("outbox", "task")


class UpstreamServer:
    """Announce an upstream, serve its streams and run requests in `application`."""

    def __init__(self, *, announce, announce_to, application, clock_ms):
        self.core = UpstreamCore(announce=announce)
        self._announce_to = announce_to
        self._application = application
        self._clock_ms = clock_ms
        self._streams = {}
        self._tasks = curio.TaskGroup(wait=None)
        self._sequence = 0

    async def run(self):
        """Serve until cancelled."""
        announce = self.core.announce
        async with self._tasks as tasks:
            await tasks.spawn(serve, (announce.host, announce.port), self._serve_stream)
            await tasks.spawn(self._tick)
            await self._announce_periodically()

    async def push(self, flow_id, body):
        """Push a body to the caller of a flow; wait while the outbox is full."""
        for reply in self.core.push(flow_id, body):
            key = reply.stream
            if key not in self._streams:
                key = next(iter(self._streams), None)
            stream = self._streams.get(key)
            if stream is not None:
                await stream.outbox.offer_with_backpressure(reply.message)

    async def _announce_periodically(self):
        async with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            while True:
                self._sequence += 1
                announce = self.core.announce.replace(sequence=self._sequence)
                with contextlib.suppress(OSError):
                    await sender.sendto(encode(announce), self._announce_to)
                await curio.sleep(ANNOUNCE_MS / 1000)

    async def _tick(self):
        while True:
            await curio.sleep(TICK_MS / 1000)
            self.core.tick(now_ms=self._clock_ms())

    async def _serve_stream(self, stream):
        outbox = Outbox()
        key = id(outbox)
        try:
            if not await self._exchange_hellos(stream):
                return
            task = await curio.current_task()
            self._streams[key] = UpstreamStream(outbox=outbox, task=task)
            await run_until_first(
                self._receive(stream, key),
                outbox.send_queued_to(stream),
            )
        except KnapweeddealError:
            return
        finally:
            self._streams.pop(key, None)
            async with curio.disable_cancellation():
                await outbox.close()

    async def _exchange_hellos(self, stream):
        announce = self.core.announce
        hello = await stream.receive_within(STREAM_TIMEOUT_MS)
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
            message = await stream.receive_within(STREAM_TIMEOUT_MS)
            if type(message) is Heartbeat:
                await self._send(key, message)
                continue
            actions = self.core.receive(message, key, now_ms=self._clock_ms())
            await self._perform_all(actions)

    async def _perform_all(self, actions):
        for action in actions:
            await self._perform(action)

    @methoddispatch
    async def _perform(self, action):
        raise TypeError(f"expected SendReply or RunJob, got {action!r}")

    @_perform.register
    async def _(self, action: RunJob):
        await self._tasks.spawn(self._run_job, action.job, daemon=True)

    @_perform.register
    async def _(self, action: SendReply):
        await self._send(action.stream, action.message)

    async def _send(self, key, message):
        """Send a message; close the stream if its outbox is full."""
        stream = self._streams.get(key)
        if stream is not None and not await stream.outbox.offer(message):
            del self._streams[key]
            await stream.task.cancel(blocking=False)

    async def _run_job(self, job):
        body = await self._application(job.work)
        await self._perform_all(self.core.finish(job, body, now_ms=self._clock_ms()))


def _work_key(message):
    return WorkKey(
        flow_id=message.flow_id,
        owner_incarnation=message.owner_incarnation,
        number=message.number,
    )
