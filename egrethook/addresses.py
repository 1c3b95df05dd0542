"""Socket addresses."""

from __future__ import annotations

from typing import NamedTuple


class Address(NamedTuple):
    """An IP address and a port, in the form that the socket module uses."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"

    @classmethod
    def parse(cls, text: str) -> Address:
        """Parse ``host:port``.

        Raises
        ------
        ValueError
            If the text has no port or the port is out of range.
        """
        host, colon, port = text.rpartition(":")
        if not colon or not host or not port.isdigit():
            raise ValueError(f"invalid address {text!r}: expected host:port")
        if not 0 < int(port) < 65536:
            raise ValueError(
                f"invalid address {text!r}: expected a port from 1 to 65535"
            )
        return cls(host, int(port))
