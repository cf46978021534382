"""knapweeddeal.messages: The families of typed messages and their one codec."""

from knapweeddeal.messages.base import FAMILIES, REGISTRY, Message, decode, encode

__all__ = ["FAMILIES", "REGISTRY", "Message", "decode", "encode"]
