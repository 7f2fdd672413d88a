"""HTTP headers that proxies do not forward."""

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
"""Connection-specific headers (RFC 9110, section 7.6.1) and the framing headers, which
each hop sets for its own message."""
