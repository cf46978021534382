"""knapweeddeal.errors: Exceptions, each with a stable code."""

__all__ = [
    "BadInstallError",
    "BadMessageError",
    "BadSettingError",
    "BadTicketError",
    "ConflictError",
    "CorruptStorageError",
    "DiskFailedError",
    "FolderLockedError",
    "KnapweeddealError",
    "InvalidIntentError",
    "NoQuorumError",
    "NoRouteError",
    "NotDrainingError",
    "NotLeaderError",
    "StreamClosedError",
    "UnreachableError",
    "error_from_code",
]


class KnapweeddealError(Exception):
    """Base of all errors: a code, and the field and value at fault."""

    #: Stable code, used in logs, answers and the operators' guide.
    code = "internal"
    #: Exit status of the command-line tool.
    exit_status = 1

    def __init__(self, text="", *, field="", value=""):
        self.text = text
        self.field = field
        self.value = str(value)[:200]
        super().__init__(self.describe())

    def describe(self):
        """Return code, text, field and value on one line."""
        parts = [self.code]
        if self.text:
            parts.append(self.text)
        if self.field:
            parts.append(f"{self.field}={self.value!r}")
        return ": ".join(parts)


class BadInstallError(KnapweeddealError):
    """Report libraries that were installed for another platform."""

    code = "bad_install"
    exit_status = 4


class BadMessageError(KnapweeddealError):
    """Report a message that violates its schema."""

    code = "bad_message"
    exit_status = 3


class BadTicketError(KnapweeddealError):
    """Report a ticket that is forged, expired or truncated."""

    code = "bad_ticket"
    exit_status = 3


class BadSettingError(KnapweeddealError):
    """Report an invalid setting by file, section, key and value."""

    code = "bad_setting"
    exit_status = 4


class FolderLockedError(BadSettingError):
    """Report a data folder that another process has locked."""


class NoRouteError(KnapweeddealError):
    """Report an address for which a forwarder has no route."""

    code = "no_route"
    exit_status = 4


class InvalidIntentError(KnapweeddealError):
    """Report an operator's intent that can't be planned."""

    code = "invalid_intent"
    exit_status = 5


class ConflictError(KnapweeddealError):
    """Report that another configuration was confirmed first."""

    code = "conflict"
    exit_status = 6


class NoQuorumError(KnapweeddealError):
    """Report that no majority of control replicas answered."""

    code = "no_quorum"
    exit_status = 7


class NotDrainingError(KnapweeddealError):
    """Report a departure of an upstream that isn't known to be draining."""

    code = "not_draining"
    exit_status = 7


class NotLeaderError(KnapweeddealError):
    """Report that another control replica leads; value names it."""

    code = "not_leader"
    exit_status = 7


class UnreachableError(KnapweeddealError):
    """Report that a process did not accept a stream or did not answer."""

    code = "unreachable"
    exit_status = 8


class StreamClosedError(KnapweeddealError):
    """Report that a stream ended."""

    code = "stream_closed"
    exit_status = 8


class CorruptStorageError(KnapweeddealError):
    """Report corruption in a data folder other than a torn tail of a log."""

    code = "corrupt_storage"
    exit_status = 9


class DiskFailedError(KnapweeddealError):
    """Report that a data folder can't be read or written."""

    code = "disk_failed"
    exit_status = 9


#: Error classes by the code that answers carry.
BY_CODE = {
    cls.code: cls
    for cls in (
        BadInstallError,
        BadMessageError,
        BadSettingError,
        BadTicketError,
        ConflictError,
        CorruptStorageError,
        DiskFailedError,
        KnapweeddealError,
        InvalidIntentError,
        NoQuorumError,
        NoRouteError,
        NotDrainingError,
        NotLeaderError,
        StreamClosedError,
        UnreachableError,
    )
}


def error_from_code(code, text, *, field="", value=""):
    """Return the error for a code received from a peer."""
    cls = BY_CODE.get(code, KnapweeddealError)
    return cls(text, field=field, value=value)
