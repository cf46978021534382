"""knapweeddeal.operation: The base class of the command-line tool's operations."""

from knapweeddeal.errors import BadSettingError
from knapweeddeal.options import address_option, addresses_option

__all__ = [
    "Argument",
    "Operation",
    "parse_address_argument",
    "parse_addresses_argument",
]


class Argument:
    """Describe one argument of an operation, as argparse takes it."""

    __slots__ = ("keywords", "names")

    def __init__(self, *names, **keywords):
        self.names = names
        self.keywords = keywords


class Operation:
    """Describe one operation; subclasses set the attributes and build the message."""

    #: Name on the command line.
    name = ""
    #: One line of help.
    help = ""
    #: Arguments besides the common ones.
    arguments = ()
    #: Whether every control replica is queried, since each holds only some records.
    queries_all_replicas = False
    #: Whether `run_offline` returns the answer without a query to any process.
    is_offline = False
    #: Whether the process given by --at is queried instead of the control replicas.
    queries_process = False
    #: Whether each of the processes given by the operation's own --at is queried.
    queries_each_process = False

    @staticmethod
    def build_request(options):
        """Return the request message of the operation."""
        raise NotImplementedError

    @staticmethod
    def run_offline(options):
        """Return the answer of an operation that only reads files."""
        raise NotImplementedError


def parse_addresses_argument(name, text):
    """Return the addresses of IP:PORT,IP:PORT; raise BadSettingError if none."""
    addresses = addresses_option(name, text, None)
    if not addresses:
        raise BadSettingError("expected an address IP:PORT", field=name, value=text)
    return addresses


def parse_address_argument(name, text):
    """Return host and port; raise BadSettingError if the argument is no address."""
    if not text:
        raise BadSettingError("must be given", field=name)
    return address_option(name, text, None)
