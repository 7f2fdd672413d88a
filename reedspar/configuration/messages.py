"""The messages by which a configuration spreads and is known to be fresh.

The version that a daemon has in force is in every frame's `Sender`, so none
of these messages announces it.
"""

from dataclasses import dataclass

from reedspar.messages import MessageRegistry, load_schema

__all__ = [
    "NO_AGE_MS",
    "Attestation",
    "ClockProbe",
    "ClockReply",
    "ConfigurationOffer",
    "ConfigurationRequest",
    "FreshnessBeacon",
    "register_messages",
]

NO_AGE_MS = 2**32 - 1
"""Stands for "never" in an age on the wire."""


@dataclass(frozen=True, slots=True)
class Attestation:
    """Word of a zone: `age_ms` ago it knew of nothing newer."""

    zone: str
    age_ms: int


@dataclass(frozen=True, slots=True)
class FreshnessBeacon:
    """What its sender knows of the freshness of the version in its frame."""

    clock_ms: int
    confirmed_age_ms: int
    attestations: tuple[Attestation, ...] = ()


@dataclass(frozen=True, slots=True)
class ClockProbe:
    """Asks for the receiver's clock, and for its beacon."""

    nonce: int


@dataclass(frozen=True, slots=True)
class ClockReply:
    """Tells the sender's monotonic clock at some time after the probe was sent."""

    nonce: int
    clock_ms: int


@dataclass(frozen=True, slots=True)
class ConfigurationRequest:
    """Asks for a document newer than `held_version`."""

    held_version: int


@dataclass(frozen=True, slots=True)
class ConfigurationOffer:
    """Carries the document that its sender has in force."""

    version: int
    document: bytes


def register_messages(registry: MessageRegistry) -> None:
    """Add these message types to `registry`."""
    schema = load_schema(__file__, "configuration.capnp")
    registry.add_all(
        schema,
        FreshnessBeacon,
        ClockProbe,
        ClockReply,
        ConfigurationRequest,
        ConfigurationOffer,
    )
