"""Small helpers that more than one package needs."""

from .hashing import digest_bytes, rank_by_rendezvous, rendezvous_score

__all__ = ["digest_bytes", "rank_by_rendezvous", "rendezvous_score"]
