"""Small helpers that more than one package needs."""

from .hashing import digest_bytes, rank_by_rendezvous, rendezvous_score
from .headers import HOP_BY_HOP
from .pacing import TokenBucket

__all__ = [
    "HOP_BY_HOP",
    "TokenBucket",
    "digest_bytes",
    "rank_by_rendezvous",
    "rendezvous_score",
]
