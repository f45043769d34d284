"""A server in trouble: bytes that are no answer, or one without an end, until the caller closes."""

import re
import socket
import threading

__all__ = ["FORMS", "EndlessServer"]

_HEAD = b"HTTP/1.1 200 OK\r\nAttempt-Id: %b\r\nResponse-Seal: s\r\nWeight-Versions: 1\r\n"
_EVENTS = _HEAD + b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
_CHUNKED = _HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
_REFUSED = _CHUNKED.replace(b"200 OK", b"503 X").replace(b"Response-Seal: s", b"Not-Run: 1")
_FILLER = b"f" * 65_536
_CHUNK = b"10000\r\n" + _FILLER + b"\r\n"
_LINES = b"1000\r\n" + b"\n" * 4096 + b"\r\n"

# What comes first, in which %b is the request's id, and what comes again and again behind it.
FORMS: dict[str, tuple[bytes, bytes]] = {
    "garbage": (b"", _FILLER),
    "status line": (b"HTTP/1.1 200 ", _FILLER),
    "header line": (_HEAD + b"Filler: ", _FILLER),
    "header lines": (_HEAD, b"Filler: f\r\n" * 500),
    "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 500),
    "body in chunks": (_CHUNKED, _CHUNK),
    "small chunks": (_CHUNKED, b"1\r\nf\r\n" * 2000),
    "chunk size line": (_CHUNKED + b"1;", _FILLER),
    "trailers": (_CHUNKED + b"1\r\nf\r\n0\r\n", b"Filler: f\r\n" * 500),
    "body to the end": (_HEAD + b"\r\n", _FILLER),
    "body of great length": (_HEAD + b"Content-Length: 900000000000\r\n\r\n", _FILLER),
    "another's answer": (_CHUNKED.replace(b"%b", b"another"), _CHUNK),
    "others' answers": (b"", _HEAD.replace(b"%b", b"another") + b"Content-Length: 0\r\n\r\n"),
    "refusal": (_REFUSED, _CHUNK),
    "misdirected": (_REFUSED.replace(b"503 X", b"421 X"), _CHUNK),
    "server error": (_CHUNKED.replace(b"200 OK", b"500 X"), _CHUNK),
    "event without an end": (_EVENTS, _CHUNK),
    "lines between events": (_EVENTS, _LINES),
}
_ID = re.compile(rb"Attempt-Id: ([^\r]*)", re.IGNORECASE)


class EndlessServer:
    """Answers each request on each connection in one form, from threads of its own."""

    def __init__(self, form: str) -> None:
        self.opened = 0
        self.closed = 0
        self.sent_bytes = 0
        self._first, self._again = FORMS[form]
        self._socket = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._socket.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def open_connections(self) -> int:
        """Return how many connections their callers have not closed yet."""
        return self.opened - self.closed

    def stop(self) -> None:
        """Stop listening."""
        self._socket.close()

    def _accept(self) -> None:
        while True:
            try:
                conn, _ = self._socket.accept()
            except OSError:
                return
            self.opened += 1
            threading.Thread(target=self._serve, args=(conn,), daemon=True).start()

    def _serve(self, conn: socket.socket) -> None:
        try:
            with conn:
                asked = b""
                while b"\r\n\r\n" not in asked:
                    data = conn.recv(65_536)
                    if not data:
                        return
                    asked += data
                found = _ID.search(asked)
                first = self._first.replace(b"%b", found[1] if found else b"none")
                conn.sendall(first)
                while True:
                    conn.sendall(self._again)
                    self.sent_bytes += len(self._again)
        except OSError:
            pass  # the caller has closed
        finally:
            self.closed += 1
