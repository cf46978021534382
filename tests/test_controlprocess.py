"""tests.test_controlprocess: Tests of control replicas as real processes."""

import json
import signal
import threading
import time

import curio
import testscenarios
import testtools

from knapweeddeal.controlclient import collect_refusals, request_leader
from knapweeddeal.errors import (
    ConflictError,
    CorruptStorageError,
    InvalidIntentError,
    KnapweeddealError,
    NoQuorumError,
)
from knapweeddeal.messages.control import (
    ConfigurationPush,
    ConfigurationRequest,
    Replica,
)
from knapweeddeal.messages.operator import (
    ConfirmRequest,
    DumpRequest,
    IntentStep,
    MetricsRequest,
    PlanRequest,
    RefusalsRequest,
    ReplicasRequest,
    ReplicaSwapRequest,
    ServicesRequest,
    StatusRequest,
)
from knapweeddeal.messages.peer import (
    PeerHello,
    RefusalAck,
    RefusalBatch,
    RefusalRecord,
)
from knapweeddeal.stream import connect
from tests.processes import WAIT_S, ControlProcesses, wait_until

NO_REPLICA = Replica(name="", identity=0, host="", port=0)


def plan_request(number, request_id, *, operator="ana"):
    """Return a request for a plan that creates a service."""
    step = IntentStep(
        action="create-service",
        service=f"service-{number}",
        host="127.0.0.1",
        port=1000 + number,
        upstream_id="",
    )
    return PlanRequest(request_id=request_id, operator=operator, steps=[step])


def confirm_request(plan_id, request_id, *, operator="ana"):
    """Return a request that confirms a plan."""
    return ConfirmRequest(request_id=request_id, operator=operator, plan_id=plan_id)


def refusal(number):
    """Return a refusal."""
    return RefusalRecord(
        record_id=number,
        caller="127.0.0.1:5",
        service="web",
        flow_id=number,
        number=1,
        refused_ms=number,
        entry_id="e1",
        reason="no_upstream",
    )


class GroupTest(testtools.TestCase):
    """Start a cluster of control replicas for each test."""

    def start_group(self, **settings):
        """Start a cluster and wait until it has a leader."""
        self.group = ControlProcesses(**settings)
        self.addCleanup(self.group.close)
        self.group.wait_for_leader()
        return self.group

    def change(self, number, **options):
        """Plan and confirm a new service, and return the version."""
        plan = self.group.request_leader(
            plan_request(number, f"plan-{number}"), **options
        )
        request = confirm_request(plan.plan_id, f"confirm-{number}")
        return self.group.request_leader(request, **options).version

    def leader(self, **options):
        """Return the leader's name."""
        return self.group.request_leader(StatusRequest(), **options).leader

    def followers(self):
        """Return the names of the followers."""
        leader = self.leader()
        return [name for name in self.group.daemons if name != leader]

    def services(self, **options):
        """Return the names of the services in force."""
        answer = self.group.request_leader(ServicesRequest(), **options)
        return sorted(entry.name for entry in answer.services)

    def lose_disk(self, name):
        """Crash a replica and start it with an empty folder."""
        self.group.daemons[name].kill()
        self.group.wipe_disk(name)
        self.group.daemons[name].start()

    def candidate(self, name):
        """Return the candidate of a name, or None."""
        found = self.group.request_leader(ReplicasRequest()).candidates
        return next((replica for replica in found if replica.name == name), None)

    def swap(self, old, new, request_id="swap"):
        """Replace a member by a candidate."""
        request = ReplicaSwapRequest(
            request_id=request_id, operator="ana", add=new, remove=old.identity
        )
        return self.group.request_leader(request)

    def member(self, name):
        """Return the member of a name."""
        members = self.group.request_leader(ReplicasRequest()).members
        return next(replica for replica in members if replica.name == name)

    def pushed(self, name, *, applied=0):
        """Return the version that a replica pushes to an entry at once, or 0."""
        return curio.run(self._pushed, self.group.addresses[name], applied)

    async def _pushed(self, address, applied):
        stream = await self.open_entry_stream(address, applied)
        push = await curio.ignore_after(WAIT_S, stream.receive)
        await stream.close()
        return push.configuration.version if push else 0

    async def open_entry_stream(self, address, applied):
        """Open a stream as an entry and report the applied version."""
        stream = await connect(address, timeout_ms=1_000)
        await stream.send_all(
            (
                PeerHello(name="e1", incarnation=1, zone="z"),
                ConfigurationRequest(
                    name="e1", incarnation=1, zone="z", applied_version=applied
                ),
            )
        )
        return stream


class Confirm(GroupTest):
    """A confirmed change is pushed to entries and takes effect exactly once."""

    def test_push_and_entry_status(self):
        group = self.start_group()
        follower = self.followers()[0]
        curio.run(self.confirm_and_expect_push, group.addresses[follower])
        status = wait_until(
            lambda: (lambda s: s if s.entries else None)(
                group.request_leader(StatusRequest())
            ),
            "the follower's entry in the leader's status",
        )
        entry = status.entries[0]
        self.assertEqual(
            ("e1", "z", 0), (entry.name, entry.zone, entry.applied_version)
        )
        self.assertEqual(1, status.version)

    async def confirm_and_expect_push(self, address):
        """Connect as an entry, confirm a change, and expect its push."""
        stream = await self.open_entry_stream(address, 0)
        version = await curio.run_in_thread(self.change, 1)
        push = await curio.timeout_after(WAIT_S, stream.receive)
        self.assertIsInstance(push, ConfigurationPush)
        self.assertEqual(version, push.configuration.version)
        await stream.close()

    def test_dump_and_metrics(self):
        group = self.start_group()
        self.change(1)
        leader = self.leader()
        state = group.request_one(leader, DumpRequest(max_bytes=1 << 16)).text
        self.assertEqual(1, json.loads(state)["version"])
        metrics = json.loads(group.request_one(leader, MetricsRequest()).text)
        self.assertEqual(1, metrics["us"]["ConfirmAsk"]["count"])
        self.assertTrue(metrics["us"]["persist"]["count"] >= 3)

    def test_two_operators_race(self):
        group = self.start_group()
        for round_number in range(3):
            plans = [
                group.request_leader(
                    plan_request(
                        10 * round_number + i, f"p{round_number}", operator=name
                    )
                )
                for i, name in enumerate(("ana", "ben"))
            ]
            self.assertEqual(plans[0].base_version, plans[1].base_version)
            results = {}

            def confirm(name, plan, results=results, round_number=round_number):
                request = confirm_request(
                    plan.plan_id, f"c{round_number}", operator=name
                )
                try:
                    results[name] = group.request_leader(request).version
                except ConflictError as error:
                    results[name] = f"lost to {error.value}"

            threads = [
                threading.Thread(target=confirm, args=pair)
                for pair in zip(("ana", "ben"), plans, strict=True)
            ]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
            version = plans[0].base_version + 1
            self.assertEqual(
                sorted([str(version), f"lost to {version}"]),
                sorted(map(str, results.values())),
            )

    def test_bad_commands(self):
        group = self.start_group()
        self.assertRaises(
            InvalidIntentError,
            group.request_leader,
            confirm_request("plan-0", "r"),
            timeout_ms=2_000,
        )
        request = ReplicaSwapRequest(
            request_id="s", operator="ana", add=NO_REPLICA.replace(name="x"), remove=0
        )
        self.assertRaises(InvalidIntentError, group.request_leader, request)


class LeaderCrash(testscenarios.TestWithScenarios, GroupTest):
    """A confirmation retried after a leader crash takes effect once.

    The leader crashes before, while or after it commits the confirmation, so the
    client retries with the same request id. With one replica down and another one
    still starting, the answer is soon `no_quorum`; the operators' guide says to send
    the same request id again.
    """

    scenarios = [
        (f"after {wait_ms} ms", {"wait_ms": wait_ms, "pause_s": 0})
        for wait_ms in (0, 2, 4, 8)
    ]
    scenarios.append(("slow restart", {"wait_ms": 2, "pause_s": 2}))

    def test_retry(self):
        group = self.start_group()
        self.change(1)
        plan = group.request_leader(plan_request(2, "p2"))
        leader = self.leader()
        request = confirm_request(plan.plan_id, "c2")
        results = []
        thread = threading.Thread(
            target=lambda: results.append(group.request_leader(request))
        )
        thread.start()
        time.sleep(self.wait_ms / 1000)
        group.daemons[leader].kill()
        thread.join()
        self.assertEqual([2], [answer.version for answer in results])
        self.assertEqual(results[0], group.request_leader(request))
        self.assertEqual(["service-1", "service-2"], self.services())
        group.daemons[leader].start()
        if self.pause_s:
            self.pause_process(group.daemons[leader])
        group.daemons[self.leader()].kill()
        self.assertEqual(results[0], self.retry_until_majority(request))
        self.assertEqual(plan, group.request_leader(plan_request(2, "p2")))
        self.assertEqual(3, self.change(3))

    def pause_process(self, daemon):
        """Pause a process that starts, as happens on a busy VM."""
        daemon.signal(signal.SIGSTOP)
        timer = threading.Timer(self.pause_s, daemon.signal, (signal.SIGCONT,))
        timer.start()
        self.addCleanup(timer.join)

    def retry_until_majority(self, request):
        """Retry a request until a majority answers; return the answer."""
        return wait_until(lambda: self.answer_or_none(request), "a majority")

    def answer_or_none(self, request):
        """Return the answer, or None while there is no majority."""
        try:
            return self.group.request_leader(request)
        except NoQuorumError:
            return None


class PlannedStop(GroupTest):
    """A planned stop of the leader transfers leadership.

    Without the transfer, changes would wait for an election timeout.
    """

    def test_leader(self):
        group = self.start_group()
        leader = self.leader()
        self.assertEqual(0, group.daemons[leader].stop())
        began_s = time.monotonic()
        self.assertEqual(1, self.change(1))
        spent_ms = (time.monotonic() - began_s) * 1000
        self.assertTrue(spent_ms < group.timing["election_ms"], spent_ms)
        self.assertEqual("", group.daemons[leader].errors())


class PlannedReplacement(testscenarios.TestWithScenarios, GroupTest):
    """A loss of disks follows the end of a VM whose replacement has joined.

    Guards against a member that left for good and still counts: the loss of as many
    disks as are tolerated left the log without a leader for good.
    """

    scenarios = [
        ("three members, a follower", {"count": 3, "losses": 1, "leads": False}),
        ("three members, the leader", {"count": 3, "losses": 1, "leads": True}),
        ("five members, the leader", {"count": 5, "losses": 2, "leads": True}),
    ]

    def test_change(self):
        control = {"heals_itself": "true", "tolerated_losses": self.losses}
        group = self.start_group(count=self.count, control=control)
        group.add_empty("g")
        self.wait_for_members(self.count + 1)
        self.change(1)
        old = self.leader() if self.leads else self.followers()[0]
        self.assertEqual(0, group.daemons[old].stop())
        group.remove(old)
        lost = [name for name in group.daemons if name != "g"][: self.losses]
        for name in lost:
            group.daemons[name].kill()
            group.wipe_disk(name)
        for name in lost:
            group.daemons[name].start()
        version = wait_until(lambda: self.change_or_none(2), "a change")
        self.assertEqual(2, version)
        self.assertEqual(["service-1", "service-2"], self.services())

    def wait_for_members(self, count):
        """Wait until the log has a number of members."""

        def has_members():
            answer = self.group.request_leader(ReplicasRequest())
            return len(answer.members) == count

        wait_until(has_members, f"{count} members")

    def change_or_none(self, number):
        """Return the version of a change, or None while there is no majority."""
        try:
            return self.change(number)
        except NoQuorumError:
            return None


class PausedMember(GroupTest):
    """A member that is paused leaves the quorum, stays known and votes again.

    Guards against forgetting a replica that upstreams still report to and forwarders
    ask for permits.
    """

    def test_nonvoter(self):
        control = {"heals_itself": "true", "tolerated_losses": 1}
        group = self.start_group(count=4, control=control)
        paused = self.followers()[0]
        group.daemons[paused].signal(signal.SIGSTOP)
        wait_until(lambda: self.members_and_nonvoters() == (3, [paused]), "a demotion")
        self.change(1)
        group.daemons[paused].signal(signal.SIGCONT)
        wait_until(lambda: self.members_and_nonvoters() == (4, []), "its return")

    def members_and_nonvoters(self):
        """Return the leader's number of members, and the names of nonvoters."""
        leader = self.group.wait_for_leader().leader
        answer = self.group.request_one(leader, DumpRequest(max_bytes=1 << 16))
        state = json.loads(answer.text)
        return len(state["members"]), state["nonvoters"]


class NoQuorum(GroupTest):
    """Without a majority every request fails within three election timeouts.

    A lone replica must not answer from state that may be out of date.
    """

    def test_all_requests(self):
        group = self.start_group()
        self.change(1)
        plan = group.request_leader(plan_request(2, "p2"))
        last, *others = self.followers()
        for name in (*others, self.leader()):
            group.daemons[name].kill()
        self.assertRaises(NoQuorumError, group.request_leader, StatusRequest())
        requests = [
            StatusRequest(),
            ServicesRequest(),
            ReplicasRequest(),
            plan_request(3, "p3"),
            confirm_request(plan.plan_id, "c2"),
        ]
        for request in requests:
            began_s = time.monotonic()
            self.assertRaises(NoQuorumError, group.request_one, last, request)
            spent_ms = (time.monotonic() - began_s) * 1000
            self.assertTrue(spent_ms < 3 * group.timing["election_ms"], spent_ms)

    def test_lone_replica_pushes_confirmed_version_after_restart(self):
        group = self.start_group()
        version = self.change(1)
        last = self.followers()[0]
        for name in group.daemons:
            group.daemons[name].stop()
        group.daemons[last].start()
        wait_until(lambda: self.dump_or_none(last), "the restart")
        self.assertEqual(version, self.pushed(last))

    def dump_or_none(self, name):
        """Return the replica's dump, or None while it doesn't answer."""
        try:
            return self.group.request_one(name, DumpRequest(max_bytes=4096))
        except KnapweeddealError:
            return None


class PausedVMs(testscenarios.TestWithScenarios, GroupTest):
    """Changes succeed during repeated pauses of all VMs, only later.

    A pause makes all replicas miss heartbeats and time out at once.
    """

    scenarios = [
        (f"{pause_ms} ms", {"pause_ms": pause_ms}) for pause_ms in (400, 700, 1_000)
    ]

    def test_changes(self):
        group = self.start_group()
        changes = threading.Thread(target=self.change_some)
        self.versions = []
        changes.start()
        for _ in range(4):
            time.sleep(0.4)
            self.signal_all(signal.SIGSTOP)
            time.sleep(self.pause_ms / 1000)
            self.signal_all(signal.SIGCONT)
        changes.join()
        self.assertEqual(list(range(1, 41)), self.versions)
        self.assertEqual(40, group.request_leader(StatusRequest()).version)

    def change_some(self):
        """Make 40 changes one after another."""
        for number in range(1, 41):
            time.sleep(0.03)
            self.versions.append(self.change(number))

    def signal_all(self, number):
        """Send a signal to all replicas."""
        for daemon in self.group.daemons.values():
            daemon.signal(number)


class StalledDisks(testscenarios.TestWithScenarios, GroupTest):
    """Changes succeed although disks stall for a while, only later.

    A stalled sync delays acknowledgements and may cost the leader its term.
    """

    scenarios = [
        ("leader, 800 ms", {"stalled_on": "leader", "stall_ms": 800}),
        ("leader, 2,000 ms", {"stalled_on": "leader", "stall_ms": 2_000}),
        ("followers, 2,000 ms", {"stalled_on": "followers", "stall_ms": 2_000}),
        ("all, 800 ms", {"stalled_on": "all", "stall_ms": 800}),
        ("all, 2,000 ms", {"stalled_on": "all", "stall_ms": 2_000}),
        ("all, 4,000 ms", {"stalled_on": "all", "stall_ms": 4_000}),
    ]

    def test_changes(self):
        group = self.start_group(fault_injection=True)
        self.change(1)
        leader = self.leader()
        names = {
            "leader": [leader],
            "followers": self.followers(),
            "all": list(group.daemons),
        }[self.stalled_on]
        for name in names:
            group.daemons[name].set_faults(stalled=True)
        resuming = threading.Timer(self.stall_ms / 1000, self.end_stall, [names])
        resuming.start()
        versions = [self.change(number) for number in (2, 3, 4)]
        resuming.join()
        self.assertEqual([2, 3, 4], versions)
        self.assertEqual(4, group.request_leader(StatusRequest()).version)

    def end_stall(self, names):
        """End the stall of the disks."""
        for name in names:
            self.group.daemons[name].set_faults()


class FullDisksAtStart(GroupTest):
    """Replicas that start on full disks serve as soon as there is room.

    They ended instead, so that a kill of all with full disks left the log without a
    leader until an operator started them again (soak seed 4069013408).
    """

    def test_change(self):
        group = self.start_group(fault_injection=True)
        self.change(1)
        for daemon in group.daemons.values():
            daemon.kill()
            daemon.set_faults(full=True)
            daemon.start()
        for daemon in group.daemons.values():
            wait_until(lambda d=daemon: "is full" in d.log_path.read_text(), "a try")
        for daemon in group.daemons.values():
            self.assertIs(None, daemon.process.poll(), daemon.errors())
            daemon.set_faults()
        group.wait_for_leader()
        self.assertEqual(2, self.change(2))


class PausedWithSlowDisks(testscenarios.TestWithScenarios, GroupTest):
    """Changes succeed after a pause of all VMs with slow disks.

    Elections then take several rounds. A leader search that gave up after one round of
    failures lost the first change here, and once in `Restart.test_300_changes`.
    """

    scenarios = [
        (f"{sync_ms} ms a sync", {"sync_ms": sync_ms}) for sync_ms in (150, 300)
    ]

    def test_changes(self):
        group = self.start_group(fault_injection=True)
        self.change(1)
        for daemon in group.daemons.values():
            daemon.set_faults(sync_ms=self.sync_ms)
        pausing = threading.Thread(target=self.pause_all)
        pausing.start()
        versions = [self.change(number) for number in (2, 3, 4)]
        pausing.join()
        self.assertEqual([2, 3, 4], versions)

    def pause_all(self):
        """Pause all replicas for half a second; 3 s later make the disks fast again."""
        daemons = self.group.daemons.values()
        time.sleep(0.2)
        for daemon in daemons:
            daemon.signal(signal.SIGSTOP)
        time.sleep(0.5)
        for daemon in daemons:
            daemon.signal(signal.SIGCONT)
        time.sleep(3.0)
        for daemon in daemons:
            daemon.set_faults()


class PausedReplica(GroupTest):
    """A replica paused during changes serves no stale state and reverts nothing.

    A paused leader still holds its old term and state when it resumes.
    """

    def test_leader(self):
        self.pause_during_changes(lambda: self.leader())

    def test_follower(self):
        self.pause_during_changes(lambda: self.followers()[0])

    def pause_during_changes(self, choose_replica):
        """Pause a replica, confirm changes, and resume it."""
        group = self.start_group()
        self.change(1)
        paused = choose_replica()
        running = [name for name in group.daemons if name != paused]
        group.daemons[paused].signal(signal.SIGSTOP)
        self.addCleanup(group.daemons[paused].signal, signal.SIGCONT)
        late_versions = []
        reader = threading.Thread(
            target=self.record_late_answer, args=(paused, late_versions)
        )
        reader.start()
        for number in range(2, 7):
            version = self.change(number, names=running)
        group.daemons[paused].signal(signal.SIGCONT)
        reader.join()
        for _ in range(20):
            self.record_late_answer(paused, late_versions)
        self.assertEqual(
            set(), {answer for answer in late_versions if answer < version}
        )
        self.assertEqual(version, self.group.request_leader(StatusRequest()).version)
        self.assertEqual(6, len(self.services()))
        self.assertEqual(version, self.pushed(paused))

    def record_late_answer(self, name, late_versions):
        """Query the paused replica; record the version if it answers."""
        try:
            late_versions.append(
                self.group.request_one(name, StatusRequest(), timeout_ms=20_000).version
            )
        except KnapweeddealError as error:
            self.assertIn(error.code, ("no_quorum", "not_leader"))

    def test_leader_without_followers(self):
        group = self.start_group()
        self.change(1)
        plan = group.request_leader(plan_request(2, "p2"))
        leader = self.leader()
        others = [name for name in group.daemons if name != leader]
        for name in others:
            group.daemons[name].signal(signal.SIGSTOP)
            self.addCleanup(group.daemons[name].signal, signal.SIGCONT)
        for request in (
            StatusRequest(),
            ServicesRequest(),
            confirm_request(plan.plan_id, "c2"),
        ):
            began_s = time.monotonic()
            self.assertRaises(NoQuorumError, group.request_one, leader, request)
            spent_ms = (time.monotonic() - began_s) * 1000
            self.assertTrue(spent_ms < 3 * group.timing["election_ms"], spent_ms)
        for name in others:
            group.daemons[name].signal(signal.SIGCONT)
        group.wait_for_leader()
        self.assertEqual(
            2, group.request_leader(confirm_request(plan.plan_id, "c2")).version
        )
        self.assertEqual(["service-1", "service-2"], self.services())


class LostDisk(GroupTest):
    """A replica with an empty folder isn't a member until it is swapped in.

    If it voted under its old identity, it could elect a leader that lacks confirmed
    changes.
    """

    def test_repair_then_second_loss(self):
        group = self.start_group(timing={"election_ms": 300})
        for number in range(1, 4):
            self.change(number)
        first, second = self.followers()
        lost_member = self.member(first)
        self.lose_disk(first)
        empty = wait_until(lambda: self.candidate(first), "the empty replica")
        self.assertNotEqual(lost_member.identity, empty.identity)
        answer = self.swap(lost_member, empty)
        identities = {replica.identity for replica in answer.members}
        self.assertEqual(3, len(identities))
        self.assertIn(empty.identity, identities)
        self.assertEqual(answer.members, self.swap(lost_member, empty).members)
        self.change(4)
        lost_member = self.member(second)
        self.lose_disk(second)
        self.assertEqual(4, len(self.services()))
        empty = wait_until(lambda: self.candidate(second), "the empty replica")
        self.swap(lost_member, empty, "swap-2")
        third = next(n for n in group.daemons if n not in (first, second))
        group.daemons[third].kill()
        self.assertEqual(4, len(self.services()))
        self.assertEqual(5, self.change(5))

    def test_empty_replica_is_not_part_of_the_quorum(self):
        group = self.start_group()
        self.change(1)
        first, second = self.followers()
        self.lose_disk(first)
        wait_until(lambda: self.candidate(first), "the empty replica")
        group.daemons[second].kill()
        self.assertRaises(NoQuorumError, group.request_leader, plan_request(2, "p2"))

    def test_two_empty_replicas_do_not_form_a_cluster(self):
        group = self.start_group()
        self.change(1)
        survivor = self.leader()
        for name in group.daemons:
            group.daemons[name].stop()
        for name in group.daemons:
            if name != survivor:
                group.wipe_disk(name)
        for name in sorted(group.daemons, key=lambda name: name == survivor):
            group.daemons[name].start()
        for _ in range(3):
            self.assertRaises(NoQuorumError, group.request_leader, ServicesRequest())
        wait_until(lambda: self.pushed(survivor) == 1, "the survivor's configuration")


class Restart(GroupTest):
    """A restart after hundreds of changes keeps all confirmed ones and results."""

    def test_300_changes(self):
        group = self.start_group()
        curio.run(self.change_many, 300)
        plan = group.request_leader(plan_request(999, "plan-999"))
        for daemon in group.daemons.values():
            daemon.kill()
        for daemon in group.daemons.values():
            daemon.start()
        group.wait_for_leader()
        self.assertEqual(300, len(self.services()))
        self.assertEqual(300, group.request_leader(StatusRequest()).version)
        resent = group.request_leader(confirm_request(self.plans[7], "confirm-7"))
        self.assertEqual(7, resent.version)
        self.assertEqual(
            301, group.request_leader(confirm_request(plan.plan_id, "c")).version
        )

    async def change_many(self, count):
        """Make changes one after another."""
        addresses = list(self.group.addresses.values())
        self.plans = {}
        for number in range(1, count + 1):
            request = plan_request(number, f"plan-{number}")
            plan = await request_leader(addresses, request, timeout_ms=10_000)
            self.plans[number] = plan.plan_id
            request = confirm_request(plan.plan_id, f"confirm-{number}")
            await request_leader(addresses, request, timeout_ms=10_000)

    def test_corrupt_log_stops_the_process(self):
        group = self.start_group()
        self.change(1)
        name = self.followers()[0]
        daemon = group.daemons[name]
        daemon.kill()
        path = next(group.data_folder(name).glob("log-*"))
        data = bytearray(path.read_bytes())
        data[20] ^= 1
        path.write_bytes(data)
        daemon.start()
        exit_status = daemon.process.wait(WAIT_S)
        self.assertEqual(CorruptStorageError.exit_status, exit_status)
        self.assertNotIn("Traceback", daemon.errors())
        self.assertIn("corrupt_storage", daemon.errors())
        self.assertIn(str(path), daemon.errors())
        self.assertEqual(2, self.change(2))


class Refusals(GroupTest):
    """An acknowledged refusal is on disk: it is found after a crash."""

    def test_crash_after_acknowledgement(self):
        group = self.start_group()
        names = list(group.addresses)
        curio.run(self.send_refusals, group.addresses[names[0]], [1, 2])
        curio.run(self.send_refusals, group.addresses[names[1]], [2, 3])
        for name in names[:2]:
            group.daemons[name].kill()
            group.daemons[name].start()
        found = wait_until(self.find, "the refusals")
        self.assertEqual([1, 2, 3], [record.record_id for record in found])

    async def send_refusals(self, address, numbers):
        """Send a batch and wait for its acknowledgement."""
        stream = await self.open_entry_stream(address, 0)
        batch = RefusalBatch(batch=9, records=[refusal(n) for n in numbers])
        await stream.send(batch)
        answer = await curio.timeout_after(WAIT_S, stream.receive)
        self.assertEqual(RefusalAck(batch=9), answer)
        await stream.close()

    def find(self):
        """Return the refusals of all replicas, or None unless all answer."""
        request = RefusalsRequest(
            service="web", caller="", reason="", since_ms=0, until_ms=0, limit=100
        )
        result = curio.run(self._find, request)
        return result.records if not result.failed_addresses else None

    async def _find(self, request):
        addresses = list(self.group.addresses.values())
        return await collect_refusals(addresses, request, timeout_ms=1_000)
