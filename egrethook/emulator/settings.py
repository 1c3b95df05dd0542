"""Settings of the emulators."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Literal

from pydantic import Field, TypeAdapter, ValidationError

from egrethook.exceptions import DocumentError, SettingsError
from egrethook.published.documents import (
    AddressText,
    EndpointModel,
    Model,
    describe,
    load_yaml,
)
from egrethook.settings import read_text
from egrethook.types import Name


class PlatformSettings(Model):
    """Settings of the emulated platform."""

    kind: Literal["platform"]
    listen: AddressText
    index: dict = Field(default_factory=dict, description="index published at start")
    values: list[dict] = Field(
        default_factory=list, description="documents published at start"
    )


class UpstreamSettings(Model):
    """Settings of an emulated upstream."""

    kind: Literal["upstream"]
    control: AddressText
    service: Name
    endpoint: EndpointModel
    mean_service_s: float = Field(0.02, ge=0.0, le=60.0)
    answer_bytes: int = Field(200, ge=0, le=1_000_000)
    seed: int = 0


class FabricSettings(Model):
    """Settings of the emulated fabric."""

    kind: Literal["fabric"]
    control: AddressText
    listen: AddressText
    platform: str
    loss: float = Field(0.0, ge=0.0, le=1.0)
    doubling: float = Field(0.0, ge=0.0, le=1.0)
    delay_s: float = Field(0.0, ge=0.0, le=10.0)
    jitter_s: float = Field(0.0, ge=0.0, le=10.0)
    seed: int = 0


EmulatorSettings = PlatformSettings | UpstreamSettings | FabricSettings
_ADAPTER: TypeAdapter[EmulatorSettings] = TypeAdapter(
    Annotated[EmulatorSettings, Field(discriminator="kind")]
)


def load_emulator_settings(path: Path) -> EmulatorSettings:
    """Read the settings of an emulator.

    Raises
    ------
    SettingsError
        If the file can't be read or its contents are not valid.
    """
    try:
        return _ADAPTER.validate_python(load_yaml(read_text(path)))
    except DocumentError as error:
        raise SettingsError(f"{path}: {error.args[0]}") from None
    except ValidationError as error:
        raise SettingsError(f"{path}: {describe(error)}") from None
