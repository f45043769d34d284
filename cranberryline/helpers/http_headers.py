"""Headers that belong to one connection and are never passed on."""

__all__ = ["HOP_BY_HOP_HEADERS"]

# RFC 9110, 7.6.1, and the framing of one message; in lower case.
HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    }
)
