"""The active configuration and the rules by which it advances."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from types import MappingProxyType

from egrethook.addresses import Address
from egrethook.callers.tokens import KeyRing
from egrethook.exceptions import DocumentError
from egrethook.published.documents import (
    EndpointModel,
    IndexDocument,
    PresetModel,
    ServicesDocument,
    VmModel,
    VmsDocument,
    parse_value,
)
from egrethook.types import UpstreamState, VmState


@dataclass(frozen=True, slots=True)
class Endpoint:
    """An upstream as published by the platform.

    `slots` and `connections` limit its concurrent requests and open flows. The
    fields starting with ``cold`` are its limits until it has warmed up; see
    `ColdModel`.
    """

    name: str
    service: str
    address: Address
    flow_address: Address
    domain: str
    incarnation: int
    state: UpstreamState
    slots: int
    connections: int
    cold_slots: int
    cold_connections: int
    cold_answers: int


@dataclass(frozen=True)
class Vm:
    """An entry VM, on which a balancer runs, as published by the platform.

    See `VmModel` for the meaning of the fields.
    """

    name: str
    domain: str
    callers: Address
    peers: Address
    admin: Address
    state: VmState
    weight: float


@dataclass(frozen=True)
class Limits:
    """The limits of the active preset; see `PresetModel` for their meaning."""

    queue_per_slot: int = 8
    flow_fill: float = 1.0
    retry_share: float = 0.1
    retry_floor: int = 5
    warm_step_s: float = 1.0
    warm_growth: float = 1.5
    max_hops: int = 12
    trace_share: float = 0.0


@dataclass(frozen=True)
class Domain:
    """A failure domain; it receives packets only while it is in service."""

    name: str
    region: str
    in_service: bool


@dataclass(frozen=True)
class Configuration:
    """An immutable snapshot of the configuration.

    Parameters
    ----------
    revision : int
        The highest revision among the values that it was built from.
    complete_revision : int
        The revision of the last index whose values were all read; 0 before.
    preset : str
        The name of the active preset.
    services : mapping of str to mapping of str to Endpoint
        The endpoints of each service by name.
    """

    revision: int
    complete_revision: int
    preset: str
    limits: Limits
    domains: Mapping[str, Domain]
    keys: KeyRing
    services: Mapping[str, Mapping[str, Endpoint]]
    vms: Mapping[str, Vm]

    @property
    def is_complete(self) -> bool:
        """Whether all values of at least one index have been read."""
        return self.complete_revision > 0

    def in_service(self, domain: str) -> bool:
        """Return whether a failure domain may receive packets."""
        found = self.domains.get(domain)
        return found is not None and found.in_service

    def endpoint(self, service: str, name: str) -> Endpoint | None:
        """Return an endpoint of a service, or None."""
        return self.services.get(service, {}).get(name)

    def candidates(self, service: str) -> list[Endpoint]:
        """Return the endpoints of a service that may receive new work."""
        endpoints = self.services.get(service, {}).values()
        return [
            endpoint
            for endpoint in endpoints
            if endpoint.state is UpstreamState.ACTIVE
            and self.in_service(endpoint.domain)
        ]

    def endpoints(self) -> Iterator[Endpoint]:
        """Yield the endpoints of all services."""
        for endpoints in self.services.values():
            yield from endpoints.values()


def _endpoint(service: str, model: EndpointModel) -> Endpoint:
    return Endpoint(
        name=model.name,
        service=service,
        address=Address.parse(model.address),
        flow_address=Address.parse(model.flow_address),
        domain=model.failure_domain,
        incarnation=model.incarnation,
        state=model.state,
        slots=model.slots,
        connections=model.connections,
        cold_slots=min(model.cold.slots, model.slots),
        cold_connections=min(model.cold.connections, model.connections),
        cold_answers=model.cold.answers,
    )


def _vm(model: VmModel) -> Vm:
    return Vm(
        name=model.name,
        domain=model.failure_domain,
        callers=Address.parse(model.callers),
        peers=Address.parse(model.peers),
        admin=Address.parse(model.admin),
        state=model.state,
        weight=model.weight,
    )


def limits_from_preset(model: PresetModel) -> Limits:
    """Return a preset's limits as plain data."""
    return Limits(**model.model_dump())


@dataclass(frozen=True, order=True)
class DocumentKey:
    """Identifies a published value other than the index."""

    kind: str
    name: str


@dataclass(frozen=True)
class _StoredDocument:
    """An accepted value, both as published and converted to plain data."""

    revision: int
    raw: bytes
    services: tuple[str, ...] = ()
    endpoints: tuple[Endpoint, ...] = ()
    vms: tuple[Vm, ...] = ()


def _stored_document(
    document: ServicesDocument | VmsDocument, raw: bytes
) -> _StoredDocument:
    if isinstance(document, VmsDocument):
        vms = tuple(_vm(model) for model in document.vms)
        return _StoredDocument(document.revision, raw, vms=vms)
    return _StoredDocument(
        document.revision,
        raw,
        services=tuple(service.name for service in document.services),
        endpoints=tuple(
            _endpoint(service.name, model)
            for service in document.services
            for model in service.endpoints
        ),
    )


class ConfigurationStore:
    """Holds the last valid values; the revision of each only increases.

    Every balancer accepts or refuses a value alike, because validity depends only
    on the value and order only on its revision.
    """

    def __init__(self) -> None:
        self._index: IndexDocument | None = None
        self._raw_index: bytes | None = None
        self._documents: dict[DocumentKey, _StoredDocument] = {}
        self._refused: dict[DocumentKey, int] = {}
        self._configuration: Configuration | None = None
        self._conflicts: list[str] = []
        self._complete_revision = 0

    @property
    def configuration(self) -> Configuration | None:
        """The active configuration; None before the first index."""
        return self._configuration

    @property
    def revision(self) -> int:
        """The revision of the active index; 0 before the first."""
        return self._index.revision if self._index else 0

    @property
    def conflicts(self) -> list[str]:
        """Endpoints left out because another one owns their flow address."""
        return list(self._conflicts)

    @property
    def refused(self) -> dict[DocumentKey, int]:
        """The refused revision of each value whose newest revision is not valid."""
        return dict(self._refused)

    def raw_index(self) -> bytes | None:
        """Return the active index as published."""
        return self._raw_index

    def raw_document(self, key: DocumentKey) -> bytes | None:
        """Return an accepted value as published, or None."""
        stored = self._documents.get(key)
        return stored.raw if stored else None

    def keys_to_fetch(self) -> list[DocumentKey]:
        """Return the values of which the index lists a newer revision.

        Refused revisions are left out.
        """
        return sorted(
            key
            for key, revision in self._indexed_revisions().items()
            if revision > max(self._stored_revision(key), self._refused.get(key, 0))
        )

    def offer_index(self, raw: bytes) -> bool:
        """Accept an index if it is newer than the active one.

        Returns
        -------
        bool
            Whether the index was accepted.

        Raises
        ------
        DocumentError
            If the index is not valid; the last valid one stays active.
        """
        document = parse_value(raw)
        if not isinstance(document, IndexDocument):
            raise DocumentError(
                f"expected a document of kind index, got {document.kind}"
            )
        if document.revision <= self.revision:
            return False
        self._index = document
        self._raw_index = raw
        self._rebuild()
        return True

    def offer_document(self, key: DocumentKey, raw: bytes) -> bool:
        """Accept a value if it is newer than the active one.

        Returns
        -------
        bool
            Whether the value was accepted.

        Raises
        ------
        DocumentError
            If the value is not valid; the last valid one stays active and the
            refused revision is not requested again.
        """
        try:
            document = parse_value(raw)
            if isinstance(document, IndexDocument):
                raise DocumentError(f"expected {key.kind}/{key.name}, got an index")
            if (document.kind, document.name) != (key.kind, key.name):
                raise DocumentError(
                    f"expected {key.kind}/{key.name},"
                    f" got {document.kind}/{document.name}"
                )
        except DocumentError:
            self._refused[key] = self._indexed_revisions().get(key, 0)
            self._rebuild()
            raise
        if document.revision <= self._stored_revision(key):
            return False
        self._documents[key] = _stored_document(document, raw)
        self._refused.pop(key, None)
        self._rebuild()
        return True

    def _stored_revision(self, key: DocumentKey) -> int:
        stored = self._documents.get(key)
        return stored.revision if stored else 0

    def _indexed_revisions(self) -> dict[DocumentKey, int]:
        """Return the revision that the index lists for each value."""
        if self._index is None:
            return {}
        index = self._index
        revisions = {DocumentKey("services", n): r for n, r in index.services.items()}
        revisions.update({DocumentKey("vms", n): r for n, r in index.vms.items()})
        return revisions

    def _rebuild(self) -> None:
        """Build the active configuration from the index and the values it lists."""
        if self._index is None:
            return
        index = self._index
        stored = [
            self._documents[key]
            for key in sorted(self._indexed_revisions())
            if key in self._documents
        ]
        if not self.keys_to_fetch():
            self._complete_revision = index.revision
        keys = {key_id: bytes.fromhex(text) for key_id, text in index.keys.items()}
        self._configuration = Configuration(
            revision=max([index.revision, *(value.revision for value in stored)]),
            complete_revision=self._complete_revision,
            preset=index.preset,
            limits=limits_from_preset(index.presets[index.preset]),
            domains=MappingProxyType(
                {
                    name: Domain(name, model.region, model.in_service)
                    for name, model in index.failure_domains.items()
                }
            ),
            keys=KeyRing(keys, index.signing_key),
            services=MappingProxyType(self._services(stored)),
            vms=MappingProxyType({vm.name: vm for value in stored for vm in value.vms}),
        )

    def _services(
        self, stored: list[_StoredDocument]
    ) -> dict[str, dict[str, Endpoint]]:
        """Group the endpoints by service, without those in an address conflict."""
        endpoints = [endpoint for value in stored for endpoint in value.endpoints]
        services: dict[str, dict[str, Endpoint]] = {
            name: {} for value in stored for name in value.services
        }
        self._conflicts = []
        owners = _address_owners(endpoints)
        for endpoint in endpoints:
            if owners[endpoint.flow_address] is endpoint:
                services[endpoint.service][endpoint.name] = endpoint
            else:
                self._conflicts.append(f"{endpoint.service}/{endpoint.name}")
        return services


def _address_owners(endpoints: list[Endpoint]) -> dict[Address, Endpoint]:
    """Return the endpoint that owns each flow address: the latest incarnation.

    Ties are broken by name, so the result does not depend on the order of reading.
    """
    owners: dict[Address, Endpoint] = {}
    for endpoint in endpoints:
        owner = owners.get(endpoint.flow_address)
        rank = (endpoint.incarnation, endpoint.service, endpoint.name)
        if owner is None or rank > (owner.incarnation, owner.service, owner.name):
            owners[endpoint.flow_address] = endpoint
    return owners
