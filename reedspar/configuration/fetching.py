"""Selection of the peer to request a newer document from, one request at a time."""

from dataclasses import dataclass

__all__ = ["DocumentFetch"]

DOCUMENT_REQUEST_TIMEOUT_S = 0.4
SOURCES_MAX = 16


@dataclass(slots=True)
class _Request:
    peer: str
    sent_s: float


class DocumentFetch:
    """Selects a peer by the versions that frames have announced."""

    def __init__(self) -> None:
        self._sources: dict[str, int] = {}
        self._request: _Request | None = None

    def record_version(self, peer: str, version: int, held_version: int) -> None:
        """Record the version that a peer has in force."""
        self._sources.pop(peer, None)
        if version <= held_version:
            return
        self._sources[peer] = version
        if len(self._sources) > SOURCES_MAX:
            del self._sources[next(iter(self._sources))]

    def record_adoption(self, version: int) -> None:
        """Discard the peers that hold nothing newer."""
        self._sources = {p: v for p, v in self._sources.items() if v > version}
        self._request = None

    def record_bad_offer(self, peer: str) -> None:
        """Discard a peer whose document was corrupt or had another version."""
        self._sources.pop(peer, None)
        self._request = None

    def begin_request(self, now_s: float) -> str | None:
        """Return the peer to request from now, or None.

        None while a request is pending or if no peer is known to hold a newer version.
        """
        request = self._request
        if request is not None:
            if now_s - request.sent_s < DOCUMENT_REQUEST_TIMEOUT_S:
                return None
            # A stopped peer never answers, so its request times out.  Retrying the
            # same peer would keep this daemon on the old version.
            self._sources.pop(request.peer, None)
            self._request = None
        if not self._sources:
            return None
        peer = max(self._sources, key=lambda name: self._sources[name])
        self._request = _Request(peer, now_s)
        return peer
