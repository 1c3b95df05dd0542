"""Calls an HTTP service over connections that are kept open."""

from __future__ import annotations

import anyio
from anyio.abc import ByteStream

from egrethook.addresses import Address
from egrethook.discovery.http_exchange import (
    HttpResponse,
    ResponseReader,
    request_bytes,
)
from egrethook.exceptions import SourceUnavailableError

PROGRESS_TIMEOUT_S = 1.0
"""Time in which more of an answer arrives, in seconds."""

CONNECT_TIMEOUT_S = 0.6
"""Time in which a connection is made, in seconds."""


class HttpClient:
    """Makes one call after the other; owns one connection.

    Parameters
    ----------
    address : Address
        Where the service listens.
    """

    def __init__(self, address: Address) -> None:
        self._address = address
        self._stream: ByteStream | None = None
        self._calls = 0

    @property
    def calls(self) -> int:
        """Calls made so far."""
        return self._calls

    async def get(self, path: str, timeout_s: float, **query: object) -> HttpResponse:
        """Make one call.

        Parameters
        ----------
        path : str
            What is asked for.
        timeout_s : float
            Time until the answer begins, in seconds; a long one may take
            longer as long as it makes progress.

        Raises
        ------
        SourceUnavailableError
            If there is no whole answer in time; the connection is given up.
        """
        reused = self._stream is not None
        try:
            with anyio.fail_after(timeout_s):
                data = await self._send(path, query)
            return await self._read_response(data)
        except (OSError, TimeoutError, anyio.BrokenResourceError) as error:
            await self.aclose()
            reason = str(error) or type(error).__name__
        except SourceUnavailableError as error:
            await self.aclose()
            reason = error.args[0]
        except BaseException:
            # A connection with an answer under way can't be used again.
            with anyio.CancelScope(shield=True):
                await self.aclose()
            raise
        which = "a reused" if reused else "a new"
        raise SourceUnavailableError(f"{path} on {which} connection: {reason}")

    async def aclose(self) -> None:
        """Close the connection; the next call makes a new one."""
        stream, self._stream = self._stream, None
        if stream is not None:
            await anyio.aclose_forcefully(stream)

    async def _send(self, path: str, query: dict[str, object]) -> bytes:
        """Send a request and return the first bytes of its answer."""
        if self._stream is None:
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                self._stream = await anyio.connect_tcp(*self._address)
        self._calls += 1
        await self._stream.send(request_bytes(self._address.host, path, **query))
        return await self._receive()

    async def _read_response(self, data: bytes) -> HttpResponse:
        reader = ResponseReader()
        response = reader.feed(data)
        while response is None:
            with anyio.fail_after(PROGRESS_TIMEOUT_S):
                data = await self._receive()
            response = reader.feed(data)
        return response

    async def _receive(self) -> bytes:
        """Return bytes, or none if the connection was closed."""
        assert self._stream is not None
        try:
            return await self._stream.receive()
        except anyio.EndOfStream:
            return b""
