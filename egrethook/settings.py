"""The settings of one balancer process, read from one YAML file."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

from pydantic import Field, ValidationError, field_validator

from egrethook.addresses import Address
from egrethook.exceptions import DocumentError, SettingsError
from egrethook.published.documents import AddressText, Model, describe, load_yaml
from egrethook.types import Name

Secret = Annotated[str, Field(min_length=16, max_length=256)]


class BalancerSettings(Model):
    """Settings of a balancer process."""

    name: Name = Field(
        description="name of this balancer in the platform's list of VMs"
    )
    failure_domain: Name = Field(description="failure domain of this VM")
    callers: AddressText = Field(description="host:port that receives callers' packets")
    peers: AddressText = Field(description="host:port for messages between balancers")
    admin: AddressText = Field(description="host:port of the administration API")
    platform: str = Field(
        pattern=r"^https?://[^/]+$", description="base URL of the platform"
    )
    known_peers: list[AddressText] = Field(
        default_factory=list,
        max_length=16,
        description="admin addresses of balancers to ask when the platform is down",
    )
    fleet_secrets: list[Secret] = Field(
        min_length=1,
        max_length=4,
        description="secrets of the fleet; the first signs messages, all are accepted",
    )
    start_timeout_s: float = Field(
        10.0,
        gt=0.0,
        le=600.0,
        description="timeout for the first configuration, in seconds",
    )
    leave_s: float = Field(
        2.0,
        ge=0.0,
        le=600.0,
        description="time to keep relaying packets after the last request, in seconds",
    )
    leave_timeout_s: float = Field(
        30.0, gt=0.0, le=3600.0, description="timeout of a graceful leave, in seconds"
    )
    seed: int | None = Field(
        None, description="seed of random choices; for tests", ge=0, le=2**63 - 1
    )

    @field_validator("callers", "peers", "admin")
    @classmethod
    def _is_address(cls, text: str) -> str:
        Address.parse(text)
        return text

    @field_validator("known_peers")
    @classmethod
    def _are_addresses(cls, texts: list[str]) -> list[str]:
        for text in texts:
            Address.parse(text)
        return texts


def parse_settings(text: str, origin: str) -> BalancerSettings:
    """Parse and validate the text of a settings file.

    Raises
    ------
    SettingsError
        If the text is not valid; names the file, the key and the reason.
    """
    try:
        return BalancerSettings.model_validate(load_yaml(text))
    except DocumentError as error:
        raise SettingsError(f"{origin}: {error.args[0]}") from None
    except ValidationError as error:
        raise SettingsError(f"{origin}: {describe(error)}") from None


def load_settings(path: Path) -> BalancerSettings:
    """Read a settings file.

    Raises
    ------
    SettingsError
        If the file can't be read or is not valid.
    """
    return parse_settings(read_text(path), str(path))


def read_text(path: Path) -> str:
    """Return a file's text.

    Raises
    ------
    SettingsError
        If the file can't be read.
    """
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        reason = getattr(error, "strerror", None) or "not UTF-8 text"
        raise SettingsError(f"{path}: {reason}") from None
