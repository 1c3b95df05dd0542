"""The settings of one forwarding process, read from one YAML file."""

from __future__ import annotations

from typing import Annotated

import msgspec

from egrethook.addresses import Address
from egrethook.exceptions import SettingsError

PortText = Annotated[str, msgspec.Meta(pattern=r"^[0-9.]+:[0-9]+$")]


class ForwarderSettings(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """What a forwarding process learns at its start.

    Parameters
    ----------
    packets : str
        The address that the fabric sends callers' packets to.
    peers : str
        The address for other balancers.
    probes : str
        The address of the readiness probe.
    registry : str
        The address of the service registry.
    known_peers : list of str
        Other balancers to ask first; they may be stale.
    metrics_port : int
        Where metrics are served, at the address of `packets`.
    flow_life_s : float
        The longest life of a flow, in seconds.
    flow_limit : int
        Most open flows of one upstream through this process.
    leave_s : float
        How long a process forwards after it was told to leave, in seconds.
    """

    name: str
    failure_domain: str
    packets: PortText
    peers: PortText
    probes: PortText
    registry: PortText
    known_peers: list[PortText] = []
    metrics_port: Annotated[int, msgspec.Meta(ge=1, le=65535)] = 9464
    flow_life_s: Annotated[float, msgspec.Meta(gt=0)] = 60.0
    flow_limit: Annotated[int, msgspec.Meta(ge=1)] = 3
    leave_s: Annotated[float, msgspec.Meta(ge=0)] = 2.0

    @property
    def seeds(self) -> list[Address]:
        """The addresses of `known_peers`."""
        return [Address.parse(text) for text in self.known_peers]


_JSON = msgspec.json.Decoder(ForwarderSettings)


def load_forwarder_settings(path: str) -> ForwarderSettings:
    """Read a settings file.

    A file in YAML's flow style is JSON as well and needs no YAML library.

    Raises
    ------
    SettingsError
        Naming the file, the key and the reason.
    """
    try:
        with open(path, "rb") as file:
            text = file.read()
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from None
    try:
        if text.lstrip().startswith(b"{"):
            return _JSON.decode(text)
        return msgspec.yaml.decode(text, type=ForwarderSettings)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: {error}") from None
