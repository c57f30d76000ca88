"""Checks that instances obey what endpoints say of themselves in their answers.

An endpoint may say that it leaves: an instance that has passed such an answer on sends
it nothing that callers sent later than `DRAIN_SECONDS` after that. It may ask to wait:
half a second later, at most two requests reach it from that instance until the end of
the wait. Restarts and pauses of the instance since then excuse both.
"""

import dataclasses
from collections.abc import Callable

DRAIN_SECONDS = 2.0  # `drainS` of the settings of the soak.
CROSSING_SECONDS = 0.5  # Requests may be on their way when an endpoint asks to wait.
MAX_CROSSING_REQUESTS = 2


@dataclasses.dataclass(frozen=True)
class SentRequest:
    """A request of a caller."""

    instance: str
    sent_at: float  # Seconds, on the clock of the run.


@dataclasses.dataclass
class _Wait:
    """A wait that an endpoint has asked an instance for."""

    asked_at: float
    until: float
    arrivals: int = 0  # After `CROSSING_SECONDS`.


class StatementAudit:
    """What endpoints have said of themselves, and the requests that they got since.

    Endpoints are named by process. Times are seconds on the clock of the run.
    """

    def __init__(
        self,
        # Called with the text, the rule and the request of a violation.
        report: Callable[[str, str, bytes], None],
        recovered_at: Callable[[], float],
    ) -> None:
        self._report = report
        self._recovered_at = recovered_at  # When a network fault last ended.
        self._requests: dict[bytes, SentRequest] = {}
        self._disturbed_at: dict[str, float] = {}  # By instance.
        self._said_leaving: dict[bytes, str] = {}  # Endpoint by answered request.
        self._passed_on: dict[tuple[str, str], float] = {}
        self._waits: dict[tuple[str, str], list[_Wait]] = {}
        # Of waits that overlap, only the first one is reported.
        self._reported_until: dict[tuple[str, str], float] = {}

    def record_sent(self, request_id: bytes, instance: str, now: float) -> None:
        """Record that a caller sends a request to an instance."""
        self._requests[request_id] = SentRequest(instance, now)

    def record_disturbance(self, instance: str, now: float) -> None:
        """Record a signal to an instance."""
        self._disturbed_at[instance] = now

    def record_leaving(self, request_id: bytes, endpoint: str) -> None:
        """Record that an endpoint says in the answer to a request that it leaves."""
        self._said_leaving[request_id] = endpoint

    def record_wait(
        self, request_id: bytes, endpoint: str, now: float, until: float
    ) -> None:
        """Record that an endpoint rejects a request and asks for none until then."""
        req = self._requests.get(request_id)
        if req is not None:
            waits = self._waits.setdefault((req.instance, endpoint), [])
            waits.append(_Wait(now, until))

    def record_answer(self, request_id: bytes, now: float) -> None:
        """Record that a caller got the answer of an endpoint."""
        req = self._requests.get(request_id)
        endpoint = self._said_leaving.get(request_id)
        if req is not None and endpoint is not None:
            self._passed_on.setdefault((req.instance, endpoint), now)

    def check_arrival(self, request_id: bytes, endpoint: str, now: float) -> None:
        """Check a request that reaches an endpoint."""
        req = self._requests.get(request_id)
        if req is None:
            return
        pair = (req.instance, endpoint)
        disturbed = self._disturbed_at.get(req.instance, -1e9)
        passed_on = self._passed_on.get(pair)
        if (
            passed_on is not None
            and disturbed < passed_on
            and req.sent_at > passed_on + DRAIN_SECONDS
        ):
            self._report(
                f"request {request_id.decode()} reached {endpoint}, which said that it"
                f" leaves, from {req.instance} {req.sent_at - passed_on:.2f} s later",
                "DRAIN",
                request_id,
            )
        for wait in self._waits.get(pair, ()):
            excused = max(disturbed, self._recovered_at()) >= wait.asked_at
            if excused or not wait.asked_at + CROSSING_SECONDS < now < wait.until:
                continue
            wait.arrivals += 1
            if wait.arrivals == MAX_CROSSING_REQUESTS + 1 and (
                now >= self._reported_until.get(pair, -1e9)
            ):
                self._reported_until[pair] = wait.until
                self._report(
                    f"{wait.arrivals} requests reached {endpoint} from {req.instance}"
                    f" in the wait that it asked for {now - wait.asked_at:.2f} s"
                    " before",
                    "BUDGET",
                    request_id,
                )
