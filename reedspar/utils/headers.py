"""Heads of HTTP messages: headers that proxies do not forward, numbers, statuses."""

import math

__all__ = ["HOP_BY_HOP_HEADERS", "is_final_status", "parse_non_negative"]

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


def parse_non_negative(text: str) -> float | None:
    """Return a finite number of at least 0; None if `text` is anything else."""
    try:
        value = float(text)
    except ValueError:
        return None
    return value if math.isfinite(value) and value >= 0 else None


def is_final_status(status: int) -> bool:
    """Return whether a final answer may have a status (RFC 9110, section 15)."""
    return 200 <= status <= 599
