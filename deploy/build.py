"""Install the libraries into `target/deps`, and compile the package.

The folder gets its name once it is complete. Its marker says for which platform and
from which requirements it was installed, and what it holds: times don't tell whether an
install was completed, or copied from another VM.
"""

import compileall
import fcntl
import hashlib
import os
import shutil
import subprocess
import sys
import tempfile
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from knapweeddeal.libraries import MARKER_NAME, PLATFORM  # noqa: E402

PACKAGE = ROOT / "knapweeddeal"
REQUIREMENTS = ROOT / "deploy" / "requirements.txt"
TARGET = ROOT / "target"
LIBRARIES = TARGET / "deps"
#: Modules that the daemon imports, some of them only once they are used.
MODULES = ("curio", "eliot", "h11", "hdrh.histogram", "msgpack")
TEMPORARY_PREFIX = "install-"


def main():
    """Build what the daemons need; return the exit status."""
    TARGET.mkdir(exist_ok=True)
    with open(TARGET / "build.lock", "w", encoding="utf-8") as lock:
        # Builds may run concurrently; the lock ends with its process.
        fcntl.flock(lock, fcntl.LOCK_EX)
        if not is_complete(LIBRARIES):
            try:
                install()
            except subprocess.CalledProcessError as error:
                print(f"build: failed to install the libraries: {error}")
                return 1
    # Bytecode is written again even if it seems as old as its source.
    return 0 if compileall.compile_dir(PACKAGE, quiet=1, force=True) else 1


def is_complete(folder):
    """Return whether a folder holds what an install for this platform left."""
    try:
        marker = (folder / MARKER_NAME).read_text(encoding="utf-8")
        return marker == marker_text(folder)
    except (OSError, ValueError):
        # Damage may also be a file that can't be read, or a name that isn't UTF-8.
        return False


def marker_text(folder):
    """Return the platform, and a digest of the requirements and the folder's files."""
    digest = hashlib.sha256(REQUIREMENTS.read_bytes())
    for path in sorted(folder.rglob("*")):
        if path.name == MARKER_NAME or "__pycache__" in path.parts or path.is_dir():
            continue
        data = path.read_bytes()
        digest.update(f"\n{path.relative_to(folder)} {len(data)}\n".encode())
        digest.update(data)
    return f"{PLATFORM}\n{digest.hexdigest()}\n"


def install():
    """Install the libraries into a new folder that replaces the old one.

    Raises subprocess.CalledProcessError if a library can't be installed or loaded.
    """
    for leftover in TARGET.glob(f"{TEMPORARY_PREFIX}*"):
        shutil.rmtree(leftover)
    with tempfile.TemporaryDirectory(prefix=TEMPORARY_PREFIX, dir=TARGET) as temporary:
        folder = Path(temporary) / "new"
        _run_pip(folder)
        _import_modules(folder)
        (folder / MARKER_NAME).write_text(marker_text(folder), encoding="utf-8")
        if os.path.lexists(LIBRARIES):
            LIBRARIES.rename(Path(temporary) / "old")
        folder.rename(LIBRARIES)


def _run_pip(folder):
    options = ["--quiet", "--disable-pip-version-check", "--no-deps"]
    files = ["--target", folder, "--requirement", REQUIREMENTS]
    command = [sys.executable, "-m", "pip", "install", *options, *files]
    subprocess.run(command, check=True)


def _import_modules(folder):
    program = f"import {', '.join(MODULES)}"
    subprocess.run(
        [sys.executable, "-S", "-c", program],
        env={**os.environ, "PYTHONPATH": str(folder)},
        check=True,
    )


if __name__ == "__main__":
    sys.exit(main())
