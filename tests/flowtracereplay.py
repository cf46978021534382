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
HAND_OVER_MS = 8_000


#: Distance between a request's number and its number under another ticket.
RENEWED = 100


class FlowTraceReplay(EntryCluster):
    """Carry out one rule of specs/flows.maude at a time by the real decisions.

    Messages to and from the upstream wait until a step delivers them.
    """

    def __init__(self):
        self.flying = []
        #: How often each non-idempotent request was forwarded, by number.
        self.forwards = Counter()
        self.replies = []
        super().__init__(entries=("a", "b", "c"), stop_ms=100)
        self.hold_hand_overs = True
        self.caller = self.open("a")
        #: Names of entries, tickets and owners by the spec's owner incarnation.
        self.names = {"1": "a", "2": "b", "9": "c"}
        self.tickets = {"1": self.caller.ticket}
        self.owners = {"1": "a"}
        self.requests = {}
        self.handed = []

    # What waits

    def _push(self, name, actions):
        for action in actions:
            held = type(action) is ToUpstream and type(action.message) in HELD
            if held:
                self._fly(name, action.message)
            else:
                self._queue.append((name, action))

    def _fly(self, name, message):
        self.flying.append((name, message))
        if type(message) is Work and not message.idempotent:
            self.forwards[message.number] += 1

    def _from_upstream(self, upstream_name, replies):
        for reply in replies:
            if type(reply) is SendReply and type(reply.message) in HELD:
                self.replies.append((reply.stream, reply.message))
            else:
                self._reply(reply, upstream_name)

    def _arrive(self, cls, number, name):
        """Let the upstream take a message that waits."""
        for place, (sender, message) in enumerate(self.flying):
            if type(message) is cls and (sender, message.number) == (name, number):
                del self.flying[place]
                return message
        return None

    def _take(self, cls, number, name):
        """Let the upstream take and decide on a message that waits."""
        message = self._arrive(cls, number, name)
        if message is not None:
            upstream = self.upstreams[UPSTREAM]
            replies = upstream.receive(message, name, now_ms=self.now_ms)
            self._from_upstream(UPSTREAM, replies)

    def _return(self, classes, number, *, name=None):
        """Let an entry take a reply that waits."""
        for stream, message in list(self.replies):
            wanted = type(message) in classes and message.number == number
            if wanted and name in (None, stream):
                self.replies.remove((stream, message))
                self._give(stream, message)

    def _give(self, name, message):
        core = self.entries[name]
        key = self.key(UPSTREAM)
        if name not in self.dead:
            self._push(name, core.from_upstream(message, key, now_ms=self.now_ms))
            self.deliver()
            self.advance(50)

    # What the tests compare

    def runs_by_number(self):
        """Return how often each request ran, by number."""
        return {number: count for (_, number), count in self.run_counts.items()}

    def numbers_with_outcome(self, kind):
        """Return the numbers of requests that were told an outcome."""
        return {
            message.number
            for message in self.caller.received_messages
            if type(message) is Outcome and message.kind == kind
        }

    def mismatched_answers(self):
        """Return answers that belong to another request."""
        return [
            message
            for message in self.caller.received_messages
            if type(message) is AnswerPart
            and message.body != b"done %d" % message.number
        ]

    # Steps

    def replay(self, steps):
        """Take the steps of a trace."""
        for step in steps:
            method = getattr(self, "step_" + step.rule.replace("-", "_"), None)
            if method is not None:
                method(step)

    def _request(self, owner, number):
        return self.requests.get((owner, int(number)))

    def _offer(self, name, request, **changes):
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
        """Make a request under a ticket; it travels from now on."""
        ticket, number, kind = step.arguments("req")
        owner = _whole(ticket, 0)
        request = self.caller.request(int(number), idempotent=kind == "idem")
        request = request.replace(ticket=self.tickets[owner])
        self.requests[owner, int(number)] = request

    def step_resend_renewed(self, step):
        """Send an idempotent request under another ticket, so with another number.

        The spec's guard `number` is the caller's rule that a number has one ticket;
        what a caller makes of two numbers is in tests.test_caller.TwoNumbers.
        """
        ticket, number, kind = step.arguments("req")
        if kind == "idem":
            owner = _whole(ticket, 0)
            first = next(r for (_, n), r in self.requests.items() if n == int(number))
            request = first.replace(
                ticket=self.tickets[owner], number=first.number + RENEWED
            )
            self.requests[owner, int(number)] = request

    def step_forward(self, step):
        """Let an owner take a request."""
        _, incarnation, key, _ = step.arguments("work")
        request = self._request(_whole(key, 0), _whole(key, 1))
        self._offer(self.names[incarnation], request)

    step_retry = step_forward

    def step_refuse(self, step):
        """Let an owner refuse a request: the caller cancels it."""
        number = _said(step)
        owner, name = self._changed(step, number)
        self._cancel(name, self._request(owner, number))

    def _changed(self, step, number):
        """Return the owner incarnation and the entry whose ledger changed."""
        entry = step.arguments("entry")
        if entry is None:
            owner = next(o for o, n in self.requests if n == int(number))
            return owner, self.owners[owner]
        before = step.arguments("entry", "taken")
        changed = set(_records(entry[2])) - set(_records(before[2]))
        return changed.pop()[0], entry[0]

    def step_prune(self, step):
        """Let an owner learn the floor."""
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
        """Let the upstream take work."""
        _, incarnation, key, _ = step.arguments("work", "taken")
        name = self.names[incarnation]
        self._take(Work, int(_whole(key, 1)), name)

    def step_turn_away(self, step):
        """Let the upstream shed work."""
        _, incarnation, key, _ = step.arguments("work", "taken")
        name = self.names[incarnation]
        work = self._arrive(Work, int(_whole(key, 1)), name)
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
        """Let an owner take an answer."""
        self._return({WorkAnswer}, int(_said(step)))

    step_answer_again = step_answer

    def step_shed(self, step):
        """Let an owner learn that its work was shed."""
        name = step.arguments("entry")[0]
        self._return({WorkShed}, int(_said(step)), name=name)

    step_shed_again = step_shed

    def step_break(self, step):
        """Break the stream of an entry, and make it anew."""
        name = step.arguments("entry")[0]
        self.break_stream(name, UPSTREAM)
        self._links.add((name, self.key(UPSTREAM)))
        self.entries[name].stream_up(self.key(UPSTREAM))

    def step_abort(self, step):
        """Let an owner cancel at the upstream."""
        key = step.arguments("cancel")[1]
        owner, number = _whole(key, 0), _whole(key, 1)
        self._cancel(self.owners[owner], self._request(owner, number))

    def step_late(self, step):
        """Let an entry that doesn't reach the owner settle a request."""
        key = step.arguments("late")[0]
        owner, number = _whole(key, 0), _whole(key, 1)
        name = "b" if self.owners[owner] == "a" else "a"
        others = {"a", "b", "c"} - {name}
        self.partitions |= {frozenset((name, other)) for other in others}
        self._offer(name, self._request(owner, number), attempt=3)
        self.partitions.clear()
        for core in self.entries.values():
            core.peer_up(self.entries[self.owners[owner]].identity.address)

    def step_cancel(self, step):
        """Let the upstream take a cancellation."""
        key = (step.arguments("cancelled") or step.arguments("dead")[1:])[0]
        for name in "abc":
            self._take(WorkCancel, int(_whole(key, 1)), name)

    step_cancel_late = step_cancel

    def step_aborted(self, step):
        """Let whoever asked learn what became of a cancellation."""
        self._return({WorkCancelled}, int(_said(step)))

    step_late_not_run = step_aborted

    def step_late_unknown(self, step):
        """Let whoever asked learn that a cancellation came too late."""
        self._return({WorkCancelled, WorkAnswer}, int(_said(step)))

    def step_renew(self, step):
        """Let an entry give the flow a ticket of its own."""
        ticket, entry = step.arguments("has"), step.arguments("entry")
        if ticket is None and entry is not None:
            self.renew(entry[0], self.caller)
        if ticket is not None:
            self.renew(_name(ticket[0]), self.caller)
            incarnation = _whole(ticket[0], 0)
            self.tickets[incarnation] = self.caller.ticket
            self.owners[incarnation] = _name(ticket[0])

    def step_crash(self, step):
        """Kill an entry and start it anew."""
        name, incarnation, _ = step.arguments("entry")
        self.kill(name)
        del self.entries[name]
        self.add_entry(name)
        self.names[incarnation] = name

    def step_evict(self, step):
        """Let an entry forget the flow."""
        entry = step.arguments("entry")
        before = step.arguments("entry", "taken")
        owner = (set(_records(before[2])) - set(_records(entry[2]))).pop()[0]
        flow = self._flow(entry[0], owner)
        if flow is not None:
            self.entries[entry[0]].owner.remove_flow(flow)

    def step_hand(self, step):
        """Begin the planned stop of an entry, until its ledgers are on their way."""
        before = self._stopping(step)
        successor = step.arguments("hand")[0]
        others = sorted(self.entries, key=lambda name: name != successor)
        self.entries = {name: self.entries[name] for name in others}
        self.stop(before)
        for _ in range(HAND_OVER_MS // 100):
            if self.hand_overs:
                break
            self.advance(100)
        self.handed = list(self.hand_overs)

    def _stopping(self, step):
        entry = step.arguments("entry")
        return entry[0] if entry else self.owners[step.arguments("hand")[2]]

    def step_take(self, step):
        """Let the successor take the ledgers; again if it took them before."""
        name = step.arguments("entry")[0]
        for sender, action in self.handed:
            self._queue.append((sender, action))
            self.hand_overs = []
            self.hold_hand_overs = False
            self.deliver()
            self.hold_hand_overs = True
        self.advance(300)
        for owner, *_ in _records(step.arguments("entry")[2]):
            self.owners[owner] = name

    step_take_over = step_take

    def step_exit(self, step):
        """End an entry that handed its ledgers over."""
        name = step.arguments("entry", "taken")[0]
        if self.entries[name].stopped:
            self.kill(name)


#: Messages that wait for a step.
HELD = {Work, WorkAnswer, WorkCancel, WorkCancelled, WorkShed}


def _whole(text, place):
    return re.findall(r"\d+", text)[place]


def _name(text):
    return re.search(r"\(([a-e]),", text).group(1)


def _records(text):
    """Return owner incarnation, floor and text of each record of an entry."""
    found = (re.match(r"rec\((\d+), (\d+), ", part) for part in text.split(" + "))
    return [(*match.groups(), match.string) for match in found if match]


def _said(step):
    return step.arguments("said")[0]
