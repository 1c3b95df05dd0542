"""The settings of one forwarding process, read from one YAML file."""

from __future__ import annotations

import os
import time
from typing import Annotated

import msgspec

from egrethook.addresses import Address
from egrethook.decoding import DECODING_ERRORS
from egrethook.exceptions import SettingsError
from egrethook.forwarding.features import Feature, features_for
from egrethook.logs import PartLog


def _described(description: str, **bounds: float) -> msgspec.Meta:
    """Return the metadata of a key: its description and bounds."""
    return msgspec.Meta(description=description, **bounds)  # type: ignore[call-overload]


def _host_port(description: str) -> msgspec.Meta:
    """Return the metadata of a key whose value is host:port."""
    return msgspec.Meta(description=description, pattern=r"^[0-9.]+:[0-9]+$")


class ForwarderSettings(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Settings of a forwarding process."""

    name: Annotated[str, _described("name of this process in log lines")]
    failure_domain: Annotated[str, _described("failure domain of this VM")]
    packets: Annotated[str, _host_port("host:port that receives callers' packets")]
    peers: Annotated[str, _host_port("host:port for messages between balancers")]
    probes: Annotated[str, _host_port("host:port of the readiness probe")]
    registry: Annotated[str, _host_port("host:port of the service registry")]
    known_peers: Annotated[
        list[Annotated[str, _host_port("host:port")]],
        _described("balancers to contact first after a start; entries may be stale"),
    ] = []
    metrics_port: Annotated[
        int,
        _described(
            "port of the metrics page, on the host of `packets`", ge=1, le=65535
        ),
    ] = 9464
    flow_life_s: Annotated[
        float, _described("longest lifetime of a flow, in seconds", gt=0)
    ] = 60.0
    flow_limit: Annotated[
        int,
        _described(
            "initial limit on busy flows of one upstream through this process",
            ge=1,
        ),
    ] = 2
    guarantees: Annotated[
        list[str],
        _described(
            "guarantees that hold for this deployment, with those in the environment "
            "variable EGRETHOOK_GUARANTEES, separated by commas; `health` switches on "
            "all optional features, others have no effect"
        ),
    ] = []
    features: Annotated[
        list[Feature] | None,
        _described("optional features that are on, in place of those by guarantee"),
    ] = None
    slow_start: Annotated[
        bool,
        _described(
            "whether a process that has just started sends few requests to a service "
            "at once, and more as answers arrive"
        ),
    ] = False
    leave_s: Annotated[
        float,
        _described("time to keep forwarding after a leave request, in seconds", ge=0),
    ] = 1.3

    def __post_init__(self) -> None:
        """Check what the patterns of the addresses leave open, such as their ports.

        Raises
        ------
        ValueError
            If an address is not valid; the decoder adds the key.
        """
        for text in (
            self.packets,
            self.peers,
            self.probes,
            self.registry,
            *self.known_peers,
        ):
            Address.parse_ipv4(text)

    @property
    def enabled_features(self) -> frozenset[Feature]:
        """The optional features that are on."""
        if self.features is not None:
            return frozenset(self.features)
        return features_for(self.guarantees)

    @property
    def seeds(self) -> list[Address]:
        """The addresses of `known_peers`."""
        return [Address.parse(text) for text in self.known_peers]


GUARANTEES_VARIABLE = "EGRETHOOK_GUARANTEES"
"""Environment variable with further guarantees, separated by commas."""

RELOADABLE_KEYS = frozenset({"known_peers", "flow_limit", "leave_s"})
"""Settings that take effect without a restart."""

COMPLETE_FILE_WAIT_S = 2.0
"""Longest wait at the start for a valid settings file, in seconds.

A file that is being replaced may be missing or cut off for a moment.
"""

READ_RETRY_DELAY_S = 0.1
"""Delay before the settings file is read again at the start, in seconds."""

_LOG = PartLog("settings")

_JSON_DECODER = msgspec.json.Decoder(ForwarderSettings)


def load_forwarder_settings(path: str) -> ForwarderSettings:
    """Read a settings file.

    A file that starts with ``{`` is decoded as JSON, since the YAML library is not
    needed then and need not be loaded.

    Raises
    ------
    SettingsError
        If the file can't be read or is not valid; names the file and the reason.
    """
    try:
        with open(path, "rb") as file:
            text = file.read()
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from None
    try:
        if text.lstrip().startswith(b"{"):
            return _with_environment(_JSON_DECODER.decode(text))
        return _with_environment(msgspec.yaml.decode(text, type=ForwarderSettings))
    except DECODING_ERRORS as error:
        raise SettingsError(f"{path}: {error}") from None


def _with_environment(settings: ForwarderSettings) -> ForwarderSettings:
    """Return settings with the guarantees that the environment adds."""
    names = os.environ.get(GUARANTEES_VARIABLE, "").split(",")
    added = [name for name in names if name]
    if not added:
        return settings
    return msgspec.structs.replace(settings, guarantees=[*settings.guarantees, *added])


def await_forwarder_settings(path: str) -> ForwarderSettings:
    """Read a settings file, waiting up to `COMPLETE_FILE_WAIT_S` until it is valid.

    Raises
    ------
    SettingsError
        If the file is still not valid by then.
    """
    give_up_at = time.monotonic() + COMPLETE_FILE_WAIT_S
    while True:
        try:
            return load_forwarder_settings(path)
        except SettingsError as error:
            if time.monotonic() >= give_up_at:
                raise
            _LOG.warning("settings file is not valid; reading it again.", error=error)
        time.sleep(READ_RETRY_DELAY_S)


class SettingsFile:
    """Detects changes of a settings file and reloads it.

    Parameters
    ----------
    path : str
        The file.
    settings : ForwarderSettings
        The settings last read from it.
    """

    def __init__(self, path: str, settings: ForwarderSettings) -> None:
        self._path = path
        self._settings = settings
        self._fingerprint = self._read_fingerprint()

    def has_changed(self) -> bool:
        """Return whether the file differs from the one that was read."""
        return self._read_fingerprint() != self._fingerprint

    def reload(self) -> ForwarderSettings | None:
        """Reload the file; return None if it is unchanged or not valid."""
        self._fingerprint = self._read_fingerprint()
        try:
            settings = load_forwarder_settings(self._path)
        except SettingsError as error:
            _LOG.alarm(
                "settings file is not valid; the old settings stay.", error=error
            )
            return None
        changed = [
            name
            for name in settings.__struct_fields__
            if getattr(settings, name) != getattr(self._settings, name)
        ]
        _LOG.info("settings file reloaded.", changed=changed)
        if not changed:
            return None
        needs_restart = sorted(set(changed) - RELOADABLE_KEYS)
        if needs_restart:
            _LOG.warning(
                "changed settings take effect after a restart.", keys=needs_restart
            )
        self._settings = settings
        return settings

    def _read_fingerprint(self) -> tuple[int, int, int] | None:
        try:
            file_stat = os.stat(self._path)
        except OSError:
            return None
        return file_stat.st_mtime_ns, file_stat.st_size, file_stat.st_ino
