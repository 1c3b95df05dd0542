"""HTTP client with a persistent connection."""

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
"""Maximum time between two parts of a response, in seconds."""

CONNECT_TIMEOUT_S = 0.6
"""Time limit for establishing a connection, in seconds."""


class HttpClient:
    """Makes sequential GET requests over one persistent connection.

    Parameters
    ----------
    address : Address
        The address of the service.
    """

    def __init__(self, address: Address) -> None:
        self._address = address
        self._stream: ByteStream | None = None
        self._calls = 0

    @property
    def calls(self) -> int:
        """Number of requests sent so far."""
        return self._calls

    async def get(self, path: str, timeout_s: float, **query: object) -> HttpResponse:
        """Send a GET request and return the response.

        Parameters
        ----------
        path : str
            The request path.
        timeout_s : float
            Time limit for the start of the response, in seconds. A long response
            may take longer as long as it makes progress.
        **query : object
            Query parameters.

        Raises
        ------
        SourceUnavailableError
            If there is no complete response in time; the connection is closed.
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
            # A connection with an unread response cannot be reused.
            with anyio.CancelScope(shield=True):
                await self.aclose()
            raise
        which = "a reused" if reused else "a new"
        raise SourceUnavailableError(f"{path} on {which} connection: {reason}")

    async def aclose(self) -> None:
        """Close the connection; the next request opens a new one."""
        stream, self._stream = self._stream, None
        if stream is not None:
            await anyio.aclose_forcefully(stream)

    async def _send(self, path: str, query: dict[str, object]) -> bytes:
        """Send a request and return the first bytes of the response."""
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
        if not reader.keeps_connection:
            await self.aclose()
        return response

    async def _receive(self) -> bytes:
        """Return received bytes; empty if the connection was closed."""
        assert self._stream is not None
        try:
            return await self._stream.receive()
        except anyio.EndOfStream:
            return b""
