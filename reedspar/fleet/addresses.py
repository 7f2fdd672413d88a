"""Tells which of several targets registered at the same address is the current one."""

from dataclasses import dataclass, replace

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
    is_confirmed: bool = False
    """Whether it answered at the address after registrations up to that revision."""

    @property
    def order(self) -> tuple[int, bool]:
        """Return a key by which a later registration is greater."""
        return self.first_revision, self.is_confirmed


class AddressIndex:
    """Orders the targets of each address by their registration.

    After a power loss every target registers under a new id, while the registrations
    from before the loss remain until they expire.  Revisions of the store order them;
    the targets' clocks may be wrong.
    """

    def __init__(self) -> None:
        self._registrations: dict[str, _Registration] = {}
        self._newest: dict[Address, tuple[int, bool]] = {}

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
        return registration.order < self._newest[registration.address]

    def confirm(self, target_id: str) -> bool:
        """Record that a target answered at its address; return whether that is news.

        A later registration is then wrong; any program may have written it.
        """
        if not self.is_superseded(target_id):
            return False
        registration = self._registrations[target_id]
        revision, _ = self._newest[registration.address]
        self._registrations[target_id] = replace(
            registration, first_revision=revision, is_confirmed=True
        )
        self._update_newest(registration.address)
        return True

    def _update_newest(self, address: Address) -> None:
        orders = [
            registration.order
            for registration in self._registrations.values()
            if registration.address == address
        ]
        if orders:
            self._newest[address] = max(orders)
        else:
            self._newest.pop(address, None)
