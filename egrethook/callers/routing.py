"""Where a packet that carries a token goes."""

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


class Route(NamedTuple):
    """Where a packet goes, or why the flow is given up."""

    action: Action
    address: Address
    code: Refusal | None = None


def route_flow(token: Token, configuration: Configuration) -> Route:
    """Route a packet of an established flow.

    The newer of token and configuration decides: a token that was issued
    under a newer configuration than this balancer's is followed as it is, so
    that a balancer that is behind breaks no flow.

    Parameters
    ----------
    token : Token
        A token whose hash has been checked.
    configuration : Configuration
        The configuration in force here.
    """
    if token.revision > configuration.complete_revision:
        return Route(Action.FORWARD, token.address)
    endpoint = configuration.endpoint(token.service_name, token.upstream)
    if endpoint is None or not _matches_token(endpoint, token):
        return Route(Action.RESET, token.caller, Refusal.UPSTREAM_GONE)
    if not configuration.in_service(endpoint.domain):
        return Route(Action.RESET, token.caller, Refusal.DOMAIN_OUT)
    return Route(Action.FORWARD, endpoint.flow_address)


def _matches_token(endpoint: Endpoint, token: Token) -> bool:
    """Return whether an endpoint is still the one that the token names."""
    host, port = endpoint.flow_address
    return (
        endpoint.incarnation == token.incarnation
        and host == token.host
        and port == token.port
    )
