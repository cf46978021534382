"""tests.flowtracereplay: Replay of a spec's trace on entries and an upstream."""

import re
from collections import Counter

from knapweeddeal.actions import ToUpstream
from knapweeddeal.messages.caller import AnswerPart, Cancel, Outcome
from knapweeddeal.messages.upstream import (
    Work,
    WorkAnswer,
    WorkCancel,
    WorkCancelled,
    WorkShed,
)
from knapweeddeal.upstream import SendReply
from tests.entrycluster import SERVICE, EntryCluster

__all__ = ["FlowTraceReplay"]

UPSTREAM = "u1"
#: Longest time that a step waits for a hand-over to begin.
HAND_OVER_TIMEOUT_MS = 8_000
#: Added to a request's number when it is sent under another ticket.
RENEWED_NUMBER_OFFSET = 100


class FlowTraceReplay(EntryCluster):
    """Replay the rules of specs/flows.maude, step by step, on the real cores.

    Messages to and from the upstream wait until a step delivers them.
    """

    def __init__(self):
        self.in_transit = []
        #: How often each non-idempotent request was forwarded, by number.
        self.forwards = Counter()
        self.replies = []
        super().__init__(entries=("a", "b", "c"), stop_ms=100)
        self.hold_hand_overs = True
        self.caller = self.open("a")
        #: By incarnation in the spec: names of entries, tickets and names of owners.
        self.entry_names = {"1": "a", "2": "b", "9": "c"}
        self.tickets = {"1": self.caller.ticket}
        self.owner_names = {"1": "a"}
        self.requests = {}
        self.last_hand_overs = []

    # Messages in transit

    def _queue_actions(self, name, actions):
        for action in actions:
            held = type(action) is ToUpstream and type(action.message) in HELD_CLASSES
            if held:
                self._hold_in_transit(name, action.message)
            else:
                self._queue.append((name, action))

    def _hold_in_transit(self, name, message):
        self.in_transit.append((name, message))
        if type(message) is Work and not message.idempotent:
            self.forwards[message.number] += 1

    def _from_upstream(self, upstream_name, replies):
        for reply in replies:
            if type(reply) is SendReply and type(reply.message) in HELD_CLASSES:
                self.replies.append((reply.stream, reply.message))
            else:
                self._perform_upstream_action(reply, upstream_name)

    def _pop_in_transit(self, cls, number, name):
        """Remove and return a message in transit to the upstream, or None."""
        for index, (sender, message) in enumerate(self.in_transit):
            if type(message) is cls and (sender, message.number) == (name, number):
                del self.in_transit[index]
                return message
        return None

    def _deliver_to_upstream(self, cls, number, name):
        """Deliver a message in transit to the upstream."""
        message = self._pop_in_transit(cls, number, name)
        if message is not None:
            upstream = self.upstreams[UPSTREAM]
            replies = upstream.receive(message, name, now_ms=self.now_ms)
            self._from_upstream(UPSTREAM, replies)

    def _deliver_replies(self, classes, number, *, name=None):
        """Deliver the upstream's replies in transit to a request."""
        for stream, message in list(self.replies):
            matches = type(message) in classes and message.number == number
            if matches and name in (None, stream):
                self.replies.remove((stream, message))
                self._deliver_to_entry(stream, message)

    def _deliver_to_entry(self, name, message):
        core = self.entries[name]
        key = self.key(UPSTREAM)
        if name not in self.dead:
            self._queue_actions(
                name, core.from_upstream(message, key, now_ms=self.now_ms)
            )
            self.deliver()
            self.advance(50)

    # Results

    def runs_by_number(self):
        """Return how often each request ran, by number."""
        return {number: count for (_, number), count in self.run_counts.items()}

    def numbers_with_outcome(self, kind):
        """Return the numbers of the requests that received an outcome of a kind."""
        return {
            message.number
            for message in self.caller.received_messages
            if type(message) is Outcome and message.kind == kind
        }

    def mismatched_answers(self):
        """Return the answers whose body belongs to another request."""
        return [
            message
            for message in self.caller.received_messages
            if type(message) is AnswerPart
            and message.body != b"done %d" % message.number
        ]

    # Steps

    def replay(self, steps):
        """Replay the steps of a trace; rules without a method are skipped."""
        for step in steps:
            method = getattr(self, "step_" + step.rule.replace("-", "_"), None)
            if method is not None:
                method(step)

    def _request(self, owner, number):
        return self.requests.get((owner, int(number)))

    def _send_request(self, name, request, **changes):
        if request is not None:
            self.send(name, self.caller, request.replace(**changes))
            self.advance(50)

    def _cancel(self, name, request):
        if request is not None:
            cancel = Cancel(
                service=SERVICE,
                flow_id=request.flow_id,
                ticket=request.ticket,
                number=request.number,
            )
            self.send(name, self.caller, cancel)
            self.advance(50)

    def step_send(self, step):
        """Create a request with a ticket; later steps deliver it."""
        ticket, number, kind = step.arguments("req")
        owner = _number_at(ticket, 0)
        request = self.caller.request(int(number), idempotent=kind == "idem")
        request = request.replace(ticket=self.tickets[owner])
        self.requests[owner, int(number)] = request

    def step_resend_renewed(self, step):
        """Create an idempotent request again with another ticket and another number.

        The spec's guard `number` is the caller's rule that a number has one ticket;
        tests.test_caller.TwoNumbers tests how a caller handles two numbers.
        """
        ticket, number, kind = step.arguments("req")
        if kind == "idem":
            owner = _number_at(ticket, 0)
            first = next(r for (_, n), r in self.requests.items() if n == int(number))
            request = first.replace(
                ticket=self.tickets[owner], number=first.number + RENEWED_NUMBER_OFFSET
            )
            self.requests[owner, int(number)] = request

    def step_forward(self, step):
        """Deliver a request to an owner."""
        _, incarnation, key, _ = step.arguments("work")
        request = self._request(_number_at(key, 0), _number_at(key, 1))
        self._send_request(self.entry_names[incarnation], request)

    step_retry = step_forward

    def step_refuse(self, step):
        """Make an owner refuse a request: the caller cancels it."""
        number = _said_number(step)
        owner, name = self._changed(step, number)
        self._cancel(name, self._request(owner, number))

    def _changed(self, step, number):
        """Return the owner incarnation and the entry whose ledger changed."""
        entry = step.arguments("entry")
        if entry is None:
            owner = next(o for o, n in self.requests if n == int(number))
            return owner, self.owner_names[owner]
        before = step.arguments("entry", "taken")
        changed = set(_records(entry[2])) - set(_records(before[2]))
        return changed.pop()[0], entry[0]

    def step_prune(self, step):
        """Raise the floor of an owner's ledger."""
        entry = step.arguments("entry")
        before = step.arguments("entry", "taken")
        owner, floor = (set(_records(entry[2])) - set(_records(before[2]))).pop()[:2]
        flow = self._flow(entry[0], owner)
        if flow is not None:
            self.entries[entry[0]].owner.ledger(flow).raise_floor(int(floor))

    def _flow(self, name, owner):
        sealer = self.entries[name].context.sealer
        wall_ms = self.entries[name].context.wall_clock_ms()
        ticket = sealer.open(self.tickets[owner], now_ms=wall_ms)
        return self.entries[name].owner.find(ticket)

    def step_run(self, step):
        """Deliver work to the upstream."""
        _, incarnation, key, _ = step.arguments("work", "taken")
        name = self.entry_names[incarnation]
        self._deliver_to_upstream(Work, int(_number_at(key, 1)), name)

    def step_turn_away(self, step):
        """Make the upstream shed work."""
        _, incarnation, key, _ = step.arguments("work", "taken")
        name = self.entry_names[incarnation]
        work = self._pop_in_transit(Work, int(_number_at(key, 1)), name)
        if work is not None:
            shed = WorkShed(
                flow_id=work.flow_id,
                owner_incarnation=work.owner_incarnation,
                number=work.number,
                reason="overloaded",
                outstanding=0,
                connections=0,
            )
            self.replies.append((name, shed))

    def step_answer(self, step):
        """Deliver an answer to its owner."""
        self._deliver_replies({WorkAnswer}, int(_said_number(step)))

    step_answer_again = step_answer

    def step_shed(self, step):
        """Deliver the shedding of work to its owner."""
        name = step.arguments("entry")[0]
        self._deliver_replies({WorkShed}, int(_said_number(step)), name=name)

    step_shed_again = step_shed

    def step_break(self, step):
        """Break the stream of an entry and reopen it."""
        name = step.arguments("entry")[0]
        self.break_stream(name, UPSTREAM)
        self._links.add((name, self.key(UPSTREAM)))
        self.entries[name].stream_up(self.key(UPSTREAM))

    def step_abort(self, step):
        """Make an owner cancel a request at the upstream."""
        key = step.arguments("cancel")[1]
        owner, number = _number_at(key, 0), _number_at(key, 1)
        self._cancel(self.owner_names[owner], self._request(owner, number))

    def step_late(self, step):
        """Make an entry that can't reach the owner settle a request."""
        key = step.arguments("late")[0]
        owner, number = _number_at(key, 0), _number_at(key, 1)
        name = "b" if self.owner_names[owner] == "a" else "a"
        others = {"a", "b", "c"} - {name}
        self.partitions |= {frozenset((name, other)) for other in others}
        self._send_request(name, self._request(owner, number), attempt=3)
        self.partitions.clear()
        for core in self.entries.values():
            core.peer_up(self.entries[self.owner_names[owner]].identity.address)

    def step_cancel(self, step):
        """Deliver a cancellation to the upstream."""
        key = (step.arguments("cancelled") or step.arguments("dead")[1:])[0]
        for name in "abc":
            self._deliver_to_upstream(WorkCancel, int(_number_at(key, 1)), name)

    step_cancel_late = step_cancel

    def step_aborted(self, step):
        """Deliver the result of a cancellation to the entry that requested it."""
        self._deliver_replies({WorkCancelled}, int(_said_number(step)))

    step_late_not_run = step_aborted

    def step_late_unknown(self, step):
        """Deliver the result of a late cancellation to the entry that requested it."""
        self._deliver_replies({WorkCancelled, WorkAnswer}, int(_said_number(step)))

    def step_renew(self, step):
        """Make an entry adopt the flow with a new ticket."""
        ticket, entry = step.arguments("has"), step.arguments("entry")
        if ticket is None and entry is not None:
            self.renew(entry[0], self.caller)
        if ticket is not None:
            self.renew(_entry_name(ticket[0]), self.caller)
            incarnation = _number_at(ticket[0], 0)
            self.tickets[incarnation] = self.caller.ticket
            self.owner_names[incarnation] = _entry_name(ticket[0])

    def step_crash(self, step):
        """Kill an entry and restart it."""
        name, incarnation, _ = step.arguments("entry")
        self.kill(name)
        del self.entries[name]
        self.add_entry(name)
        self.entry_names[incarnation] = name

    def step_evict(self, step):
        """Make an entry remove the flow."""
        entry = step.arguments("entry")
        before = step.arguments("entry", "taken")
        owner = (set(_records(before[2])) - set(_records(entry[2]))).pop()[0]
        flow = self._flow(entry[0], owner)
        if flow is not None:
            self.entries[entry[0]].owner.remove_flow(flow)

    def step_hand(self, step):
        """Begin a planned stop of an entry; wait until its ledgers are in transit."""
        stopping = self._stopping_entry(step)
        successor = step.arguments("hand")[0]
        others = sorted(self.entries, key=lambda name: name != successor)
        self.entries = {name: self.entries[name] for name in others}
        self.stop(stopping)
        for _ in range(HAND_OVER_TIMEOUT_MS // 100):
            if self.held_hand_overs:
                break
            self.advance(100)
        self.last_hand_overs = list(self.held_hand_overs)

    def _stopping_entry(self, step):
        entry = step.arguments("entry")
        return entry[0] if entry else self.owner_names[step.arguments("hand")[2]]

    def step_take(self, step):
        """Deliver the ledgers to the successor; a repeated step delivers them again."""
        name = step.arguments("entry")[0]
        for sender, action in self.last_hand_overs:
            self._queue.append((sender, action))
            self.held_hand_overs = []
            self.hold_hand_overs = False
            self.deliver()
            self.hold_hand_overs = True
        self.advance(300)
        for owner, *_ in _records(step.arguments("entry")[2]):
            self.owner_names[owner] = name

    step_take_over = step_take

    def step_exit(self, step):
        """End an entry that has handed its ledgers over."""
        name = step.arguments("entry", "taken")[0]
        if self.entries[name].stopped:
            self.kill(name)


#: Messages that are held in transit until a step delivers them.
HELD_CLASSES = {Work, WorkAnswer, WorkCancel, WorkCancelled, WorkShed}


def _number_at(text, index):
    return re.findall(r"\d+", text)[index]


def _entry_name(text):
    return re.search(r"\(([a-e]),", text).group(1)


def _records(text):
    """Return owner incarnation, floor and text of each record of an entry."""
    found = (re.match(r"rec\((\d+), (\d+), ", part) for part in text.split(" + "))
    return [(*match.groups(), match.string) for match in found if match]


def _said_number(step):
    return step.arguments("said")[0]
