"""Sends orders to endpoints and tracks which grants may take effect.

An order is a request to an endpoint to accept a lease (grant) or to release keys.

Invariants: the reported time of a grant is never earlier than its arrival at the
endpoint, which starts the lease. A grant in flight counts as arriving when its exchange
times out, because this instance may end before it can report anything else. A completed
one, answered or not, counts as arriving when its exchange ended. A confirmation on
which a move depends comes on a connection of its own, because the answers of orders
have no identifier; the confirmation of a renewal may be a second copy of another one.
"""

import asyncio
import dataclasses
from collections.abc import Callable

from arbutusflow.gateway.connection_pool import ConnectionPool
from arbutusflow.gateway.event_log import EventLog
from arbutusflow.gateway.key_table import (
    KEY_LEASE_SECONDS,
    KeyRange,
    lease_expiry,
)
from arbutusflow.gateway.model import (
    Endpoint,
    EndpointProcess,
    ExchangeError,
    HttpResponse,
)
from arbutusflow.gateway.peers import LeaseReport
from arbutusflow.platform import wire

GRANT_TIMEOUT_SECONDS = 0.8  # An endpoint answers a grant in milliseconds.
RELEASE_TIMEOUT_SECONDS = 2.5  # Endpoints answer once their running requests end.
# The release follows at once, but requests that run keep the keys meanwhile.
CLOSING_LEASE_SECONDS = 1.5
# How long an expired lease is still reported, because reports may be lost.
REPORT_SLACK_SECONDS = 1.0


@dataclasses.dataclass(slots=True)
class _SentGrants:
    """Times of the grants that this instance sent to one endpoint."""

    tried_at: float = -1e9  # End of the latest try, also if nothing was sent.
    last_ended_at: float = -1e9  # End of the latest exchange; very early if none.
    unanswered_ended_at: float = -1e9  # The same for grants without an answer.
    renewed_at: float | None = None  # Start of the latest renewal of all leases.
    in_flight: int = 0

    def last_grant_times(self, now: float) -> tuple[float, float]:
        """Return upper bounds of the latest arrivals of all and unanswered grants."""
        if not self.in_flight:
            return self.last_ended_at, self.unanswered_ended_at
        latest_arrival = now + GRANT_TIMEOUT_SECONDS
        return latest_arrival, latest_arrival


@dataclasses.dataclass(frozen=True, slots=True)
class _Outcome:
    """What became of one order."""

    sent: bool  # Whether any byte of it may have reached the endpoint.
    response: HttpResponse | None = None


def closing_expiry(sent_until: float) -> float:
    """Return the time by which the lease of a closing grant has certainly expired."""
    return lease_expiry(sent_until, CLOSING_LEASE_SECONDS)


class KeyOrders:
    """Sends the orders of this instance to all endpoints."""

    def __init__(
        self,
        pool: ConnectionPool,
        log: EventLog,
        lease_seconds: float,
    ) -> None:
        self._pool = pool
        self._log = log
        self._lease_seconds = min(KEY_LEASE_SECONDS, lease_seconds)
        self._sent_grants: dict[str, _SentGrants] = {}
        # Called when an endpoint says that it leaves; set by the process.
        self.on_leaving: Callable[[EndpointProcess], None] = lambda process: None

    async def grant(
        self,
        endpoint: Endpoint,
        key_range: KeyRange,
        may_send: Callable[[], bool] = lambda: True,
    ) -> HttpResponse | None:
        """Grant or renew a lease on a range of keys; return None without an answer.

        `may_send` is asked right before the grant is sent, because opening a connection
        takes time.
        """
        body = wire.encode_grant(
            key_range.first,
            key_range.last,
            key_range.token,
            self._lease_seconds,
            key_range.handover,
        )
        grants = self._sent_grants.setdefault(endpoint.id, _SentGrants())
        outcome = _Outcome(sent=True)  # If the exchange is cancelled.
        grants.in_flight += 1
        try:
            outcome = await self._send_grant(endpoint, body, may_send, fresh=False)
        finally:
            grants.in_flight -= 1
            grants.tried_at = asyncio.get_running_loop().time()
            if outcome.sent:
                grants.last_ended_at = grants.tried_at
                if outcome.response is None:
                    grants.unanswered_ended_at = grants.last_ended_at
        return outcome.response

    async def close_grants(
        self, endpoint: Endpoint, key_range: KeyRange, may_send: Callable[[], bool]
    ) -> bool | None:
        """Grant a leaving range with its closing token, for a short time.

        Returns whether the endpoint confirmed it: it refuses grants with lower tokens
        from then on. The confirmation comes on a connection of its own, so it can
        belong to no other order. The keys may be held until `closing_expiry`. Returns
        None if nothing was sent, so that no lease has to expire.
        """
        body = wire.encode_grant(
            key_range.first,
            key_range.last,
            key_range.closing_token,
            CLOSING_LEASE_SECONDS,
            "",
        )
        outcome = await self._send_grant(endpoint, body, may_send, fresh=True)
        if not outcome.sent:
            return None
        return outcome.response is not None and outcome.response.status == 200

    async def release(self, endpoint: Endpoint, key_range: KeyRange) -> str | None:
        """Ask an endpoint to release a leaving range; return its handover header.

        Returns an empty string if the endpoint confirmed the release without that
        header, and None unless it confirmed the release.
        """
        body = wire.encode_release(
            key_range.first, key_range.last, key_range.closing_token
        )
        outcome = await self._send_order(
            endpoint, wire.RELEASE_PATH, body, RELEASE_TIMEOUT_SECONDS, fresh=True
        )
        response = outcome.response
        if response is None or response.status != 200:
            return None
        return (response.header(wire.HANDOVER) or b"").decode("latin-1")

    async def _send_grant(
        self,
        endpoint: Endpoint,
        body: bytes,
        may_send: Callable[[], bool],
        *,
        fresh: bool,
    ) -> _Outcome:
        return await self._send_order(
            endpoint,
            wire.GRANT_PATH,
            body,
            GRANT_TIMEOUT_SECONDS,
            may_send,
            fresh=fresh,
        )

    async def _send_order(
        self,
        endpoint: Endpoint,
        path: bytes,
        body: bytes,
        timeout: float,
        may_send: Callable[[], bool] = lambda: True,
        *,
        fresh: bool,
    ) -> _Outcome:
        head = (
            b"POST %b HTTP/1.1\r\nHost: %b:%d\r\n%b: %b\r\n"
            b"Content-Type: application/json\r\nContent-Length: %d\r\n\r\n"
            % (
                path,
                endpoint.address.host.encode(),
                endpoint.address.port,
                # An endpoint that was started at this address meanwhile refuses it.
                wire.EXPECTED_ENDPOINT,
                endpoint.id.encode(),
                len(body),
            )
        )
        sent = False
        try:
            async with self._pool.connection(
                endpoint.address, at_most_once=False, timeout=timeout, fresh=fresh
            ) as conn:
                if not may_send():
                    return _Outcome(sent=False)
                sent = True
                response = await conn.exchange(head, body, timeout)
                # An answer with status 421 may come from another endpoint.
                leaving = wire.parse_leaving(response.header(wire.LEAVING))
                if leaving and response.status != 421:
                    self.on_leaving(endpoint.process)
                return _Outcome(sent=True, response=response)
        except ExchangeError as exc:
            self._log.write_rate_limited(
                "order_unanswered",
                endpoint=endpoint.id,
                path=path.decode(),
                sent=exc.sent,
                detail=exc.detail,
            )
            return _Outcome(sent=sent and exc.sent)

    # Records of sent grants.

    def record_renewal(self, endpoint: str, started_at: float) -> None:
        """Record a renewal of all leases of an endpoint that began at `started_at`."""
        self._sent_grants.setdefault(endpoint, _SentGrants()).renewed_at = started_at

    def last_grant_times(self, endpoint: str, now: float) -> tuple[float, float]:
        """Return upper bounds of the latest arrivals of all and unanswered grants."""
        return self._sent_grants.get(endpoint, _SentGrants()).last_grant_times(now)

    def tried_within(self, endpoint: str, seconds: float, now: float) -> bool:
        """Return whether a grant was tried or in flight within the last `seconds`."""
        grants = self._sent_grants.get(endpoint)
        if grants is None:
            return False
        return grants.in_flight > 0 or now - grants.tried_at < seconds

    def may_have_unconfirmed_lease(self, now: float) -> bool:
        """Return whether the lease of an unanswered grant may still be valid."""
        return any(
            now < lease_expiry(grants.last_grant_times(now)[1])
            for grants in self._sent_grants.values()
        )

    def lease_reports(self, now: float) -> dict[str, LeaseReport]:
        """Return the reports on this instance's grants, by endpoint."""
        reports = {}
        for name, grants in self._sent_grants.items():
            last, unanswered = grants.last_grant_times(now)
            if now > lease_expiry(max(last, unanswered)) + REPORT_SLACK_SECONDS:
                continue
            unconfirmed = now < lease_expiry(unanswered)
            reports[name] = LeaseReport(
                round(now - last, 3),
                round(now - unanswered, 3) if unconfirmed else None,
                -1.0  # See `LeaseReport`.
                if grants.renewed_at is None
                else round(now - grants.renewed_at, 3),
            )
        return reports
