"""A report without `version`, from another writer, takes a backend's address."""

import time
from pathlib import Path

from review.lab3.case import BROKEN, COULD_NOT_RUN, HELD, ROUTES, Case

#: Id of the other writer's entry: no backend has it.
STRANGER = "i-00c0ffee"
FLOWS = 12
REQUESTS = 30
PAUSE_S = 0.5


def stranger_report(backend):
    """Return a backend's report as another writer sends it, without `version`."""
    return {
        "service": backend.service,
        "addr": backend.addr,
        "zone": backend.zone,
        "slots": 2,
        "state": "ready",
        "coldLeftMs": 0,
        "seq": 1,
        "born": time.time_ns() // 1_000_000,
    }


def body(case):
    """Open flows, let the other writer report once, and look for resets."""
    clients, record = case.clients, case.record
    port = ROUTES["desk"]
    for _ in range(FLOWS):
        clients.open(port, requests=REQUESTS, pause_s=PAUSE_S)
        time.sleep(0.05)
    time.sleep(2)
    open_flows = [flow for flow in clients.flows.values() if flow.is_open]
    if len(open_flows) < FLOWS:
        record.write(f"only {len(open_flows)} of {FLOWS} flows opened")
        return COULD_NOT_RUN
    victim = max(
        (b for b in case.backends if b.service == "desk"),
        key=lambda b: sum(flow.backend is b for flow in open_flows),
    )
    held = [flow for flow in open_flows if flow.backend is victim]
    record.write(f"{victim.id} holds the flows {[flow.sport for flow in held]}")
    reported_s = time.monotonic()
    if case.trouble:
        status, _ = case.system.call(
            "PUT", f"/-/instances/{STRANGER}", stranger_report(victim)
        )
        record.write(f"other writer: a report without version got {status}")
    time.sleep(6)
    opened_before = victim.opened
    for _ in range(60):
        clients.open(port)
        time.sleep(0.1)
    time.sleep(2)
    record.write(
        f"{victim.id} has got {victim.opened - opened_before} of 60 new flows since"
    )
    broken = [
        flow
        for flow, is_system, at_s in clients.resets
        if is_system and flow.backend is victim and at_s >= reported_s
        and flow.sport in victim.open_ports
        and flow.sport not in victim.resets_sent
    ]  # fmt: skip
    record.write(
        f"open flows of {victim.id}, which lives, that the system reset: "
        f"{[flow.sport for flow in broken]}"
    )
    ran = {request_id for b in case.backends for request_id, _ in b.ran}
    lost = [flow.request_id for flow in broken if flow.request_id not in ran]
    record.write(
        "unsafe requests on these flows, which clients don't repeat, that never ran: "
        f"{lost}"
    )
    if any(machine.has_ended for machine in case.system.machines):
        return COULD_NOT_RUN
    return BROKEN if broken else HELD


if __name__ == "__main__":
    Case(folder=Path(__file__).parent).run(body)
