"""Routing of flow packets by their token."""

from __future__ import annotations

import enum
from typing import NamedTuple

from egrethook.addresses import Address
from egrethook.callers.tokens import Token
from egrethook.published.configuration import Configuration, Endpoint
from egrethook.verdicts import Refusal


class Action(enum.Enum):
    """What to do with a packet of an established flow."""

    FORWARD = "forward"
    RESET = "reset"


class RoutingDecision(NamedTuple):
    """Whether to forward a packet or reset its flow.

    Parameters
    ----------
    address : Address
        The upstream that gets the packet, or the caller that gets the reset.
    code : Refusal or None
        The reason for a reset.
    """

    action: Action
    address: Address
    code: Refusal | None = None


def route_flow(token: Token, configuration: Configuration) -> RoutingDecision:
    """Route a packet of an established flow.

    The newer of the token and the configuration decides. A token issued under a
    newer configuration than this balancer's is followed as it is, so that a balancer
    with an outdated configuration does not break flows.

    Parameters
    ----------
    token : Token
        A token whose MAC has been verified.
    configuration : Configuration
        The current configuration of this balancer.
    """
    if token.revision > configuration.complete_revision:
        return RoutingDecision(Action.FORWARD, token.address)
    endpoint = configuration.endpoint(token.service_name, token.upstream)
    if endpoint is None or not _matches_token(endpoint, token):
        return RoutingDecision(Action.RESET, token.caller, Refusal.UPSTREAM_GONE)
    if not configuration.in_service(endpoint.domain):
        return RoutingDecision(Action.RESET, token.caller, Refusal.DOMAIN_OUT)
    return RoutingDecision(Action.FORWARD, endpoint.flow_address)


def _matches_token(endpoint: Endpoint, token: Token) -> bool:
    """Return whether an endpoint has the incarnation and address in the token."""
    host, port = endpoint.flow_address
    return (
        endpoint.incarnation == token.incarnation
        and host == token.host
        and port == token.port
    )
