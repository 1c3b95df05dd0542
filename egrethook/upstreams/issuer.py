"""Admits flows and issues tokens that name their upstream and executor."""

from __future__ import annotations

from egrethook.addresses import Address
from egrethook.callers.packets import Grant, Granted, Open, Opened
from egrethook.callers.tokens import Token, new_serial
from egrethook.clock import Clock
from egrethook.published.configuration import Endpoint
from egrethook.types import ExecutorId
from egrethook.upstreams.interfaces import ConfigurationSource, PacketSender
from egrethook.upstreams.pool import OwnedUpstream, UpstreamPool
from egrethook.upstreams.rights import TOKEN_LIFE_S, Rights

MAX_REMEMBERED_OPENS = 4096
"""Maximum opened flows whose token is kept for duplicate `Open` packets."""


class TokenIssuer:
    """Issues tokens for flows and for non-idempotent requests.

    Parameters
    ----------
    identity : ExecutorId
        This process.
    source : ConfigurationSource
        The active configuration.
    pool : UpstreamPool
        The owned upstreams.
    rights : Rights
        Records the tokens whose requests only this process may run.
    sender : PacketSender
        Sends packets to callers.
    clock : Clock
        The time.
    """

    def __init__(
        self,
        identity: ExecutorId,
        source: ConfigurationSource,
        pool: UpstreamPool,
        rights: Rights,
        sender: PacketSender,
        clock: Clock,
    ) -> None:
        self._identity = identity
        self._source = source
        self._pool = pool
        self._rights = rights
        self._sender = sender
        self._clock = clock
        self._opened: dict[tuple[int, int], Opened] = {}
        self._flows_opened = 0

    @property
    def flows_opened(self) -> int:
        """Number of flows admitted here."""
        return self._flows_opened

    def open(self, packet: Open, target: str, queue: bool = False) -> bool:
        """Admit a flow; return False if no owned upstream has room.

        `target` is the upstream to prefer among those equally filled. `queue` has no
        effect, because flows are never queued.
        """
        caller = Address(packet.caller_host, packet.caller_port)
        key = (packet.caller_id, packet.number)
        opened = self._opened.get(key)
        if opened is None:
            upstream = self._choose_for_flow(packet.service_name, target)
            if upstream is None:
                return False
            token = self.create_token(upstream.admission.endpoint, caller, new_serial())
            opened = Opened(packet.number, token)
            self._remember(key, opened)
            self._flows_opened += 1
        self._sender.send(caller, opened)
        return True

    def has_opened(self, packet: Open) -> bool:
        """Return whether the packet or a duplicate of it has opened a flow here."""
        return (packet.caller_id, packet.number) in self._opened

    def grant(self, packet: Grant, target: str, queue: bool) -> bool:
        """Issue a token; return False if no owned upstream has room.

        `target` is the upstream to prefer. With `queue`, the upstream with the
        shortest queueing time is used if none has a free slot.
        """
        now = self._clock.now()
        upstream = self._choose_for_token(packet.service_name, target, queue, now)
        if upstream is None:
            return False
        serial = self._rights.issue(now)
        if serial is None:
            return False
        upstream.admission.reserve_slot(now)
        caller = Address(packet.caller_host, packet.caller_port)
        token = self.create_token(upstream.admission.endpoint, caller, serial)
        life_ms = int(TOKEN_LIFE_S * 1000)
        self._sender.send(caller, Granted(packet.number, token, life_ms))
        return True

    def create_token(self, endpoint: Endpoint, caller: Address, serial: int) -> bytes:
        """Return a signed token that names an upstream and this executor."""
        configuration = self._source.configuration
        assert configuration is not None
        token = Token(
            serial=serial,
            service_name=endpoint.service,
            upstream=endpoint.name,
            host=endpoint.flow_address.host,
            port=endpoint.flow_address.port,
            incarnation=endpoint.incarnation,
            executor=self._identity.balancer,
            executor_incarnation=self._identity.incarnation,
            revision=configuration.revision,
            caller_host=caller.host,
            caller_port=caller.port,
        )
        return configuration.keys.seal(token)

    def _choose_for_flow(self, service: str, target: str) -> OwnedUpstream | None:
        owned = self._pool.owned_for(service, target)
        owned.sort(key=lambda upstream: upstream.admission.flow_fill_ppm)
        if owned and owned[0].admission.open_flow(self._clock.now()):
            return owned[0]
        return None

    def _choose_for_token(
        self, service: str, target: str, queue: bool, now: float
    ) -> OwnedUpstream | None:
        owned = self._pool.owned_for(service, target)
        for upstream in owned:
            if upstream.admission.can_reserve_slot(now):
                return upstream
        if not queue or not owned:
            return None
        return min(owned, key=lambda upstream: upstream.expected_wait_s)

    def _remember(self, key: tuple[int, int], opened: Opened) -> None:
        self._opened[key] = opened
        if len(self._opened) > MAX_REMEMBERED_OPENS:
            del self._opened[next(iter(self._opened))]
