"""Opening of connections to peers."""

import anyio
from anyio.abc import ByteStream

from reedspar.errors import Reason
from reedspar.supervision import report_unexpected_error

from .network import PeerAddress

__all__ = ["open_stream"]


async def open_stream(address: PeerAddress, timeout_s: float) -> ByteStream | Reason:
    """Connect to a peer, or return why that failed."""
    try:
        with anyio.fail_after(timeout_s):
            return await anyio.connect_tcp(address.host, address.port)
    except TimeoutError:
        return Reason.TIMEOUT
    except OSError:
        return Reason.UNAVAILABLE
    except Exception as error:
        report_unexpected_error("link dial", error, address.name)
        return Reason.INVALID
