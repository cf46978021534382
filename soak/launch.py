"""soak.launch: Start daemons as processes, with fault injection on request."""

import json
import os
import subprocess
import sys
from pathlib import Path

from soak.faultydaemon import FAULTS_VARIABLE

__all__ = ["start_daemon", "write_faults"]

ROOT = Path(__file__).resolve().parent.parent


def start_daemon(settings_path, *, faults_path=None, **streams):
    """Start a daemon, with fault injection if a file of faults is given."""
    module, env = "knapweeddeal.daemon", None
    if faults_path is not None:
        module = "soak.faultydaemon"
        env = {**os.environ, FAULTS_VARIABLE: str(faults_path)}
    return subprocess.Popen(
        [sys.executable, "-m", module, settings_path], cwd=ROOT, env=env, **streams
    )


def write_faults(path, **faults):
    """Set the active faults of a daemon; clear all others.

    `sync_ms` delays each sync, `stalled` blocks syncs until it is cleared, `full`
    fails them with ENOSPC, `wall_ms` shifts the wall clock.
    """
    temporary = path.with_suffix(".new")
    temporary.write_text(json.dumps(faults), encoding="utf-8")
    temporary.replace(path)
