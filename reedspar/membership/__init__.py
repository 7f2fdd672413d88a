"""The view of all daemons, and the links that each daemon opens."""

from .controller import Membership, create_membership
from .messages import MemberNews, MemberNotice, NoticeKind, register_messages
from .view import Member, MembershipView

__all__ = [
    "Member",
    "MemberNews",
    "MemberNotice",
    "Membership",
    "MembershipView",
    "NoticeKind",
    "create_membership",
    "register_messages",
]
