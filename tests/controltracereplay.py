"""tests.controltracereplay: Replay of spec traces on control replicas."""

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
#: Records after the first in the specs' initial logs, by replica: term, members.
LOGS = {
    "parted": {"a": [(2, None)], "b": [(3, None)]},
    "halfway": {"a": [(2, "abcde")], "e": [(2, "abcde")]},
}
#: Terms and votes of the specs' initial replicas: term, candidate voted for.
TERMS = {
    "parted": {"a": (3, 0), "b": (3, 2), "c": (3, 2)},
    "halfway": {"a": (3, 0), "b": (2, 0), "c": (2, 0), "d": (2, 0), "e": (2, 0)},
}


class LogTraceReplay(ConsensusSimulation):
    """Run one rule of specs/log.maude at a time; the simulation checks each step."""

    def __init__(self, *, start):
        self.kind = start.split()[0].split("(")[0]
        initial_members = 4 if self.kind == "halfway" else 3
        super().__init__(
            seed=1, initial_members=initial_members, spares=5 - initial_members
        )
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
            disk.records = [*first, *_prepared_records(LOGS[self.kind].get(name, ()))]
            self.start(_identity(name))
            self.nodes[_identity(name)].commit_index = len(first)

    # Actions

    def _elect(self, name, voters):
        identity = _identity(name)
        # No pre-vote: safety does not depend on it.
        self.nodes[identity]._campaign(pre_vote=False)
        self.flush(identity)
        for voter in voters:
            self._vote(name, voter)

    def _vote(self, name, voter):
        self._deliver(name, voter, VoteRequest)
        self._deliver(voter, name, VoteAnswer)

    def _exchange(self, name, other):
        leadership = self.nodes[_identity(name)]._leadership
        if leadership is not None:
            # Broadcast now: time stands still, so no heartbeat or step-down is due.
            leadership.broadcast()
            self.flush(_identity(name))
        for _ in range(4):
            self._deliver(name, other)
            self._deliver(other, name)

    def _deliver(self, sender, to, cls=object):
        pair = (_identity(sender), _identity(to))
        for sent in [sent for sent in self.network if sent[:2] == pair]:
            if isinstance(sent[2], cls) and pair[1] in self.nodes:
                self.network.remove(sent)
                self.nodes[pair[1]].receive(pair[0], sent[2], self.now_ms)
                self.flush(pair[1])

    def _write(self, name):
        self._run_if_leader(name, lambda node: node.propose(b"%d" % self.next_value))
        self.next_value += 1

    def _run_if_leader(self, name, action):
        """Run an action on a replica if it leads; the replica may reject it."""
        identity = _identity(name)
        node = self.nodes.get(identity)
        if node is None or node.role != LEADER:
            return
        try:
            action(node)
        except KnapweeddealError:
            return
        self.flush(identity)

    def _propose_members(self, node, names):
        members = [replica(_identity(name)) for name in names]
        record = MembershipRecord(replicas=members, operator="", request_id="")
        node.propose_membership(record)

    # Rules of the spec

    def replay(self, steps):
        """Run the steps of a trace."""
        for step in steps:
            method = getattr(self, "step_" + step.rule.replace("-", "_"), None)
            if method is not None:
                method(step)

    def close(self):
        """Let each remaining replica lead in turn, with the votes of all others."""
        names = [NAMES[identity - 1] for identity in sorted(self.nodes)]
        for name in names * 2:
            others = [other for other in names if other != name]
            self._elect(name, others)
            for other in others:
                self._exchange(name, other)

    def step_stand(self, step):
        """Let a replica request votes."""
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
        """Deliver a leader's records to a replica."""
        term, other, _ = step.arguments("ack")
        for leader in self.claimed_leaders():
            if self.nodes[leader].term == int(term):
                self._exchange(NAMES[leader - 1], other)

    def step_add(self, step):
        """Let a leader add a replica after it caught up."""
        name = step.arguments("append")[0]
        added = step.arguments("add", "taken")[0]
        self._run_if_leader(name, lambda node: node.add_learner(_identity(added)))
        self._exchange(name, added)
        self._run_if_leader(
            name, lambda node: self._propose_members(node, _members(step))
        )

    def step_drop(self, step):
        """Let a leader remove a replica, or replace one in a single change."""
        name = step.arguments("append")[0]
        self._run_if_leader(
            name, lambda node: self._propose_members(node, _members(step))
        )

    step_swap = step_drop

    def step_ask(self, step):
        """Let a leader start a linearizable read."""
        identity = _identity(step.arguments("reading")[0])
        read_id = (identity, self.next_value)
        self.next_value += 1
        self.reads[read_id] = max(self.committed_records, default=0)
        self._run_if_leader(NAMES[identity - 1], lambda node: node.read(read_id))

    def step_crash(self, step):
        """Crash a replica."""
        changed = step.arguments("replica") or step.arguments("leader", "taken")
        if changed is not None and _identity(changed[0]) in self.nodes:
            self.crash(_identity(changed[0]))

    def step_lose(self, step):
        """Remove a replica whose disk is lost; its identity never returns."""
        identity = _identity(step.arguments("gone")[0])
        del self.nodes[identity]
        self.network = [sent for sent in self.network if sent[1] != identity]


class PlanTraceReplay:
    """Apply the commands that specs/plans.maude commits; restart from snapshots."""

    def __init__(self):
        self.state = ConfigurationState()
        self.index = 0
        #: Plan ids by the number of the plan in the spec.
        self.plans = {}
        #: Answers by operator and request id.
        self.answers = {}

    def replay(self, steps):
        """Run the steps of a trace."""
        for step in steps:
            if step.rule == "commit":
                self._commit(step)
            if step.rule == "restart":
                image = self.state.encode_snapshot()
                self.state = ConfigurationState()
                self.state.restore(image)

    def _commit(self, step):
        text = step.arguments("leader", "taken")[0]
        match = re.match(r"command\((\w), (\d), (plan|confirm)\((\d)\)\)", text)
        operator, request_id, verb, number = match.groups()
        self.index += 1
        make_record = {"plan": _plan, "confirm": self._confirm}[verb]
        answer = self.state.apply(
            self.index, make_record(operator, request_id, int(number))
        )
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
        """Return answers in the notation of the spec, by operator and request id."""
        spec_numbers = {plan_id: number for number, plan_id in self.plans.items()}
        return {
            name: {_spec_answer(answer, spec_numbers) for answer in answers}
            for name, answers in self.answers.items()
        }


def _spec_answer(answer, spec_numbers):
    if type(answer) is PlanAnswer:
        return f"planned {answer.base_version} {spec_numbers[answer.plan_id]}"
    if type(answer) is ConfirmAnswer:
        return f"confirmed {spec_numbers[answer.plan_id]} {answer.version}"
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


def _prepared_records(log):
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
    """Return the member names in the last membership record of an append."""
    log = step.arguments("append")[2]
    return sorted(_names(re.findall(r"members\(\d+, \w, ([^)]+)\)", log)[-1]))


def _names(text):
    return set(re.findall(r"\b[a-e]\b", text))


def _identity(name):
    return NAMES.index(name) + 1
