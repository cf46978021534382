"""knapweeddeal.messages: Typed messages by family, and their codec."""

from knapweeddeal.messages.base import FAMILIES, REGISTRY, Message, decode, encode

__all__ = ["FAMILIES", "REGISTRY", "Message", "decode", "encode"]
