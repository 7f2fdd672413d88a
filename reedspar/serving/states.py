"""States of a server's connections, and the reasons for which they end."""

from enum import Enum

__all__ = ["UNANSWERED_STATES", "ConnectionEnd", "ConnectionState"]


class ConnectionState(Enum):
    """How far the request on a connection has come."""

    FRESH = "fresh"
    """Nothing has arrived yet."""
    IDLE = "idle"
    """All requests that have arrived have their answers."""
    RECEIVING = "receiving"
    """A part of a request has arrived, or bytes that were not read yet."""
    ANSWERING = "answering"
    """A whole request has no whole answer yet."""
    CROSSED = "crossed"
    """Bytes have arrived after the last answer."""


UNANSWERED_STATES = (ConnectionState.RECEIVING, ConnectionState.ANSWERING)


class ConnectionEnd(Enum):
    """Why a connection ended."""

    PEER = "peer"
    """The peer has closed it, or it broke."""
    LAST_ANSWER = "last-answer"
    """The last answer on it has been sent."""
    IDLE_TIMEOUT = "idle-timeout"
    """Nothing was asked for too long."""
    SHUTDOWN = "shutdown"
    """The server shuts down."""
    CROWDED = "crowded"
    """Another client needs its place, or the memory that it holds."""
    ERROR = "error"
    """The protocol has failed."""
