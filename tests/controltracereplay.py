"""tests.controltracereplay: Replay of the specs' traces on control replicas."""

import re

from knapweeddeal.configurationstate import ConfigurationState
from knapweeddeal.consensus import LEADER
from knapweeddeal.consensuslog import pack_command, pack_membership
from knapweeddeal.errors import KnapweeddealError
from knapweeddeal.messages.control import LogRecord, VoteAnswer, VoteRequest
from knapweeddeal.messages.operator import ConfirmAnswer, IntentStep, PlanAnswer
from knapweeddeal.messages.replication import (
    ConfirmRecord,
    HardState,
    MembershipRecord,
    PlanRecord,
)
from tests.consensussimulation import ConsensusSimulation, FakeDisk, replica

__all__ = ["LogTraceReplay", "PlanTraceReplay"]

NAMES = "abcde"
#: Records of the specs' prepared logs after the first, by replica: term, members.
LOGS = {
    "parted": {"a": [(2, None)], "b": [(3, None)]},
    "halfway": {"a": [(2, "abcde")], "e": [(2, "abcde")]},
}
#: Terms of the specs' prepared replicas; the candidate that they voted for.
TERMS = {
    "parted": {"a": (3, 0), "b": (3, 2), "c": (3, 2)},
    "halfway": {"a": (3, 0), "b": (2, 0), "c": (2, 0), "d": (2, 0), "e": (2, 0)},
}


class LogTraceReplay(ConsensusSimulation):
    """Run one rule of specs/log.maude at a time; the simulation checks each step."""

    def __init__(self, *, start):
        self.kind = start.split()[0].split("(")[0]
        founders = 4 if self.kind == "halfway" else 3
        super().__init__(seed=1, founders=founders, spares=5 - founders)
        if self.kind in LOGS:
            self._prepare()
        if self.kind == "led":
            self._elect("a", "b")
            self._write("a")
            self._exchange("a", "b")
        if self.kind == "halfway":
            self._elect("b", "cd")
            self.network.clear()

    def _prepare(self):
        first = self.disks[1].records
        for name, (term, voted_for) in TERMS[self.kind].items():
            disk = self.disks[_identity(name)] = FakeDisk()
            disk.state = HardState(term=term, voted_for=voted_for)
            disk.records = [*first, *_prepared(LOGS[self.kind].get(name, ()))]
            self.start(_identity(name))
            self.nodes[_identity(name)].commit_index = len(first)

    # Means

    def _elect(self, name, voters):
        identity = _identity(name)
        # Votes without the round before: it is no part of the promise.
        self.nodes[identity]._campaign(pre=False)
        self.flush(identity)
        for voter in voters:
            self._vote(name, voter)

    def _vote(self, name, voter):
        self._pass_on(name, voter, VoteRequest)
        self._pass_on(voter, name, VoteAnswer)

    def _exchange(self, name, other):
        leadership = self.nodes[_identity(name)]._leadership
        if leadership is not None:
            # A heartbeat now; the time that ends a silent leader stands still.
            leadership.broadcast()
            self.flush(_identity(name))
        for _ in range(4):
            self._pass_on(name, other)
            self._pass_on(other, name)

    def _pass_on(self, sender, to, cls=object):
        pair = (_identity(sender), _identity(to))
        for sent in [sent for sent in self.network if sent[:2] == pair]:
            if isinstance(sent[2], cls) and pair[1] in self.nodes:
                self.network.remove(sent)
                self.nodes[pair[1]].receive(pair[0], sent[2], self.now_ms)
                self.flush(pair[1])

    def _write(self, name):
        self._lead(name, lambda node: node.propose(b"%d" % self.next_value))
        self.next_value += 1

    def _lead(self, name, act):
        """Let a replica act if it leads; the real one may decline."""
        identity = _identity(name)
        node = self.nodes.get(identity)
        if node is None or node.role != LEADER:
            return
        try:
            act(node)
        except KnapweeddealError:
            return
        self.flush(identity)

    def _change(self, node, names):
        members = [replica(_identity(name)) for name in names]
        record = MembershipRecord(replicas=members, operator="", request_id="")
        node.propose_membership(record)

    # Steps

    def replay(self, steps):
        """Take the steps of a trace."""
        for step in steps:
            method = getattr(self, "step_" + step.rule.replace("-", "_"), None)
            if method is not None:
                method(step)

    def close(self):
        """Let each replica lead once, with votes and answers of all that are left."""
        names = [NAMES[identity - 1] for identity in sorted(self.nodes)]
        for name in names * 2:
            others = [other for other in names if other != name]
            self._elect(name, others)
            for other in others:
                self._exchange(name, other)

    def step_stand(self, step):
        """Let a replica ask for votes."""
        self._elect(step.arguments("candidate")[0], "")

    def step_vote(self, step):
        """Let a replica decide on its vote."""
        name, _, votes = step.arguments("candidate")
        (voter,) = _names(votes) - _names(step.arguments("candidate", "taken")[2])
        self._vote(name, voter)

    def step_write(self, step):
        """Let a leader append a command."""
        self._write(step.arguments("replica")[0])

    def step_append(self, step):
        """Let a replica take what a leader appended."""
        term, other, _ = step.arguments("ack")
        for leader in self.claimed_leaders():
            if self.nodes[leader].term == int(term):
                self._exchange(NAMES[leader - 1], other)

    def step_add(self, step):
        """Let a leader add a replica, after it had the time to catch up."""
        name = step.arguments("append")[0]
        added = step.arguments("add", "taken")[0]
        self._lead(name, lambda node: node.add_learner(_identity(added)))
        self._exchange(name, added)
        self._lead(name, lambda node: self._change(node, _members(step)))

    def step_drop(self, step):
        """Let a leader drop a replica, or swap two at once."""
        name = step.arguments("append")[0]
        self._lead(name, lambda node: self._change(node, _members(step)))

    step_swap = step_drop

    def step_ask(self, step):
        """Let a leader take a read."""
        identity = _identity(step.arguments("reading")[0])
        read_id = (identity, self.next_value)
        self.next_value += 1
        self.reads[read_id] = max(self.committed_records, default=0)
        self._lead(NAMES[identity - 1], lambda node: node.read(read_id))

    def step_crash(self, step):
        """Crash a replica."""
        changed = step.arguments("replica") or step.arguments("leader", "taken")
        if changed is not None and _identity(changed[0]) in self.nodes:
            self.crash(_identity(changed[0]))

    def step_lose(self, step):
        """Lose a replica's disk; it never comes back under its identity."""
        identity = _identity(step.arguments("gone")[0])
        del self.nodes[identity]
        self.network = [sent for sent in self.network if sent[1] != identity]


class PlanTraceReplay:
    """Apply what specs/plans.maude commits; restart from images."""

    def __init__(self):
        self.state = ConfigurationState()
        self.index = 0
        #: Real plan ids by the spec's.
        self.plans = {}
        #: What was answered, by operator and request id.
        self.answers = {}

    def replay(self, steps):
        """Take the steps of a trace."""
        for step in steps:
            if step.rule == "commit":
                self._commit(step)
            if step.rule == "restart":
                image = self.state.encode_snapshot()
                self.state = ConfigurationState()
                self.state.restore(image)

    def _commit(self, step):
        text = step.arguments("leader", "taken")[0]
        found = re.match(r"command\((\w), (\d), (plan|confirm)\((\d)\)\)", text)
        operator, request_id, verb, number = found.groups()
        self.index += 1
        make = {"plan": _plan, "confirm": self._confirm}[verb]
        answer = self.state.apply(self.index, make(operator, request_id, int(number)))
        if verb == "plan":
            self.plans.setdefault(len(self.plans) + 1, answer.plan_id)
        self.answers.setdefault((operator, int(request_id)), []).append(answer)

    def _confirm(self, operator, request_id, number):
        return ConfirmRecord(
            operator=operator,
            request_id=request_id,
            plan_id=self.plans[number],
            confirmed_ms=1,
        )

    def answers_by_request(self):
        """Return answers as the spec writes them, by operator and request id."""
        known = {plan_id: number for number, plan_id in self.plans.items()}
        return {
            name: {_written(answer, known) for answer in answers}
            for name, answers in self.answers.items()
        }


def _written(answer, known):
    if type(answer) is PlanAnswer:
        return f"planned {answer.base_version} {known[answer.plan_id]}"
    if type(answer) is ConfirmAnswer:
        return f"confirmed {known[answer.plan_id]} {answer.version}"
    return answer.code


def _plan(operator, request_id, number):
    step = IntentStep(
        action="create-service",
        service=f"service-{number}",
        host="127.0.0.1",
        port=number,
        upstream_id="",
    )
    return PlanRecord(
        operator=operator,
        request_id=request_id,
        steps=[step],
        upstreams=[],
        zones=[],
        flows=0,
        planned_ms=1,
        life_ms=1_000,
    )


def _prepared(log):
    records = []
    for index, (term, members) in enumerate(log, 2):
        command = pack_command(b"9") if members is None else _membership(members)
        records.append(LogRecord(index=index, term=term, command=command))
    return records


def _membership(names):
    members = [replica(_identity(name)) for name in names]
    return pack_membership(
        MembershipRecord(replicas=members, operator="", request_id="")
    )


def _members(step):
    """Return the names in the last membership of an append."""
    log = step.arguments("append")[2]
    return sorted(_names(re.findall(r"members\(\d+, \w, ([^)]+)\)", log)[-1]))


def _names(text):
    return set(re.findall(r"\b[a-e]\b", text))


def _identity(name):
    return NAMES.index(name) + 1
