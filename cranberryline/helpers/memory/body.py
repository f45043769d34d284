"""Collects a body from its chunks without a second copy of it."""

import io

__all__ = ["BodyBuffer"]


class BodyBuffer:
    """The chunks of a body so far.

    Joining a list of chunks, or copying a bytearray, needs the body's size twice. `BytesIO` hands its
    own buffer out instead; a body of a single chunk is that chunk.
    """

    def __init__(self) -> None:
        self._first = b""
        self._rest: io.BytesIO | None = None

    def add(self, chunk: bytes) -> None:
        """Append a chunk."""
        if self._rest is not None:
            self._rest.write(chunk)
        elif not self._first:
            self._first = chunk
        else:
            self._rest = io.BytesIO()
            self._rest.write(self._first)
            self._rest.write(chunk)
            self._first = b""

    def value(self) -> bytes:
        """Return the body as received so far."""
        return self._first if self._rest is None else self._rest.getvalue()

    def clear(self) -> None:
        """Drop what was received."""
        self._first, self._rest = b"", None
