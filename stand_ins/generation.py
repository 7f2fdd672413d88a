"""Text generated from prompt and weights alone, so that answers can be verified."""

import hashlib
from collections.abc import Iterable

__all__ = ["expect_text", "make_root_digest", "make_token"]

TOKEN_LENGTH = 6


def make_token(prompt: str, weights_digest: str, index: int) -> str:
    """Return the token at `index` of the answer."""
    data = f"{weights_digest}\0{prompt}\0{index}".encode()
    return hashlib.sha256(data).hexdigest()[:TOKEN_LENGTH] + " "


def expect_text(prompt: str, weights_digest: str, token_count: int) -> str:
    """Return the complete answer."""
    return "".join(make_token(prompt, weights_digest, i) for i in range(token_count))


def make_root_digest(chunk_digests: Iterable[str]) -> str:
    """Return the digest of the concatenated hexadecimal digests of ordered chunks."""
    return hashlib.sha256("".join(chunk_digests).encode("ascii")).hexdigest()
