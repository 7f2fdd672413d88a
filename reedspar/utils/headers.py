"""Headers of HTTP that end at each hop."""

__all__ = ["HOP_BY_HOP_HEADERS"]

HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
"""Headers of one connection (RFC 9110, section 7.6.1), and the framing, which is set
anew at each hop."""
