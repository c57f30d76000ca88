"""HTTP client for endpoints: lease renewals, requests and cancellations.

A renewal is `POST /control/lease` with a JSON body. Requests are sent to
`/requests/<service>/<kind>/<key>` with the fencing token, the unit, the request
identifier, the remaining time and the digest of the body in headers.
`POST /control/cancel/<request id>` tells the endpoint that no caller waits for a
request any more.
"""

import base64
import contextlib
import dataclasses
import hashlib
import urllib.parse

import msgspec

from arbutusflow.domain.configuration import Endpoint
from arbutusflow.domain.records import LeaseRenewal, LeaseReply, Token
from arbutusflow.errors import EndpointError
from arbutusflow.runtime.curl_loop import (
    CurlError,
    CurlLoop,
    CurlRequest,
    CurlResponse,
)

LEASE_RENEWAL_TIMEOUT_MS = 350
CANCEL_TIMEOUT_MS = 350


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointRequest:
    """A request to be sent to an endpoint."""

    service: str
    kind: str
    key: str
    unit: int
    method: str
    body: bytes
    content_type: str
    request_id: str
    repeatable: bool


class EndpointClient:
    """Sends requests to endpoints over a shared connection pool."""

    def __init__(self, curl: CurlLoop) -> None:
        self._curl = curl

    async def renew(self, endpoint: Endpoint, renewal: LeaseRenewal) -> LeaseReply:
        """Send a renewal; raise `EndpointError` unless a valid reply arrives."""
        response = await self._curl.perform(
            CurlRequest(
                "POST",
                f"http://{endpoint.host}:{endpoint.port}/control/lease",
                ("Content-Type: application/json",),
                msgspec.json.encode(renewal),
                LEASE_RENEWAL_TIMEOUT_MS,
            )
        )
        if response.status != 200:
            raise EndpointError(
                f"{endpoint.name} responded to a renewal with status {response.status}"
            )
        try:
            return msgspec.json.decode(response.body, type=LeaseReply)
        except msgspec.MsgspecError as exc:
            raise EndpointError(
                f"{endpoint.name} sent a malformed reply to a renewal"
            ) from exc

    async def send(
        self,
        endpoint: Endpoint,
        request: EndpointRequest,
        token: Token,
        timeout_ms: int,
        progress_ms: int = 0,
        attempt: int = 1,
    ) -> CurlResponse:
        """Send a request; raise `CurlError` unless the complete response arrived.

        Attempts after the first use a new connection. A request that is not repeatable
        is sent at most once, on a connection that is new or was used recently.
        """
        key = urllib.parse.quote(request.key, safe="")
        return await self._curl.perform(
            CurlRequest(
                request.method,
                f"http://{endpoint.host}:{endpoint.port}/requests/{request.service}/{request.kind}/{key}",
                (
                    f"Content-Type: {request.content_type}",
                    f"Arbutus-Token: {token.term}.{token.sequence}",
                    f"Arbutus-Unit: {request.unit}",
                    f"Arbutus-Request-Id: {request.request_id}",
                    f"Arbutus-Deadline-Ms: {timeout_ms}",
                    f"Repr-Digest: {repr_digest(request.body)}",
                ),
                request.body,
                timeout_ms,
                progress_ms,
                fresh_connection=attempt > 1,
                recent_connection=not request.repeatable,
            )
        )

    async def cancel(self, endpoint: Endpoint, request_id: str) -> None:
        """Tell the endpoint that no caller waits for the request any more.

        Failures are ignored: the outcome of the request is taken from its own response.
        """
        name = urllib.parse.quote(request_id, safe="")
        with contextlib.suppress(CurlError):
            await self._curl.perform(
                CurlRequest(
                    "POST",
                    f"http://{endpoint.host}:{endpoint.port}/control/cancel/{name}",
                    timeout_ms=CANCEL_TIMEOUT_MS,
                )
            )


def repr_digest(body: bytes) -> str:
    """Return the `Repr-Digest` header value of `body` (RFC 9530)."""
    digest = base64.b64encode(hashlib.sha256(body).digest()).decode()
    return f"sha-256=:{digest}:"
