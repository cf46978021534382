"""knapweeddeal.operation: The base of what the command-line tool can do."""

from knapweeddeal.errors import BadSettingError
from knapweeddeal.options import address_option

__all__ = ["Argument", "Operation", "parse_address_argument"]


class Argument:
    """Describe one argument of an operation, as argparse takes it."""

    __slots__ = ("keywords", "names")

    def __init__(self, *names, **keywords):
        self.names = names
        self.keywords = keywords


class Operation:
    """Describe one operation; a subclass sets its table and builds its message."""

    #: Name on the command line.
    name = ""
    #: One line of help.
    help = ""
    #: Arguments besides the common ones.
    arguments = ()
    #: Whether every control replica is asked, since each knows a part only.
    queries_all_replicas = False
    #: Whether nobody is asked: `run_offline` returns the answer.
    is_offline = False
    #: Whether one process is asked, named by --at, instead of the control replicas.
    queries_process = False

    @staticmethod
    def build_request(options):
        """Return the message that asks for the operation."""
        raise NotImplementedError

    @staticmethod
    def run_offline(options):
        """Return the answer of an operation that reads files."""
        raise NotImplementedError


def parse_address_argument(name, text):
    """Return host and port of an argument; raise BadSettingError."""
    if not text:
        raise BadSettingError("must be given", field=name)
    return address_option(name, text, None)
