"""Helpers shared by several packages."""

from .hashing import digest_bytes, rank_by_rendezvous, rendezvous_score
from .headers import HOP_BY_HOP_HEADERS, is_final_status, parse_non_negative
from .json_documents import parse_json
from .lazy_imports import create_lazy_getattr
from .recent_maximum import RecentMaximum
from .sampling import sample_up_to
from .token_bucket import TokenBucket, update_bucket

__all__ = [
    "HOP_BY_HOP_HEADERS",
    "RecentMaximum",
    "TokenBucket",
    "create_lazy_getattr",
    "digest_bytes",
    "is_final_status",
    "parse_json",
    "parse_non_negative",
    "rank_by_rendezvous",
    "rendezvous_score",
    "sample_up_to",
    "update_bucket",
]
