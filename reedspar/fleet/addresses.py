"""Tells which of several targets registered at the same address is the current one."""

from dataclasses import dataclass

from .records import TargetRecord

__all__ = ["AddressIndex"]

Address = tuple[str, str, int]
"""Pool, host and port."""


@dataclass(frozen=True, slots=True)
class _Registration:
    address: Address
    boot_id: str
    first_revision: int
    """Revision of the store at which this run of the target was first registered."""


class AddressIndex:
    """Orders the targets of each address by their registration.

    After a power loss every target registers under a new id, while the registrations
    from before the loss remain until they expire.  Revisions of the store order them;
    the targets' clocks may be wrong.
    """

    def __init__(self) -> None:
        self._registrations: dict[str, _Registration] = {}
        self._newest_revisions: dict[Address, int] = {}

    @property
    def superseded_count(self) -> int:
        """Return the number of targets whose address belongs to a later one."""
        return sum(self.is_superseded(target_id) for target_id in self._registrations)

    def add(self, record: TargetRecord, revision: int) -> None:
        """Add a target, or update it; `revision` is that of the registration."""
        address = (record.pool, record.host, record.port)
        known = self._registrations.get(record.id)
        if known and (known.address, known.boot_id) == (address, record.boot_id):
            return
        self.remove(record.id)
        registration = _Registration(address, record.boot_id, revision)
        self._registrations[record.id] = registration
        self._update_newest(address)

    def remove(self, target_id: str) -> None:
        """Remove a target that is no longer registered."""
        registration = self._registrations.pop(target_id, None)
        if registration is not None:
            self._update_newest(registration.address)

    def is_superseded(self, target_id: str) -> bool:
        """Return whether the target's address belongs to a later target."""
        registration = self._registrations.get(target_id)
        if registration is None:
            return False
        newest_revision = self._newest_revisions[registration.address]
        return registration.first_revision < newest_revision

    def _update_newest(self, address: Address) -> None:
        revisions = [
            registration.first_revision
            for registration in self._registrations.values()
            if registration.address == address
        ]
        if revisions:
            self._newest_revisions[address] = max(revisions)
        else:
            self._newest_revisions.pop(address, None)
