"""Small helpers that more than one package needs."""

from .hashing import digest_bytes, rank_by_rendezvous, rendezvous_score
from .pacing import TokenBucket

__all__ = ["TokenBucket", "digest_bytes", "rank_by_rendezvous", "rendezvous_score"]
