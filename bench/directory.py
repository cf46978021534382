"""bench.directory: Cost and propagation delay of directory and membership.

Run as `python -m bench.directory [PART ...]`; without names all parts run. Byte
counts include 28 bytes of headers per datagram. `real` starts processes on loopback.
"""

import json
import os
import random
import sys
import tempfile
import time

import curio

from bench.tables import print_head, print_table, spread
from demo.cluster import Cluster, wait_until
from knapweeddeal import controlclient
from knapweeddeal.directory import Directory
from knapweeddeal.errors import KnapweeddealError
from knapweeddeal.messages import decode, encode
from knapweeddeal.messages.operator import MetricsRequest
from knapweeddeal.messages.peer import LeaseAnswer, LeaseRequest
from knapweeddeal.placement import Placement
from knapweeddeal.registrar import Registrar
from tests.directoryfakes import announce
from tests.memberfakes import HEADER_BYTES, PROBE_MS, MemberNetwork

__all__ = ["main"]

SEEDS = (1, 2, 3)
ZONES = {f"zone-{z}": [f"entry-{z}-{n}" for n in range(4)] for z in "abcd"}
UPSTREAMS = (10, 100, 1_000, 5_000)
MEMBERS = (16, 64, 256, 1_000)
ENTRIES = (4, 16)
CHANGES_PER_S = (0, 1, 10)
SECONDS = 20
CHURN_MEMBERS = (64, 256, 1_000)
RESTARTS_PER_S = (0.02, 0.2)
CHURN_SECONDS = 50
LOSS_MEMBERS = (64, 256)
LOSSES = (0.01, 0.05, 0.1, 0.2)
LOSS_SECONDS = 60
#: Time between leave and start in a restart.
RESTART_MS = 500
TICK_MS = 50
REPEATS = 5
LOOPS = 2_000
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")


class DirectoryClient:
    """Run an entry's directory against registrars; count its bytes and time."""

    def __init__(self, *, upstreams, seed):
        self.rng = random.Random(seed)
        self.now_ms = 0
        self.bytes = 0
        self.spent_s = 0.0
        self.placement = Placement(names_by_zone=ZONES, registrars_per_zone=2)
        self.registrars = {
            name: Registrar(
                epoch=self.rng.getrandbits(32), silence_ms=10**9, now_ms=-(10**9)
            )
            for names in self.placement.registrars.values()
            for name in names
        }
        self.entry = Directory(lease_ms=2_000, name="asker")
        self.entry.set_members(ZONES)
        self.announces = []
        for number in range(upstreams):
            self._announce(announce(number, zone=f"zone-{'abcd'[number % 4]}"))
        for upstream in self.entry.all():
            upstream.ready = True

    def _announce(self, message):
        self.announces.append(message)
        for name in self.placement.registrars_for(message):
            self.registrars[name].record_announcement(message, now_ms=self.now_ms)

    def change(self):
        """Announce another number of slots for a random upstream."""
        index = self.rng.randrange(len(self.announces))
        message = self.announces.pop(index)
        slots = 1 + message.slots % 9
        self._announce(message.replace(sequence=message.sequence + 1, slots=slots))

    def run(self, seconds, changes_per_s):
        """Advance the clock by some seconds, with changes at a constant rate."""
        due_ms = self.now_ms
        end_ms = self.now_ms + 1_000 * seconds
        while self.now_ms < end_ms:
            self.now_ms += TICK_MS
            while changes_per_s and due_ms <= self.now_ms:
                self.change()
                due_ms += 1_000 / changes_per_s
            self._deliver(self._timed(self.entry.tick, now_ms=self.now_ms))

    def sync(self):
        """Sync all upstreams to the entry; return the bytes sent and received."""
        self.run(5, 0)
        for upstream in self.entry.all():
            upstream.ready = True
        sync_bytes, self.bytes, self.spent_s = self.bytes, 0, 0.0
        return sync_bytes

    def _timed(self, call, *arguments, **named):
        start_s = time.perf_counter()
        result = call(*arguments, **named)
        self.spent_s += time.perf_counter() - start_s
        return result

    def _deliver(self, actions):
        for action in actions:
            message = getattr(action, "message", None)
            if type(message) is not LeaseRequest:
                continue
            data = self._timed(encode, message)
            answer = self.registrars[action.name].answer(message, now_ms=self.now_ms)
            reply = encode(answer)
            self.bytes += len(data) + len(reply) + 2 * HEADER_BYTES
            self._deliver(self._timed(self._handle_answer, reply, action.name))

    def _handle_answer(self, data, name):
        return self.entry.handle_answer(decode(data), name, now_ms=self.now_ms)


def entry_part():
    """Measure an entry's directory by numbers of upstreams and rates of change."""
    rows = []
    for upstreams in UPSTREAMS:
        for changes in CHANGES_PER_S:
            rows.append(_entry_row(upstreams, changes))
    columns = ("upstreams", "changes/s", "first sync KB", "bytes/s both ways", "CPU %")
    print_table("Directory of an entry, 4 zones x 2 registrars", columns, rows)


def _entry_row(upstreams, changes):
    synced, rates, shares = [], [], []
    for seed in SEEDS:
        client = DirectoryClient(upstreams=upstreams, seed=seed)
        synced.append(client.sync() / 1_000)
        client.run(SECONDS, changes)
        rates.append(client.bytes / SECONDS)
        shares.append(100 * client.spent_s / SECONDS)
    return (upstreams, changes, spread(synced), spread(rates), spread(shares))


def registrar_part():
    """Measure a registrar's time for an announcement and for a lease request."""
    rows = []
    for upstreams in UPSTREAMS:
        announcement_us, request_us = [], []
        for _ in range(REPEATS):
            registrar = Registrar(epoch=1, silence_ms=10**9, now_ms=0)
            messages = [announce(number) for number in range(upstreams)]
            for message in messages:
                registrar.record_announcement(message, now_ms=0)
            announcement_us.append(_announcement_us(registrar, messages))
            request_us.append(_lease_request_us(registrar))
        rows.append((upstreams, spread(announcement_us), spread(request_us)))
    columns = ("upstreams", "us an announcement", "us an ask")
    print_table("Registrar, with the codec", columns, rows)


def _announcement_us(registrar, messages):
    data = [encode(messages[n % len(messages)]) for n in range(LOOPS)]
    start_s = time.perf_counter()
    for number, item in enumerate(data):
        message = decode(item)
        message.sequence = number + 2
        registrar.record_announcement(message, now_ms=number)
    return 1e6 * (time.perf_counter() - start_s) / LOOPS


def _lease_request_us(registrar):
    request = encode(LeaseRequest(asked_ms=10**9, epoch=1, version=registrar.version))
    start_s = time.perf_counter()
    for number in range(LOOPS):
        answer = registrar.answer(decode(request), now_ms=LOOPS + number)
        encode(answer)
    assert type(answer) is LeaseAnswer
    return 1e6 * (time.perf_counter() - start_s) / LOOPS


def members_part():
    """Measure membership by number of members, and how fast a version spreads."""
    rows = []
    for count in MEMBERS:
        figures = [_member_figures(count, seed) for seed in SEEDS]
        rows.append((count, *(spread(column) for column in zip(*figures, strict=True))))
    columns = (
        "members",
        "sent bytes/s",
        "CPU % a member",
        "false deaths",
        "all know a death s",
        "version at 50 % ms",
        "version at all ms",
    )
    print_table("Membership, 1 s a probe, no loss, delay 1 to 3 ms", columns, rows)


def _member_figures(count, seed):
    network = _converged_network(count, seed)
    before, start_s = network.bytes.total(), time.process_time()
    network.run(SECONDS * PROBE_MS)
    rate = (network.bytes.total() - before) / count / SECONDS
    share = 100 * (time.process_time() - start_s) / count / SECONDS
    false_deaths = len(network.removals)
    half_ms, all_ms = _version_times(network)
    victim = "entry-9"
    network.kill(victim)

    def all_removed():
        return all(victim not in _live(member) for member in network.members.values())

    death_s = network.run(120 * PROBE_MS, until=all_removed) / 1_000
    return rate, share, false_deaths, death_s, half_ms, all_ms


def _converged_network(count, seed):
    """Return a network in which every member has the record of every other one."""
    network = MemberNetwork(rng=random.Random(seed), count=count)
    for member in network.members.values():
        for other in network.members.values():
            if other is not member:
                member.records.put(other.record, now_ms=0)
        member._gossip.take(1, members=1)
        member._announced_count_bits = 64
    network.run(12 * PROBE_MS)
    return network


def _live(member):
    return {record.name for record in member.records.live()}


def _version_times(network):
    start_ms = network.now_ms
    network.set_version("entry-5", 7)
    half_ms = None
    while True:
        network._run_to(network.now_ms + 5)
        reached = sum(version == 7 for version in network.versions.values())
        if half_ms is None and reached >= len(network.versions) / 2:
            half_ms = network.now_ms - start_ms
        if reached == len(network.versions):
            return half_ms, network.now_ms - start_ms


def churn_part():
    """Measure membership while members leave and restart continuously."""
    rows = []
    for count in CHURN_MEMBERS:
        for per_s in RESTARTS_PER_S:
            rates, known, unplanned_shares = [], [], []
            for seed in SEEDS:
                rate, share, unplanned = _churn_figures(count, per_s, seed)
                rates.append(rate)
                known.append(share)
                unplanned_shares.append(unplanned)
            rows.append(
                (count, per_s, spread(rates), spread(known), spread(unplanned_shares))
            )
    columns = (
        "members",
        "restarts/s",
        "sent bytes/s",
        "known of the live %",
        "goodbyes missed %",
    )
    print_table(
        "Membership with restarts: planned leave, new incarnation", columns, rows
    )


def _churn_figures(count, per_s, seed):
    network = _converged_network(count, seed)
    network.removals.clear()
    before = network.bytes.total()
    for number in range(int(CHURN_SECONDS * per_s)):
        name = f"entry-{(7 * number + 5) % count}"
        network.leave(name)
        network.run(RESTART_MS)
        network.start(name)
        network.run(1_000 / per_s - RESTART_MS)
    rate = (network.bytes.total() - before) / count / CHURN_SECONDS
    known = [len(network.known(name)) for name in network.members]
    share = 100 * sum(known) / len(known) / len(network.members)
    unplanned = sum(not action.planned for _, _, action in network.removals)
    return rate, share, 100 * unplanned / max(1, len(network.removals))


def loss_part():
    """Measure membership while the network loses datagrams."""
    rows = []
    for count in LOSS_MEMBERS:
        for loss in LOSSES:
            figures = [_loss_figures(count, loss, seed) for seed in SEEDS]
            columns = (spread(column) for column in zip(*figures, strict=True))
            rows.append((count, 100 * loss, *columns))
    columns = ("members", "loss %", "sent bytes/s", "false deaths told")
    print_table("Membership under loss for 60 s", columns, rows)


def _loss_figures(count, loss, seed):
    network = _converged_network(count, seed)
    network.removals.clear()
    network.loss = loss
    before = network.bytes.total()
    network.run(1_000 * LOSS_SECONDS)
    rate = (network.bytes.total() - before) / count / LOSS_SECONDS
    return rate, len(network.removals)


def real_part():
    """Measure real entries: bytes, processor time, configuration propagation."""
    rows = []
    for entries in ENTRIES:
        with tempfile.TemporaryDirectory() as folder:
            cluster = Cluster(folder=folder, entries=entries)
            try:
                rows.append((entries, *_real_figures(cluster)))
            finally:
                cluster.close()
    columns = (
        "entries",
        "sent bytes/s an entry",
        "CPU % an entry, no callers",
        "confirm asked to applied everywhere ms",
    )
    print_table("Real processes, 11 upstreams, 3 control replicas", columns, rows)


def _real_figures(cluster):
    for name in cluster.replicas:
        cluster.start_replica(name)
    for name in cluster.entries:
        cluster.start_entry(name)
    cluster.start_fabric([7001])
    for number in range(1, 12):
        cluster.start_upstream(f"upstream-{number}", number, "service-0")
    applied = [_create_service(cluster, number) for number in range(REPEATS)]
    time.sleep(5)
    before = {name: _usage(cluster, name) for name in cluster.entries}
    time.sleep(SECONDS)
    after = {name: _usage(cluster, name) for name in cluster.entries}
    rates = [(after[n][0] - before[n][0]) / SECONDS for n in after]
    shares = [100 * (after[n][1] - before[n][1]) / SECONDS for n in after]
    return spread(rates), spread(shares), spread(applied)


def _create_service(cluster, number):
    address = f"{cluster.host(9, 1)}:{7100 + number}"

    def plan():
        arguments = ("--json", "plan", "create-service", f"service-{number}", address)
        done = cluster.operate(*arguments)
        return json.loads(done.stdout) if done.returncode == 0 else None

    planned = wait_until(plan)
    began_s = time.time()
    done = json.loads(cluster.operate("--json", "confirm", planned["plan_id"]).stdout)
    times = [_applied_s(cluster, name, done["version"]) for name in cluster.entries]
    return 1_000 * (max(times) - began_s)


def _applied_s(cluster, name, version):
    """Return the time at which an entry logged that it applied a version."""

    def logged():
        path = cluster.folder / f"{name}.out"
        for line in path.read_text(encoding="utf-8").splitlines():
            if "applied a configuration" in line:
                entry = json.loads(line)
                if entry["version"] == version:
                    return entry["timestamp"]
        return None

    return wait_until(logged)


def _usage(cluster, name):
    counters = _request(cluster, name, MetricsRequest())["counters"]
    with open(f"/proc/{cluster.processes[name].pid}/stat", encoding="ascii") as file:
        fields = file.read().rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    sent = counters["presence_bytes_sent"]
    return sent + HEADER_BYTES * counters[
        "presence_datagrams_sent"
    ], ticks / CLOCK_TICKS


def _request(cluster, name, message):
    host, _, port = cluster.entry_address(name).rpartition(":")

    async def send():
        return await controlclient.request_one(
            (host, int(port)), message, timeout_ms=5_000
        )

    try:
        return json.loads(curio.run(send).text)
    except KnapweeddealError:
        return {"version": 0, "counters": {}}


PARTS = {
    "entry": entry_part,
    "registrar": registrar_part,
    "members": members_part,
    "churn": churn_part,
    "loss": loss_part,
    "real": real_part,
}


def main(names):
    """Run the named parts; return the exit status."""
    print_head(f"python -m bench.directory {' '.join(names)}".strip())
    for name in names or PARTS:
        PARTS[name]()
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
