"""tests.test_build: Tests of the build command in `deploy/system.toml`."""

import os
import shutil
import subprocess
import sysconfig
import tempfile
import tomllib
from pathlib import Path

import testscenarios
import testtools

ROOT = Path(__file__).resolve().parent.parent
BUILD = tomllib.loads((ROOT / "deploy/system.toml").read_text("utf-8"))["build"]
TIMEOUT_S = 60
#: What the build command uses of the package.
PACKAGE_FILES = ("__init__.py", "errors.py", "libraries.py")
#: A time in the past, for files that seem older than all others.
EARLIER_S = 1_000_000_000
#: Modules that the fake pip installs, the last one as compiled code.
MODULES = ("curio", "eliot", "h11", "hdrh/histogram", "msgpack")
COMPILED = "msgpack/_cmsgpack.cpython-311-any.so"
#: A pip that notes each run. The variable FAIL lets it end after the first module, and
#: BROKEN lets it install modules that can't be loaded.
FAKE_PIP = """
import os, pathlib, sys
names = {modules}
target = pathlib.Path(sys.argv[sys.argv.index("--target") + 1])
runs = pathlib.Path(__file__).parent / "runs"
runs.write_text(runs.read_text() + "x" if runs.exists() else "x")
for name in names:
    path = target / name / "__init__.py"
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(os.environ.get("BROKEN", f"NAME = {{name!r}}\\n"))
    if "FAIL" in os.environ:
        sys.exit(1)
(target / "{compiled}").write_text("code for this VM")
"""


def empty(libraries):
    """Remove all libraries but not their folder."""
    shutil.rmtree(libraries)
    libraries.mkdir()


def remove_module(libraries):
    """Remove one module, as an install that was broken off lacks it."""
    shutil.rmtree(libraries / "hdrh")


def truncate_module(libraries):
    """Empty one module, as a loss of power may."""
    (libraries / "hdrh/histogram/__init__.py").write_text("")


def copy_from_another_vm(libraries):
    """Replace compiled code by that of another VM."""
    (libraries / COMPILED).rename(libraries / "msgpack/_cmsgpack.cpython-311-other.so")


def add_leftover(libraries):
    """Add a module of an earlier release."""
    (libraries / "removed.py").write_text("")


def add_dangling_link(libraries):
    """Add a link to nothing, which can't be read."""
    (libraries / "link.py").symlink_to("nowhere")


class Build(testscenarios.TestWithScenarios, testtools.TestCase):
    """Run the build command in a copy of the deploy files, with a fake pip."""

    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.root = Path(folder.name)
        shutil.copytree(ROOT / "deploy", self.root / "deploy")
        (self.root / "knapweeddeal").mkdir()
        for name in PACKAGE_FILES:
            shutil.copy(ROOT / "knapweeddeal" / name, self.root / "knapweeddeal")
        (self.root / "target").mkdir()
        pip = self.root / "pip"
        pip.mkdir()
        (pip / "__init__.py").touch()
        (pip / "__main__.py").write_text(
            FAKE_PIP.format(modules=MODULES, compiled=COMPILED)
        )
        self.runs_path = pip / "runs"
        self.libraries = self.root / "target/deps"

    def build(self, **variables):
        """Run the build command; return its exit status."""
        return subprocess.run(
            BUILD,
            shell=True,
            cwd=self.root,
            env={**os.environ, "PYTHONPATH": str(self.root), **variables},
            capture_output=True,
            timeout=TIMEOUT_S,
            check=False,
        ).returncode

    def files(self):
        """Return the libraries' files and contents, but for marker and bytecode."""
        return {
            str(path.relative_to(self.libraries)): (
                path.read_text("utf-8") if path.exists() else None
            )
            for path in self.libraries.rglob("*")
            if path.suffix in (".py", ".so")
        }


class DamagedLibraries(Build):
    """A folder that isn't whole or is of another VM must be replaced by the build.

    It was taken as built because it was newer than the requirements.
    """

    scenarios = [
        ("empty", {"damage": staticmethod(empty)}),
        ("module missing", {"damage": staticmethod(remove_module)}),
        ("module truncated", {"damage": staticmethod(truncate_module)}),
        ("another VM", {"damage": staticmethod(copy_from_another_vm)}),
        ("leftover", {"damage": staticmethod(add_leftover)}),
        ("dangling link", {"damage": staticmethod(add_dangling_link)}),
    ]

    def test_replaced(self):
        self.assertEqual(0, self.build())
        expected = self.files()
        self.damage(self.libraries)
        self.assertNotEqual(expected, self.files())
        self.assertEqual(0, self.build())
        self.assertEqual(expected, self.files())


class Requirements(Build):
    """Changed requirements must be installed, whatever the times of the files say.

    Times don't tell: a copy keeps those of another checkout.
    """

    scenarios = [
        ("unchanged", {"added": "", "runs": "x"}),
        ("changed", {"added": "other==1.0\n", "runs": "xx"}),
    ]

    def test_installed(self):
        self.assertEqual(0, self.build())
        path = self.root / "deploy/requirements.txt"
        with open(path, "a", encoding="utf-8") as requirements:
            requirements.write(self.added)
        os.utime(path, (EARLIER_S, EARLIER_S))
        self.assertEqual(0, self.build())
        self.assertEqual(self.runs, self.runs_path.read_text("utf-8"))


class FailedInstall(Build):
    """An install that fails must fail the build, and the next one must start anew."""

    scenarios = [
        ("broken off", {"variables": {"FAIL": "1"}}),
        ("can't be loaded", {"variables": {"BROKEN": "raise ImportError"}}),
    ]

    def test_failed(self):
        self.assertNotEqual(0, self.build(**self.variables))
        self.assertEqual(0, self.build())
        expected = sorted([COMPILED, *(f"{name}/__init__.py" for name in MODULES)])
        self.assertEqual(expected, sorted(self.files()))
        self.assertEqual(["deps"], [p.name for p in self.root.glob("target/deps*")])


class Environment(testscenarios.TestWithScenarios, testtools.TestCase):
    """`make` must not use a virtual environment that was copied from another VM.

    It took any environment as installed that was newer than the requirements.
    """

    platform = sysconfig.get_config_var("SOABI")
    scenarios = [
        ("this platform", {"stamp": f".installed-{platform}", "installs": False}),
        ("another platform", {"stamp": ".installed-cpython-other", "installs": True}),
        ("unknown platform", {"stamp": ".installed", "installs": True}),
    ]

    def test_installs(self):
        with tempfile.TemporaryDirectory() as folder:
            for name in ("Makefile", "pyproject.toml", "constraints.txt"):
                shutil.copyfile(ROOT / name, Path(folder) / name)
            stamp = Path(folder) / ".venv" / self.stamp
            stamp.parent.mkdir()
            stamp.touch()
            done = subprocess.run(
                ["make", "--dry-run", "test"],
                cwd=folder,
                capture_output=True,
                text=True,
                timeout=TIMEOUT_S,
                check=True,
            )
        self.assertEqual(self.installs, "pip install" in done.stdout)
