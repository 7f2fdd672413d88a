"""Digests and rendezvous hashing.

Rendezvous hashing is the highest random weight scheme of Thaler and
Ravishankar, "Using name-based mappings to increase hit rates" (IEEE/ACM
Transactions on Networking, 1998).  Their random weights are called scores here.
"""

import hashlib
from collections.abc import Iterable

__all__ = ["digest_bytes", "rank_by_rendezvous", "rendezvous_score"]

SCORE_SIZE_BYTES = 8


def digest_bytes(data: bytes) -> str:
    """Return the SHA-256 digest in lower-case hexadecimal."""
    return hashlib.sha256(data).hexdigest()


def rendezvous_score(key: str, node: str) -> int:
    """Return the score of `node` for `key`, which is the same in every process."""
    data = f"{key}\0{node}".encode()
    hashed = hashlib.blake2b(data, digest_size=SCORE_SIZE_BYTES)
    return int.from_bytes(hashed.digest(), "big")


def rank_by_rendezvous(key: str, nodes: Iterable[str]) -> list[str]:
    """Return `nodes` in order of preference for `key`, the highest score first."""
    return sorted(nodes, key=lambda node: (-rendezvous_score(key, node), node))
