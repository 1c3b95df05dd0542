"""HTTP administration API of one balancer."""

from __future__ import annotations

import hmac
import re

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from egrethook.balancer import Balancer
from egrethook.operators.status import balancer_status
from egrethook.published.configuration import DocumentKey

JSON_MEDIA_TYPE = "application/json"

_REVISION = re.compile("[0-9]{1,19}")
"""Text of a revision, a 64-bit number."""


class AdminApi:
    """Serves status pages, published values and the request to leave the fleet.

    Other balancers read the published values when the platform is down or behind.
    The values and the request to leave require the fleet secret.

    Parameters
    ----------
    balancer : Balancer
        The balancer to administer.
    """

    def __init__(self, balancer: Balancer) -> None:
        self._balancer = balancer
        self._secrets = balancer.settings.fleet_secrets

    def app(self) -> Starlette:
        """Return the HTTP application."""
        return Starlette(
            routes=[
                Route("/healthz", self._health),
                Route("/readyz", self._ready),
                Route("/metrics", self._metrics),
                Route("/status", self._status),
                Route("/leave", self._leave, methods=["POST"]),
                Route("/v1/index", self._index),
                Route("/v1/{kind}/{name}", self._document),
            ]
        )

    def _authorized(self, request: Request) -> bool:
        header = request.headers.get("authorization", "")
        given = header.removeprefix("Bearer ").encode()
        return any(
            hmac.compare_digest(given, secret.encode()) for secret in self._secrets
        )

    async def _health(self, request: Request) -> Response:
        return JSONResponse({"healthy": True})

    async def _ready(self, request: Request) -> Response:
        ready = self._balancer.ready
        return JSONResponse({"ready": ready}, 200 if ready else 503)

    async def _metrics(self, request: Request) -> Response:
        update_gauges(self._balancer)
        return Response(
            self._balancer.metrics.render(), media_type="text/plain; version=0.0.4"
        )

    async def _status(self, request: Request) -> Response:
        return JSONResponse(balancer_status(self._balancer))

    async def _leave(self, request: Request) -> Response:
        if not self._authorized(request):
            return _unauthorized()
        self._balancer.leave()
        return JSONResponse({"leaving": True}, 202)

    async def _index(self, request: Request) -> Response:
        """Return the index as published, for a balancer with an older revision."""
        if not self._authorized(request):
            return _unauthorized()
        store = self._balancer.store
        raw = store.raw_index()
        if raw is None:
            return _error("E102", "no configuration yet", 404)
        after = request.query_params.get("after", "0")
        if _REVISION.fullmatch(after) and store.revision <= int(after):
            return Response(status_code=304)
        return Response(raw, media_type=JSON_MEDIA_TYPE)

    async def _document(self, request: Request) -> Response:
        if not self._authorized(request):
            return _unauthorized()
        params = request.path_params
        raw = self._balancer.store.raw_document(
            DocumentKey(params["kind"], params["name"])
        )
        if raw is None:
            return _error("E102", "no such value", 404)
        return Response(raw, media_type=JSON_MEDIA_TYPE)


def _error(code: str, reason: str, status: int) -> Response:
    return JSONResponse({"code": code, "error": reason}, status)


def _unauthorized() -> Response:
    return _error("E106", "the shared secret is missing or wrong", 401)


def update_gauges(balancer: Balancer) -> None:
    """Set the gauges to the values that the balancer's other objects hold."""
    metrics = balancer.metrics
    status = balancer_status(balancer)
    for state, value in status["requests"].items():
        metrics.requests.labels(state=state).set(value)
    metrics.refused_values.set(len(balancer.store.refused))
    metrics.conflicts.set(len(balancer.store.conflicts))
    metrics.live_members.set(sum(m["alive"] for m in status["members"]))
