"""One core machine is replaced as planned, then two others lose their disks."""

import json
import signal
import time
from pathlib import Path

from review.lab3.case import BROKEN, COULD_NOT_RUN, HELD, Case, document
from review.lab3.system import call_one

#: The core of the site: machines, and how many disks may be lost at once.
CORES, TOLERATED = 5, 2
#: Time that the new machine has before the old one leaves; `catchupS` is 6.
SUCCESSOR_S = 20.0
GRACE_S = 6.0
CONTACT_S = 5.0
#: Time that the wiped machines' processes are down.
DOWN_S = 1.0
#: `catchupS` and `recoverS`, and a reserve.
WAIT_S = 6 + 15 + 9


def read_version(case):
    """Read the config at every daemon; return the highest version, or 0 for none."""
    versions, answers = [], []
    for machine in case.system.cores:
        status, data = call_one(machine.ip, "GET", "/-/config", None)
        answers.append(f"{machine.name} {status or 'no answer'}")
        if status == 200:
            versions.append(json.loads(data)["version"])
    case.record.write(f"operator: reads got {', '.join(answers)}")
    return max(versions, default=0)


def body(case):
    """Replace a machine, wipe two others, and read the acknowledged config back."""
    system, record = case.system, case.record
    old, *victims = system.cores[: 1 + TOLERATED]
    new = system.add_core()
    record.write(f"{new.name} at {new.ip} is added, with an empty disk")
    time.sleep(SUCCESSOR_S)
    if not system.publish(document(8)):
        return COULD_NOT_RUN
    record.write("operator: version 8 is confirmed")
    record.write(f"{old.name} gets SIGTERM, as planned work, and is removed for good")
    old.signal(signal.SIGTERM)
    old.process.wait(GRACE_S)
    system.remove_core(old)
    time.sleep(CONTACT_S + 1)
    if not system.publish(document(9)):
        return COULD_NOT_RUN
    record.write("operator: version 9 is confirmed")
    time.sleep(1)
    if case.trouble:
        names = ", ".join(machine.name for machine in victims)
        record.write(f"{names} lose their disks")
        for machine in victims:
            machine.end()
            machine.lose_disk()
        time.sleep(DOWN_S)
        for machine in victims:
            machine.start()
        record.write(f"{names} are back, with empty disks")
    until_s = time.monotonic() + WAIT_S
    while time.monotonic() < until_s:
        version = read_version(case)
        if version:
            record.write(f"operator: read back version {version}")
            return HELD if version == 9 else BROKEN
        time.sleep(0.5)
    record.write(f"operator: no daemon answered a read within {WAIT_S} s")
    if not system.publish(document(10), timeout_s=8):
        record.write("operator: no daemon confirmed version 10 within 8 s")
    if any(machine.has_ended for machine in system.machines):
        record.write("a process ended by itself")
        return COULD_NOT_RUN
    return BROKEN


if __name__ == "__main__":
    Case(
        folder=Path(__file__).parent,
        per_service=1,
        cores=CORES,
        fronts=2,
        tolerated=TOLERATED,
    ).run(body)
