"""Sends grants and releases of keys to endpoints and remembers what may take effect.

Invariant: the reported time of a grant is not earlier than its arrival at the endpoint,
from which its lease counts. A grant on its way counts as sent now, and one that got no
answer as sent when its connection was reset.
"""

import asyncio
import dataclasses

from arbutusflow.gateway.connection_pool import ConnectionPool
from arbutusflow.gateway.event_log import EventLog
from arbutusflow.gateway.key_table import LEASE_SECONDS, KeyRange, lease_end
from arbutusflow.gateway.model import Answer, Endpoint, ExchangeError
from arbutusflow.gateway.peers import LeaseReport
from arbutusflow.platform import wire

ORDER_SECONDS = 0.8  # An endpoint answers a grant in milliseconds.
RELEASE_SECONDS = 2.5  # A release is answered when the running work has ended.
# How long a lease that has ended is still reported; reports may be lost.
REPORT_SLACK_SECONDS = 1.0


@dataclasses.dataclass(slots=True)
class _Sent:
    """Grants of this instance to one endpoint."""

    last: float = -1e9
    unanswered: float = -1e9
    renewed: float | None = None
    in_flight: int = 0

    def last_grants(self, now: float) -> tuple[float, float]:
        """Return when the last grant may have arrived, and one without an answer."""
        return (now, now) if self.in_flight else (self.last, self.unanswered)


class KeyOrders:
    """Orders of this instance to all endpoints."""

    def __init__(
        self, pool: ConnectionPool, log: EventLog, lease_seconds: float
    ) -> None:
        self._pool = pool
        self._log = log
        self._lease_seconds = min(LEASE_SECONDS, lease_seconds)
        self._sent: dict[str, _Sent] = {}

    async def grant(self, endpoint: Endpoint, part: KeyRange) -> Answer | None:
        """Lend a range of keys to an endpoint; None if no answer came."""
        sent = self._sent.setdefault(endpoint.id, _Sent())
        body = wire.encode_grant(
            part.first, part.last, part.token, self._lease_seconds, part.handover
        )
        answer = None
        sent.in_flight += 1
        try:
            answer = await self._order(endpoint, wire.GRANT_PATH, body, ORDER_SECONDS)
        finally:
            sent.in_flight -= 1
            sent.last = asyncio.get_running_loop().time()
            if answer is None:
                sent.unanswered = sent.last
        return answer

    async def release(self, endpoint: Endpoint, part: KeyRange) -> str | None:
        """Take a range back; return the handover, None if nothing is known.

        The handover is empty if the endpoint had nothing to hand over.
        """
        body = wire.encode_release(part.first, part.last, part.token)
        answer = await self._order(endpoint, wire.RELEASE_PATH, body, RELEASE_SECONDS)
        if answer is None or answer.status != 200:
            return None
        return (answer.header(wire.HANDOVER) or b"").decode("latin-1")

    async def _order(
        self, endpoint: Endpoint, path: bytes, body: bytes, timeout: float
    ) -> Answer | None:
        head = (
            b"POST %b HTTP/1.1\r\nHost: %b:%d\r\n%b: %b\r\n"
            b"Content-Type: application/json\r\nContent-Length: %d\r\n\r\n"
            % (
                path,
                endpoint.address.host.encode(),
                endpoint.address.port,
                # Another endpoint may have started at the address by now.
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

    # What was sent.

    def note_renewed(self, endpoint: str, begun: float) -> None:
        """Remember that all leases of an endpoint were renewed from `begun` on."""
        self._sent.setdefault(endpoint, _Sent()).renewed = begun

    def last_grants(self, endpoint: str, now: float) -> tuple[float, float]:
        """Return when the last grant may have arrived, and one without an answer."""
        return self._sent.get(endpoint, _Sent()).last_grants(now)

    def is_recent(self, endpoint: str, seconds: float, now: float) -> bool:
        """Return whether a grant was under way in the last seconds."""
        sent = self._sent.get(endpoint)
        return sent is not None and now - sent.last_grants(now)[0] < seconds

    def has_unanswered(self, now: float) -> bool:
        """Return whether a grant may still take effect after it got no answer."""
        return any(
            now < lease_end(sent.last_grants(now)[1]) for sent in self._sent.values()
        )

    def reports(self, now: float) -> dict[str, LeaseReport]:
        """Return what the others need to know about our grants, by endpoint."""
        reports = {}
        for name, sent in self._sent.items():
            last, unanswered = sent.last_grants(now)
            if now > lease_end(max(last, unanswered)) + REPORT_SLACK_SECONDS:
                continue
            pending = now < lease_end(unanswered)
            reports[name] = LeaseReport(
                round(now - last, 3),
                round(now - unanswered, 3) if pending else -1.0,
                -1.0 if sent.renewed is None else round(now - sent.renewed, 3),
            )
        return reports
