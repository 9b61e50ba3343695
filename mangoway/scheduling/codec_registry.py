"""Registry of the encoders and decoders of messages on links."""

from collections.abc import Callable
from typing import Any, TypeVar

from .messages import Message

MessageT = TypeVar("MessageT", bound=Message)
Decoder = Callable[[list[Any], str], Message]

ENCODERS: dict[type, Callable[[Any], list[Any]]] = {}
DECODERS: dict[str, Decoder] = {}


def encodes(
    cls: type[MessageT],
) -> Callable[[Callable[[MessageT], list[Any]]], Callable[[MessageT], list[Any]]]:
    """Register the encoder of a message class."""

    def register(
        encode: Callable[[MessageT], list[Any]],
    ) -> Callable[[MessageT], list[Any]]:
        ENCODERS[cls] = encode
        return encode

    return register


def decodes(kind: str) -> Callable[[Decoder], Decoder]:
    """Register the decoder of a message kind."""

    def register(decode: Decoder) -> Decoder:
        DECODERS[kind] = decode
        return decode

    return register
