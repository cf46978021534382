"""knapweeddeal.messages.fields: Field checks that several families share."""

from knapweeddeal.messages.base import Integer, Text

__all__ = ["HOST", "NAME", "PORT", "REQUEST_ID"]

NAME = Text(max_chars=64)
HOST = Text(max_chars=64)
PORT = Integer(maximum=65535)
#: Idempotency key that an operator gives a command; a retry carries the same one.
REQUEST_ID = Text(max_chars=64)
