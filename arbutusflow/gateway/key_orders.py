"""Sends grant and release orders to endpoints and tracks which grants may take effect.

Invariant: the reported time of a grant is never earlier than its arrival at the
endpoint, which starts the lease. A grant in flight counts as sent now, and a grant
without an answer as sent when its connection was reset.
"""

import asyncio
import dataclasses

from arbutusflow.gateway.connection_pool import ConnectionPool
from arbutusflow.gateway.event_log import EventLog
from arbutusflow.gateway.key_table import KEY_LEASE_SECONDS, KeyRange, lease_expiry
from arbutusflow.gateway.model import Endpoint, ExchangeError, HttpResponse
from arbutusflow.gateway.peers import LeaseReport
from arbutusflow.platform import wire

GRANT_TIMEOUT_SECONDS = 0.8  # An endpoint answers a grant in milliseconds.
RELEASE_TIMEOUT_SECONDS = 2.5  # Endpoints answer once their running requests end.
# How long an expired lease is still reported, because reports may be lost.
REPORT_SLACK_SECONDS = 1.0


@dataclasses.dataclass(slots=True)
class _SentGrants:
    """Times of the grants that this instance sent to one endpoint."""

    last: float = -1e9
    unanswered: float = -1e9
    renewed: float | None = None
    in_flight: int = 0

    def last_grant_times(self, now: float) -> tuple[float, float]:
        """Return the latest arrival of any grant, and of one without an answer."""
        return (now, now) if self.in_flight else (self.last, self.unanswered)


class KeyOrders:
    """Sends the orders of this instance to all endpoints."""

    def __init__(
        self, pool: ConnectionPool, log: EventLog, lease_seconds: float
    ) -> None:
        self._pool = pool
        self._log = log
        self._lease_seconds = min(KEY_LEASE_SECONDS, lease_seconds)
        self._sent_grants: dict[str, _SentGrants] = {}

    async def grant(
        self, endpoint: Endpoint, key_range: KeyRange
    ) -> HttpResponse | None:
        """Grant or renew a lease on a range of keys; return None without an answer."""
        grants = self._sent_grants.setdefault(endpoint.id, _SentGrants())
        body = wire.encode_grant(
            key_range.first,
            key_range.last,
            key_range.token,
            self._lease_seconds,
            key_range.handover,
        )
        answer = None
        grants.in_flight += 1
        try:
            answer = await self._send_order(
                endpoint, wire.GRANT_PATH, body, GRANT_TIMEOUT_SECONDS
            )
        finally:
            grants.in_flight -= 1
            grants.last = asyncio.get_running_loop().time()
            if answer is None:
                grants.unanswered = grants.last
        return answer

    async def release(self, endpoint: Endpoint, key_range: KeyRange) -> str | None:
        """Ask an endpoint to release a range and return its handover.

        The handover may be empty. Returns None unless the endpoint confirmed the
        release.
        """
        body = wire.encode_release(key_range.first, key_range.last, key_range.token)
        answer = await self._send_order(
            endpoint, wire.RELEASE_PATH, body, RELEASE_TIMEOUT_SECONDS
        )
        if answer is None or answer.status != 200:
            return None
        return (answer.header(wire.HANDOVER) or b"").decode("latin-1")

    async def _send_order(
        self, endpoint: Endpoint, path: bytes, body: bytes, timeout: float
    ) -> HttpResponse | None:
        head = (
            b"POST %b HTTP/1.1\r\nHost: %b:%d\r\n%b: %b\r\n"
            b"Content-Type: application/json\r\nContent-Length: %d\r\n\r\n"
            % (
                path,
                endpoint.address.host.encode(),
                endpoint.address.port,
                # Another endpoint may have been started at this address meanwhile.
                wire.EXPECTED_ENDPOINT,
                endpoint.id.encode(),
                len(body),
            )
        )
        try:
            async with self._pool.connection(
                endpoint.address,
                at_most_once=False,
                timeout=timeout,
                fresh=path == wire.RELEASE_PATH,
            ) as conn:
                return await conn.exchange(head, body, timeout)
        except ExchangeError as exc:
            self._log.write_rate_limited(
                "order_unanswered",
                endpoint=endpoint.id,
                path=path.decode(),
                sent=exc.sent,
                detail=exc.detail,
            )
            return None

    # Records of sent grants.

    def record_renewal(self, endpoint: str, started_at: float) -> None:
        """Record a renewal of all leases of an endpoint that began at `started_at`."""
        self._sent_grants.setdefault(endpoint, _SentGrants()).renewed = started_at

    def last_grant_times(self, endpoint: str, now: float) -> tuple[float, float]:
        """Return the latest arrival of any grant, and of one without an answer."""
        return self._sent_grants.get(endpoint, _SentGrants()).last_grant_times(now)

    def granted_within(self, endpoint: str, seconds: float, now: float) -> bool:
        """Return whether a grant was sent or in flight in the last `seconds`."""
        grants = self._sent_grants.get(endpoint)
        return grants is not None and now - grants.last_grant_times(now)[0] < seconds

    def may_have_unconfirmed_lease(self, now: float) -> bool:
        """Return whether the lease of a grant without an answer may still be valid."""
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
            pending = now < lease_expiry(unanswered)
            reports[name] = LeaseReport(
                round(now - last, 3),
                round(now - unanswered, 3) if pending else -1.0,
                -1.0 if grants.renewed is None else round(now - grants.renewed, 3),
            )
        return reports
