"""Messages that distribute the configuration and evidence of its freshness.

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
"""Wire value of an age that means "never"."""


@dataclass(frozen=True, slots=True)
class Attestation:
    """States that `age_ms` ago the zone knew of no newer version."""

    zone: str
    age_ms: int


@dataclass(frozen=True, slots=True)
class FreshnessBeacon:
    """The sender's evidence that the version in its frame is the newest."""

    clock_ms: int
    confirmed_age_ms: int
    attestations: tuple[Attestation, ...] = ()


@dataclass(frozen=True, slots=True)
class ClockProbe:
    """Requests the receiver's clock reading and its beacon."""

    nonce: int


@dataclass(frozen=True, slots=True)
class ClockReply:
    """Carries the sender's monotonic clock, read after the probe was sent."""

    nonce: int
    clock_ms: int


@dataclass(frozen=True, slots=True)
class ConfigurationRequest:
    """Requests a document newer than `held_version`."""

    held_version: int


@dataclass(frozen=True, slots=True)
class ConfigurationOffer:
    """Carries the document that the sender has in force."""

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
