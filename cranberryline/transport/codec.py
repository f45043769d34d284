"""Turn messages into frames and back."""

import typing
from typing import Any

import attrs
import msgspec
from result import Err, Ok, Result

from . import model
from .errors import BadFrame, BadFrameReason
from .model import Message

__all__ = ["decode", "encode"]

_ENCODER = msgspec.msgpack.Encoder()


def _all_messages() -> list[type[Message]]:
    named = (getattr(model, name) for name in model.__all__)
    return [cls for cls in named if cls is not Message]


def _fields_decoder(cls: type[Message]) -> msgspec.msgpack.Decoder:
    hints = typing.get_type_hints(cls)
    types = tuple(hints[field.name] for field in attrs.fields(cls))
    return msgspec.msgpack.Decoder(tuple[types])  # type: ignore[valid-type]


_KIND_BY_CLASS = {cls: cls.__name__.encode() for cls in _all_messages()}
_DECODER_BY_KIND = {cls.__name__.encode(): (cls, _fields_decoder(cls)) for cls in _all_messages()}
_NAMES_BY_CLASS = {cls: tuple(field.name for field in attrs.fields(cls)) for cls in _all_messages()}


def encode(messages: list[Message]) -> list[bytes]:
    """Return the frames of a batch of messages, two for each."""
    frames: list[bytes] = []
    for msg in messages:
        cls = type(msg)
        fields = [getattr(msg, name) for name in _NAMES_BY_CLASS[cls]]
        frames.append(_KIND_BY_CLASS[cls])
        frames.append(_ENCODER.encode(fields))
    return frames


def _decode_one(kind: bytes, payload: bytes) -> Result[Message, BadFrame]:
    known = _DECODER_BY_KIND.get(kind)
    if known is None:
        return Err(BadFrame(BadFrameReason.UNKNOWN_KIND, repr(kind[:40])))
    cls, decoder = known
    try:
        fields: Any = decoder.decode(payload)
    except msgspec.MsgspecError as exc:
        return Err(BadFrame(BadFrameReason.BAD_FIELDS, f"{cls.__name__}: {exc}"))
    return Ok(cls(*fields))


def decode(frames: list[bytes]) -> list[Result[Message, BadFrame]]:
    """Return each message of a batch, or why it could not be read."""
    if len(frames) % 2:
        return [Err(BadFrame(BadFrameReason.ODD_COUNT, str(len(frames))))]
    return [_decode_one(*frames[i : i + 2]) for i in range(0, len(frames), 2)]
