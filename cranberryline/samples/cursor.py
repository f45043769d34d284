"""Cursors, the only durable record of which samples of a step a trainer has received."""

import base64
import binascii
import struct
import zlib

import attrs
from result import Err, Ok, Result

from .const import CURSOR_FORMAT_VERSION, CURSOR_START, MAX_SAMPLES_PER_STEP
from .errors import CursorError, CursorReason
from .model import StepDeclaration

__all__ = ["Cursor", "decode_cursor"]

# A token holds the format version, the step, the digest of the declaration and the number of
# samples in the step, then the compressed bitmap, then a checksum of everything before it.
_HEADER = struct.Struct("!BQ8sI")
_CHECKSUM = struct.Struct("!I")
_MAX_TOKEN_LENGTH = 2 * MAX_SAMPLES_PER_STEP


@attrs.frozen
class Cursor:
    """The set of samples that a trainer has received; bit `p` of `received` is position `p`.

    The token takes at most 1.4 KB for a step of 8,192 samples, and about 56 bytes for 64 samples.
    """

    step: int
    digest: bytes
    size: int
    received: int = 0

    @classmethod
    def start(cls, declaration: StepDeclaration) -> "Cursor":
        """Return the cursor of a trainer that has received no samples of the step."""
        return cls(declaration.step, declaration.digest, declaration.size)

    @property
    def complete(self) -> bool:
        """Return whether the trainer has received every sample of the step."""
        return self.received == (1 << self.size) - 1

    def covers(self, position: int) -> bool:
        """Return whether the trainer has received the sample at a position."""
        return bool(self.received >> position & 1)

    def with_received(self, positions: list[int]) -> "Cursor":
        """Return a copy that also covers the samples at these positions."""
        received = self.received
        for position in positions:
            received |= 1 << position
        return attrs.evolve(self, received=received)

    def encode(self) -> str:
        """Return the token that represents the cursor, which is empty if nothing was received."""
        if not self.received:
            return CURSOR_START
        bitmap = self.received.to_bytes((self.size + 7) // 8, "little")
        head = _HEADER.pack(CURSOR_FORMAT_VERSION, self.step, self.digest, self.size)
        payload = head + zlib.compress(bitmap, 9)
        payload += _CHECKSUM.pack(zlib.crc32(payload))
        return base64.urlsafe_b64encode(payload).decode().rstrip("=")


def decode_cursor(token: str, declaration: StepDeclaration) -> Result[Cursor, CursorError]:
    """Decode a token and check that it belongs to this declaration."""
    if token == CURSOR_START:
        return Ok(Cursor.start(declaration))
    payload = _decode_payload(token)
    if payload is None:
        return _malformed("it is no cursor, or was damaged")
    if payload[0] != CURSOR_FORMAT_VERSION:
        return Err(CursorError(CursorReason.UNKNOWN_VERSION, f"format version {payload[0]}"))
    _, step, digest, size = _HEADER.unpack_from(payload)
    expected = (declaration.step, declaration.digest, declaration.size)
    # With another declaration, the positions refer to other samples, which would be skipped.
    if (step, digest, size) != expected:
        return Err(
            CursorError(CursorReason.OTHER_STEP, f"it belongs to step {step}, or its groups differ")
        )
    received = _decode_bitmap(payload[_HEADER.size : -_CHECKSUM.size], size)
    if received is None:
        return _malformed("its set of samples does not fit the step")
    return Ok(Cursor(step, digest, size, received))


def _decode_payload(token: str) -> bytes | None:
    if len(token) > _MAX_TOKEN_LENGTH:
        return None
    try:
        encoded = token.encode("ascii")
        payload = base64.b64decode(
            encoded + b"=" * (-len(encoded) % 4), altchars=b"-_", validate=True
        )
    except (UnicodeEncodeError, binascii.Error, ValueError):
        return None
    if len(payload) <= _HEADER.size + _CHECKSUM.size:
        return None
    (checksum,) = _CHECKSUM.unpack(payload[-_CHECKSUM.size :])
    return payload if zlib.crc32(payload[: -_CHECKSUM.size]) == checksum else None


def _decode_bitmap(compressed: bytes, size: int) -> int | None:
    length = (size + 7) // 8
    decompressor = zlib.decompressobj()
    try:
        # One byte more than expected is enough to detect a bitmap that is too long.
        bitmap = decompressor.decompress(compressed, length + 1)
    except zlib.error:
        return None
    if len(bitmap) != length or not decompressor.eof or decompressor.unused_data:
        return None
    received = int.from_bytes(bitmap, "little")
    return received if received >> size == 0 else None


def _malformed(detail: str) -> Result[Cursor, CursorError]:
    return Err(CursorError(CursorReason.MALFORMED, detail))
