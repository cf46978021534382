"""knapweeddeal.libraries: The platform that the libraries were installed for."""

import importlib.machinery
import os
import sys

from knapweeddeal.errors import BadInstallError

__all__ = ["MARKER_NAME", "PLATFORM", "check_platform"]

#: File that `deploy/build.py` writes into the libraries' folder; its first line is the
#: platform.
MARKER_NAME = "INSTALLED"
#: Suffix of compiled modules for this interpreter, system and processor.
PLATFORM = importlib.machinery.EXTENSION_SUFFIXES[0]


def check_platform(folders=None):
    """Raise BadInstallError if libraries on Python's path are for another platform.

    Some would load nevertheless, without their compiled code, and others would only
    fail at their first use.
    """
    for folder in sys.path if folders is None else folders:
        try:
            with open(os.path.join(folder, MARKER_NAME), encoding="utf-8") as marker:
                platform = marker.readline().strip()
        except OSError:
            continue
        if platform != PLATFORM:
            raise BadInstallError(
                f"expected libraries for {PLATFORM}; build them again",
                field=folder,
                value=platform,
            )
