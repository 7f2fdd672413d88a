"""Whom to ask for a newer document, one request at a time."""

from dataclasses import dataclass

__all__ = ["DocumentFetch"]

REQUEST_TIMEOUT_S = 0.4
SOURCE_LIMIT = 16


@dataclass(slots=True)
class _Request:
    peer: str
    sent_s: float


class DocumentFetch:
    """Decides which peer to ask, from the versions that frames have shown."""

    def __init__(self) -> None:
        self._sources: dict[str, int] = {}
        self._request: _Request | None = None

    def note_version(self, peer: str, version: int, held_version: int) -> None:
        """Take in the version that a peer has in force."""
        self._sources.pop(peer, None)
        if version <= held_version:
            return
        self._sources[peer] = version
        if len(self._sources) > SOURCE_LIMIT:
            del self._sources[next(iter(self._sources))]

    def note_adopted(self, version: int) -> None:
        """Forget the sources that have nothing newer."""
        self._sources = {p: v for p, v in self._sources.items() if v > version}
        self._request = None

    def note_bad_offer(self, peer: str) -> None:
        """Turn away from a peer whose document was damaged or late."""
        self._sources.pop(peer, None)
        self._request = None

    def next_peer(self, now_s: float) -> str | None:
        """Return the peer to ask now, or None while a request is under way."""
        request = self._request
        if request is not None:
            if now_s - request.sent_s < REQUEST_TIMEOUT_S:
                return None
            # A stopped peer never answers.  It shows as a request that is late;
            # asking it again would keep this daemon on the old version.
            self._sources.pop(request.peer, None)
            self._request = None
        if not self._sources:
            return None
        peer = max(self._sources, key=lambda name: self._sources[name])
        self._request = _Request(peer, now_s)
        return peer
