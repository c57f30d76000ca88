"""What one instance knows about the load and the health of each endpoint.

Invariant: an endpoint that the store does not list as ready is never chosen.
"""

import dataclasses
from collections.abc import Mapping

from arbutusflow.gateway.model import Endpoint

# First guess of the work of one request, until answers were measured.
INITIAL_SERVICE_SECONDS = 0.15
SERVICE_TIME_GAIN = 0.1  # Weight of the latest answer in the moving average.
FAILURE_GAIN = 0.15
REPORT_SECONDS = 0.1  # A load report in an answer describes about one service time.
PEER_REPORT_SECONDS = 1.5  # An instance that is silent so long sends nothing more.
FAILURE_WEIGHT = 6.0  # Expected cost of a failed request, in service times.
COLD_FACTOR = 2.0  # Endpoints work at about half their speed after a start.
DOWN_SECONDS = 0.4  # First pause after a failed connection; doubles.
MAX_DOWN_SECONDS = 3.0
# An answer takes bytes across zones, which are priced; the preference for the own
# zone is worth this many service times.
CROSS_ZONE_FACTOR = 0.5
# Preferring the own zone is not worth more failures than this.
MAX_LOCAL_FAILURE_SHARE = 0.2
# Share of the time to drain in which a leaving endpoint still serves its keys. The
# news of its leaving may itself have taken a second.
DRAIN_USE_FRACTION = 0.4


@dataclasses.dataclass(slots=True, eq=False)
class EndpointState:
    """Load and health of one life of an endpoint, as seen by this instance."""

    endpoint: Endpoint
    cold_until: float
    own: int = 0  # Requests of this instance in flight.
    service_seconds: float = INITIAL_SERVICE_SECONDS
    # Mean over all answers, then moving; told to the planner of the keys. Not used for
    # the choice: many instances would all prefer the endpoint that seems fastest.
    measured_seconds: float = 0.0
    answers: int = 0  # That went into `measured_seconds`.
    failure_share: float = 0.0
    down_until: float = 0.0
    down_seconds: float = DOWN_SECONDS
    reported_others: int = 0
    reported_at: float = -1e9
    last_answer: float = 0.0
    replaced: bool = False  # Another endpoint answers at its address.
    untried: bool = False  # It joined and was not sent any work from here yet.
    leaving_since: float | None = None  # It gets no new work of its own accord.
    peer_load: int = 0  # Requests in flight that other instances report.

    def others(self, now: float) -> int:
        """Return the requests of other instances in flight."""
        if now - self.reported_at < REPORT_SECONDS:
            return max(self.peer_load, self.reported_others)
        return self.peer_load

    def expected_seconds(self, now: float) -> float:
        """Return how long a request that is sent now is expected to take."""
        work = self.service_seconds
        if now < self.cold_until:
            work *= COLD_FACTOR
        ahead = self.own + self.others(now) + 1 - self.endpoint.slots
        wait = max(0.0, ahead / self.endpoint.slots) * work
        return wait + work

    def note_answer(self, seconds: float, ahead: int, now: float) -> None:
        """Learn from an answer; `ahead` requests were there when it was sent."""
        rounds = max(1.0, (ahead + 1) / self.endpoint.slots)
        sample = seconds / rounds
        if now >= self.cold_until:
            self.service_seconds += SERVICE_TIME_GAIN * (sample - self.service_seconds)
            self.answers += 1
            gain = max(SERVICE_TIME_GAIN, 1 / self.answers)
            self.measured_seconds += gain * (sample - self.measured_seconds)
        self.last_answer = now
        self.down_seconds = DOWN_SECONDS
        self.down_until = 0.0

    def note_outcome(self, failed: bool) -> None:
        """Count a failure or a success into the share of failures."""
        self.failure_share += FAILURE_GAIN * (
            (1.0 if failed else 0.0) - self.failure_share
        )

    def note_report(self, running: int, waiting: int, now: float) -> None:
        """Keep the load that an answer reported."""
        self.reported_others = max(0, running + waiting - self.own)
        self.reported_at = now

    def note_shed(self, now: float) -> None:
        """Remember that the endpoint had no room."""
        self.reported_others = max(self.reported_others, 4 * self.endpoint.slots)
        self.reported_at = now

    def note_replaced(self) -> None:
        """Never use this life again: its address belongs to another endpoint."""
        self.replaced = True
        self.down_until = float("inf")

    def note_unreachable(self, now: float) -> None:
        """Leave the endpoint alone for a while that doubles."""
        self.down_until = now + self.down_seconds
        self.down_seconds = min(MAX_DOWN_SECONDS, self.down_seconds * 2)


@dataclasses.dataclass(frozen=True, slots=True)
class _LoadReport:
    """Requests that another instance has in flight, by endpoint."""

    in_flight: Mapping[str, int]
    since: float


class EndpointTable:
    """All known endpoints by service."""

    def __init__(self, zone: str, drain_seconds: float) -> None:
        self._zone = zone
        self._drain_seconds = drain_seconds
        self._listed: set[str] = set()
        self.states: dict[str, EndpointState] = {}
        self._services: dict[str, list[EndpointState]] = {}
        self._reports: dict[str, _LoadReport] = {}

    def take_report(
        self, instance: str, in_flight: Mapping[str, int], now: float
    ) -> None:
        """Take over the requests that another instance has in flight, by endpoint."""
        self._drop_report(instance)
        self._reports[instance] = _LoadReport(in_flight, now)
        self._add_load(in_flight, 1)

    def drop_old_reports(self, now: float) -> None:
        """No longer count the requests of instances that fell silent."""
        for instance, report in list(self._reports.items()):
            if now - report.since >= PEER_REPORT_SECONDS:
                self._drop_report(instance)

    def _drop_report(self, instance: str) -> None:
        report = self._reports.pop(instance, None)
        if report is not None:
            self._add_load(report.in_flight, -1)

    def _add_load(self, in_flight: Mapping[str, int], sign: int) -> None:
        for name, count in in_flight.items():
            state = self.states.get(name)
            if state is not None:
                state.peer_load += sign * count

    def update(self, endpoints: dict[str, Endpoint], now: float) -> None:
        """Take over the endpoints that the store lists."""
        states: dict[str, EndpointState] = {}
        self._listed = set(endpoints)
        for name, endpoint in endpoints.items():
            known = self.states.get(name)
            if known is None or known.endpoint.started_ms != endpoint.started_ms:
                known = EndpointState(endpoint, cold_until=now + endpoint.cold_seconds)
                known.service_seconds = self._typical_seconds(endpoint.service)
                # Its measured peers are all preferred to it while they are idle.
                known.untried = bool(self.states) and endpoint.zone == self._zone
                known.peer_load = sum(
                    report.in_flight.get(name, 0) for report in self._reports.values()
                )
            known.endpoint = endpoint
            if not endpoint.draining:
                known.leaving_since = None
            elif known.leaving_since is None:
                known.leaving_since = now
            states[name] = known
        for name, known in self.states.items():
            if name not in states:
                if known.leaving_since is None:
                    known.leaving_since = now
                if now < self._last_use(known):
                    states[name] = known
        self._use(states)

    def forget_departed(self, now: float) -> None:
        """Drop endpoints that are listed no more and may not be used any more."""
        gone = [
            name
            for name, state in self.states.items()
            if name not in self._listed and now >= self._last_use(state)
        ]
        if gone:
            self._use({n: s for n, s in self.states.items() if n not in gone})

    def may_use(self, state: EndpointState, now: float) -> bool:
        """Return whether keys that an endpoint still holds may be served there."""
        return state.leaving_since is None or now < self._last_use(state)

    def _last_use(self, state: EndpointState) -> float:
        if state.leaving_since is None:
            return float("inf")
        return state.leaving_since + DRAIN_USE_FRACTION * self._drain_seconds

    def _use(self, states: dict[str, EndpointState]) -> None:
        self.states = states
        self._services = {}
        for state in states.values():
            self._services.setdefault(state.endpoint.service, []).append(state)

    def _typical_seconds(self, service: str) -> float:
        times = sorted(s.service_seconds for s in self._services.get(service, ()))
        return times[len(times) // 2] if times else INITIAL_SERVICE_SECONDS

    def of_service(self, service: str) -> list[EndpointState]:
        """Return the endpoints of a service."""
        return self._services.get(service, [])

    def cost(self, state: EndpointState, now: float) -> float:
        """Return what a request at the endpoint costs, in seconds."""
        cost = state.expected_seconds(now)
        cost += FAILURE_WEIGHT * state.failure_share * state.service_seconds
        if state.endpoint.zone != self._zone:
            cost += CROSS_ZONE_FACTOR * state.service_seconds
        return cost

    def choose(
        self, service: str, tried: set[str], now: float, local_seconds: float = 0.0
    ) -> EndpointState | None:
        """Return the endpoint with the least cost; None if none may be used.

        An endpoint of the own zone is preferred while it is expected to answer
        within `local_seconds`.
        """
        candidates = [
            state
            for state in self.of_service(service)
            if state.leaving_since is None
            and not state.replaced
            and state.endpoint.id not in tried
        ]
        # Refusing all work because every endpoint failed once would be worse than
        # another attempt.
        usable = [s for s in candidates if now >= s.down_until] or candidates
        for state in usable:
            if state.untried and now >= state.cold_until:
                state.untried = False
                return state
        local = [
            state
            for state in usable
            if state.endpoint.zone == self._zone
            and state.failure_share < MAX_LOCAL_FAILURE_SHARE
            and state.expected_seconds(now) <= local_seconds
        ]
        return min(local or usable, key=lambda s: self.cost(s, now), default=None)
