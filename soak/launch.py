"""soak.launch: Start daemons as processes, with faults where they are wanted."""

import json
import os
import subprocess
import sys
from pathlib import Path

from soak.faultydaemon import FAULTS_VARIABLE

__all__ = ["start_daemon", "write_faults"]

ROOT = Path(__file__).resolve().parent.parent


def start_daemon(settings_path, *, faults_path=None, **streams):
    """Return a daemon's process; a file that names its faults replaces its launcher."""
    module, env = "knapweeddeal.daemon", None
    if faults_path is not None:
        module = "soak.faultydaemon"
        env = {**os.environ, FAULTS_VARIABLE: str(faults_path)}
    return subprocess.Popen(
        [sys.executable, "-m", module, settings_path], cwd=ROOT, env=env, **streams
    )


def write_faults(path, **faults):
    """Turn on these faults and no others.

    `sync_ms` delays each sync, `stalled` holds syncs until it is off, `full` refuses
    them, `wall_ms` shifts the time of day.
    """
    temporary = path.with_suffix(".new")
    temporary.write_text(json.dumps(faults), encoding="utf-8")
    temporary.replace(path)
