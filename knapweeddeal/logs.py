"""knapweeddeal.logs: Log lines with a fixed prefix for each part."""

import logging
import sys

import eliot

from knapweeddeal.errors import BadSettingError

__all__ = ["Log", "open_log"]


def open_log(path):
    """Send the log to a file, or to standard error if the path is empty.

    Raises BadSettingError if the file can't be opened.
    """
    eliot.to_file(_open(path) if path else sys.stderr)
    logging.getLogger("curio").setLevel(logging.ERROR)


def _open(path):
    try:
        return open(path, "a", encoding="utf-8")
    except OSError as error:
        raise BadSettingError(
            f"can't be opened: {error.strerror}", field="log_file", value=path
        ) from None


class Log:
    """Write the log lines of one part."""

    __slots__ = ("_prefix",)

    def __init__(self, *, prefix):
        self._prefix = prefix

    def info(self, text, **fields):
        """Write a short sentence and its fields."""
        self._write("info", text, fields)

    def warning(self, text, **fields):
        """Write a short sentence on trouble that the process survives."""
        self._write("warning", text, fields)

    def _write(self, level, text, fields):
        eliot.log_message(
            message_type=self._prefix,
            level=level,
            text=f"{self._prefix}: {text}",
            **fields,
        )
