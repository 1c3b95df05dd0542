"""Validated models of the values that the platform publishes.

A value is a JSON document of one of three kinds: the index, a group of services, or
the VMs of a failure domain.
"""

from __future__ import annotations

import json
from typing import Annotated, Any, Literal

import yaml
from pydantic import (
    BaseModel,
    ConfigDict,
    Field,
    TypeAdapter,
    ValidationError,
    field_validator,
    model_validator,
)

from egrethook.addresses import Address
from egrethook.exceptions import DocumentError
from egrethook.types import Name, UpstreamState, VmState

MAX_VALUE_BYTES = 1_000_000
"""Maximum size of a value that the platform holds, in bytes."""

KEY_LENGTH_BYTES = (16, 64)
"""Minimum and maximum length of a key that signs tokens, in bytes."""

Revision = Annotated[int, Field(ge=1, le=2**62)]


class Model(BaseModel):
    """Base class of the models; rejects unknown keys."""

    model_config = ConfigDict(extra="forbid", frozen=True)


def _validate_address(text: str) -> str:
    Address.parse(text)
    return text


AddressText = Annotated[str, Field(max_length=64)]


class ColdModel(Model):
    """Limits of an upstream while it is cold, that is, not warmed up yet."""

    slots: int = Field(1, ge=1, le=1024, description="maximum concurrent requests")
    connections: int = Field(100, ge=1, le=1_000_000, description="maximum open flows")
    answers: int = Field(
        20, ge=1, le=1_000_000, description="answers after which the upstream is warm"
    )


class EndpointModel(Model):
    """An upstream of a service."""

    name: Name
    address: AddressText = Field(description="host:port for requests")
    flow_address: AddressText = Field(description="host:port for flow packets")
    failure_domain: Name
    incarnation: int = Field(
        1, ge=1, le=2**62, description="increases with each reuse of the address"
    )
    state: UpstreamState = UpstreamState.ACTIVE
    slots: int = Field(2, ge=1, le=1024, description="maximum concurrent requests")
    connections: int = Field(
        2000, ge=1, le=10_000_000, description="maximum open flows"
    )
    cold: ColdModel = ColdModel()

    _check_address = field_validator("address", "flow_address")(_validate_address)


class ServiceModel(Model):
    """A named set of upstreams."""

    name: Name
    endpoints: list[EndpointModel] = Field(max_length=4096)

    @model_validator(mode="after")
    def _unique_names(self) -> ServiceModel:
        names = [endpoint.name for endpoint in self.endpoints]
        if len(set(names)) != len(names):
            raise ValueError(f"service {self.name} has two endpoints of the same name")
        return self


class ServicesDocument(Model):
    """A published value: a group of services."""

    kind: Literal["services"]
    name: Name
    revision: Revision
    services: list[ServiceModel] = Field(max_length=1024)


class VmModel(Model):
    """An entry VM and the addresses of the balancer on it."""

    name: Name
    failure_domain: Name
    callers: AddressText = Field(description="host:port that receives callers' packets")
    peers: AddressText = Field(description="host:port for messages between balancers")
    admin: AddressText = Field(description="host:port of the administration API")
    state: VmState = VmState.LIVE
    weight: float = Field(
        1.0, gt=0.0, le=100.0, description="relative share of upstreams owned"
    )

    _check_address = field_validator("callers", "peers", "admin")(_validate_address)


class VmsDocument(Model):
    """A published value: the entry VMs of one failure domain."""

    kind: Literal["vms"]
    name: Name
    revision: Revision
    vms: list[VmModel] = Field(max_length=1024)


class PresetModel(Model):
    """The limits of one operating mode."""

    queue_per_slot: int = Field(
        8, ge=0, le=1000, description="maximum queued requests per slot"
    )
    flow_fill: float = Field(
        1.0,
        gt=0.0,
        le=1.0,
        description="maximum share of an upstream's `connections` in use",
    )
    retry_share: float = Field(
        0.1, ge=0.0, le=1.0, description="maximum ratio of retries to recent requests"
    )
    retry_floor: int = Field(
        5, ge=0, le=1000, description="retries allowed when there is little traffic"
    )
    warm_step_s: float = Field(
        1.0,
        gt=0.0,
        le=600.0,
        description="minimum time between warm-up steps, in seconds",
    )
    warm_growth: float = Field(
        1.5,
        gt=1.0,
        le=10.0,
        description="growth factor of a cold upstream's flow limit per warm-up step",
    )
    max_hops: int = Field(12, ge=1, le=64, description="maximum relays of one packet")
    trace_share: float = Field(
        0.0, ge=0.0, le=1.0, description="share of requests that are traced"
    )


class DomainModel(Model):
    """A failure domain."""

    region: Name
    in_service: bool = True


class IndexDocument(Model):
    """The root value: lists the revisions of all others and selects the preset.

    `keys` are the keys of accepted tokens by id, in hexadecimal; new tokens are signed
    with the one that `signing_key` names. `services` and `vms` hold the revisions of
    the other values by name.
    """

    kind: Literal["index"]
    revision: Revision
    preset: Name = Field(description="name of the active preset")
    presets: dict[Name, PresetModel] = Field(min_length=1, max_length=64)
    failure_domains: dict[Name, DomainModel] = Field(min_length=1, max_length=256)
    keys: dict[int, str] = Field(min_length=1, max_length=16)
    signing_key: int
    services: dict[Name, Revision] = Field(default_factory=dict, max_length=4096)
    vms: dict[Name, Revision] = Field(default_factory=dict, max_length=1024)

    @field_validator("keys")
    @classmethod
    def _check_keys(cls, keys: dict[int, str]) -> dict[int, str]:
        shortest, longest = KEY_LENGTH_BYTES
        for key_id, text in keys.items():
            if not 0 <= key_id < 2**32:
                raise ValueError(f"key id {key_id} is outside 0 to 2**32 - 1")
            try:
                length = len(bytes.fromhex(text))
            except ValueError:
                raise ValueError(f"key {key_id} is not hexadecimal") from None
            if not shortest <= length <= longest:
                raise ValueError(
                    f"key {key_id} has {length} bytes; expected {shortest} to {longest}"
                )
        return keys

    @model_validator(mode="after")
    def _check_references(self) -> IndexDocument:
        if self.preset not in self.presets:
            raise ValueError(f"preset {self.preset} is not among the presets")
        if self.signing_key not in self.keys:
            raise ValueError(f"signing key {self.signing_key} is not among the keys")
        return self


Document = IndexDocument | ServicesDocument | VmsDocument
_DOCUMENT_ADAPTER: TypeAdapter[Document] = TypeAdapter(
    Annotated[Document, Field(discriminator="kind")]
)


def _reject_duplicate_keys(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    result = dict(pairs)
    if len(result) != len(pairs):
        keys = [key for key, _ in pairs]
        duplicate = next(key for key in keys if keys.count(key) > 1)
        raise DocumentError(f"duplicate key {duplicate!r}")
    return result


class _StrictLoader(yaml.SafeLoader):
    """YAML loader that rejects duplicate keys in mappings."""

    def construct_mapping(self, node: Any, deep: bool = False) -> dict[Any, Any]:
        """Build a mapping after checking its keys for duplicates."""
        keys = [self.construct_object(key, deep=True) for key, _ in node.value]
        for position, key in enumerate(keys):
            if key in keys[:position]:
                raise DocumentError(f"duplicate key {key!r}")
        return super().construct_mapping(node, deep)


def load_yaml(text: str) -> Any:
    """Parse YAML and reject duplicate keys.

    Raises
    ------
    DocumentError
        If the text is not valid YAML or has a duplicate key.
    """
    try:
        return yaml.load(text, Loader=_StrictLoader)
    except (yaml.YAMLError, TypeError, ValueError, RecursionError) as error:
        raise DocumentError(f"not valid YAML: {' '.join(str(error).split())}") from None


def describe(error: ValidationError) -> str:
    """Return path and reason of the first five validation errors, on one line."""
    parts = []
    for issue in error.errors()[:5]:
        path = ".".join(str(item) for item in issue["loc"]) or "(the whole value)"
        parts.append(f"{path}: {issue['msg']}")
    return "; ".join(parts)


def parse_value(data: bytes) -> Document:
    """Parse and validate a published value, which is JSON.

    Raises
    ------
    DocumentError
        If the value is too long, not valid JSON or not a valid document.
    """
    if len(data) > MAX_VALUE_BYTES:
        raise DocumentError(f"value of {len(data)} bytes; limit {MAX_VALUE_BYTES}")
    try:
        plain = json.loads(data, object_pairs_hook=_reject_duplicate_keys)
    except (ValueError, RecursionError) as error:
        raise DocumentError(f"not valid JSON: {error}") from None
    return validate(plain)


def validate(plain: Any) -> Document:
    """Validate a decoded document.

    Raises
    ------
    DocumentError
        If the document is not valid; names path and reason of each error.
    """
    try:
        return _DOCUMENT_ADAPTER.validate_python(plain)
    except ValidationError as error:
        raise DocumentError(describe(error)) from None


def render(document: Document) -> bytes:
    """Return a document as the JSON that the platform publishes."""
    return document.model_dump_json().encode()
