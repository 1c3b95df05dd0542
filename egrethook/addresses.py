"""Socket addresses."""

from __future__ import annotations

import _socket as socket
from typing import NamedTuple

MAX_PORT = 65_535
"""Highest port number."""


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
        # `isdigit` alone accepts digits of other scripts, which `int` may refuse.
        if not colon or not host or not (port.isascii() and port.isdigit()):
            raise ValueError(f"invalid address {text[:80]!r}: expected host:port")
        if len(port) > len(str(MAX_PORT)) or not 0 < int(port) <= MAX_PORT:
            raise ValueError(
                f"invalid address {text[:80]!r}: expected a port from 1 to {MAX_PORT}"
            )
        return cls(host, int(port))

    @classmethod
    def parse_ipv4(cls, text: str) -> Address:
        """Parse ``host:port`` with an IPv4 address in dotted notation as the host.

        Raises
        ------
        ValueError
            If the text is anything else.
        """
        address = cls.parse(text)
        try:
            socket.inet_pton(socket.AF_INET, address.host)
        except (OSError, TypeError):
            raise ValueError(
                f"invalid address {text[:80]!r}: expected an IPv4 address"
            ) from None
        return address
