"""knapweeddeal.logs: Log lines with a fixed prefix for each component."""

from knapweeddeal.errors import BadSettingError
from knapweeddeal.loglines import LineSink

__all__ = ["STANDARD_OUTPUT", "Log", "open_log"]

#: Path that means standard output.
STANDARD_OUTPUT = "-"


class EliotSink:
    """Write lines through eliot, to the file passed to `eliot.to_file`."""

    __slots__ = ()

    def write(self, prefix, level, text, fields):
        """Write a line."""
        # Imported late: the import takes longer than the rest of a forwarder's start.
        import eliot

        eliot.log_message(
            message_type=prefix, level=level, text=f"{prefix}: {text}", **fields
        )


class Output:
    """Hold the sink for the log lines of this process."""

    sink = EliotSink()


def open_log(path):
    """Send the log to a file, to standard output, or to standard error.

    Writes to standard output are rate-limited and never block. Raises
    BadSettingError if the file can't be opened.
    """
    if path == STANDARD_OUTPUT:
        Output.sink = LineSink(descriptor=1)
        return
    import sys

    import eliot

    eliot.to_file(_open(path) if path else sys.stderr)


def _open(path):
    try:
        return open(path, "a", encoding="utf-8")
    except OSError as error:
        raise BadSettingError(
            f"can't be opened: {error.strerror}", field="log_file", value=path
        ) from None


class Log:
    """Write the log lines of one component."""

    __slots__ = ("_prefix",)

    def __init__(self, *, prefix):
        self._prefix = prefix

    def info(self, text, **fields):
        """Log an event: a short sentence and its fields."""
        Output.sink.write(self._prefix, "info", text, fields)

    def warning(self, text, **fields):
        """Log a problem that the process recovers from, and its fields."""
        Output.sink.write(self._prefix, "warning", text, fields)
