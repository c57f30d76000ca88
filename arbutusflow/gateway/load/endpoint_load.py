"""Load and health of each endpoint as observed by this instance.

Invariants: an endpoint that the store does not list as ready, that said that it leaves,
that asked for no requests until later, or whose zone is evacuated while others of its
service are not, is never chosen. This holds for its process, also if its entry vanishes
and comes back. No endpoint is chosen when the time for which its evacuated zone is
still served has passed. A process that may be the one that said that it leaves is not
chosen until that is known (see `leaving_checks`).

The load that other instances cause is known with a delay, in which they all see the
same endpoint as the least loaded one. Each request is therefore sent to the best of a
few endpoints that are chosen at random (power of d choices).
"""

import asyncio
import dataclasses
import random
from collections.abc import Mapping

from arbutusflow.gateway.load.cold_rate import ColdSends
from arbutusflow.gateway.load.endpoint_room import (
    INITIAL_SERVICE_SECONDS,
    EndpointRoom,
)
from arbutusflow.gateway.load.owner_probes import OwnerProbes
from arbutusflow.gateway.load.room_reports import RoomExchange
from arbutusflow.gateway.model import NO_EVACUATION, Endpoint, EvacuationTimes

# Weight of the latest response in the moving averages.
SERVICE_TIME_GAIN = 0.1
FAILURE_RATE_GAIN = 0.15
# A load report in a response stays valid for about one service time.
LOAD_REPORT_TTL_SECONDS = 0.1
# An instance that sent no report for this long is assumed to send no requests either.
PEER_REPORT_TTL_SECONDS = 1.5
FAILURE_COST_FACTOR = 6.0  # Expected cost of a failed request, in service times.
COLD_START_FACTOR = 2.0  # Endpoints run at about half speed after a cold start.
# Backoff after the first failed connection; doubles with each further failure.
INITIAL_BACKOFF_SECONDS = 0.4
MAX_BACKOFF_SECONDS = 3.0
# Cost of choosing an endpoint in another availability zone, in service times: traffic
# between availability zones is charged.
CROSS_ZONE_COST_FACTOR = 0.5
# Maximum failure rate at which an endpoint is preferred for being in the same
# availability zone.
MAX_LOCAL_FAILURE_RATE = 0.2
# Endpoints that are compared for a request: up to `MAX_LOCAL_CHOICES` of the same
# availability zone, the others from other zones.
CHOICES = 6
MAX_LOCAL_CHOICES = 4
# With learned figures: fewer, which are drawn with weights. With six, a lightly loaded
# endpoint is among those of nearly every instance until the next digest.
WEIGHTED_LOCAL_CHOICES, WEIGHTED_OTHER_CHOICES = 3, 1
DRAWS_PER_CHOICE = 4
# Answers longer than this multiple of the expected time count as this long: one answer
# of the tail would otherwise decide the figure of an endpoint.
MAX_ANSWER_RATIO = 6.0
# Ratio of an instance's own estimate of the time of a request to the learned one, up to
# which the choice uses its own. At 1.5 and less the instances choose too much alike.
MAX_OWN_RATIO = 2.0
# Random increase of costs where all endpoints are compared, for the same reason.
COST_JITTER = 0.3
# The slowdown that an endpoint reports changes many times a second.
SLOWDOWN_TTL_SECONDS = 0.2
# Reported slowdowns beyond these factors count as these.
MIN_SLOWDOWN, MAX_SLOWDOWN = 0.25, 16.0
# Share of the drain period in which a leaving endpoint is still sent requests for its
# keys. It may have started to drain a second before this instance is notified.
DRAIN_SERVE_FRACTION = 0.4
MAX_DEPARTED_STATES = 1024  # Bounds the memory for endpoints that have left.
# Requests that no other endpoint can serve wait as long for the check of a process that
# may leave; it answers in milliseconds.
CHECK_SECONDS = 0.1
MAX_WAIT_SPREAD_SECONDS = 1.0  # Over which instances end a wait that one asked for.


@dataclasses.dataclass(slots=True, eq=False)
class EndpointState:
    """Load and health of one run of an endpoint process."""

    endpoint: Endpoint
    cold_until: float
    # Until when it is cold by other evidence than its entries. `mark_cold` sets it.
    marked_cold_until: float = -1e9
    # Until when it counts as cold after an evacuation of its zone, unless a later entry
    # says for how long it is.
    possibly_cold_until: float = -1e9
    own_in_flight: int = 0  # In-flight requests of this instance.
    service_seconds: float = INITIAL_SERVICE_SECONDS
    # Mean service time over the first responses, then a moving average; reported to the
    # key planner. Not used to choose an endpoint, because many instances would then all
    # prefer the one that appears fastest.
    measured_seconds: float = 0.0
    measured_responses: int = 0  # Number of responses in `measured_seconds`.
    failure_rate: float = 0.0
    backoff_until: float = 0.0
    backoff_seconds: float = INITIAL_BACKOFF_SECONDS
    reported_other_in_flight: int = 0
    reported_at: float = -1e9
    last_response_at: float = 0.0
    replaced: bool = False  # Another endpoint now uses its address.
    never_chosen: bool = False  # Newly listed and never chosen by this instance.
    leaving_since: float | None = None  # When it began to drain or was delisted.
    peer_in_flight: int = 0  # In-flight requests reported by other instances.
    wait_until: float = -1e9  # Until when it asked for no requests.
    # Whether it asked to wait and has run no request since. It then gets one at a time.
    on_trial: bool = False
    # What the endpoint handles well, learned from the answers that many instances saw;
    # None if that is not known, or not asked for.
    room: EndpointRoom | None = None
    # How long work takes on its host, as it last said, and for how long that holds.
    slowdown: float = 1.0
    slowdown_until: float = -1e9
    # Set while a statement that its endpoint leaves may be of this process; the event
    # occurs when that has been decided.
    pending_check: asyncio.Event | None = None
    # For requests with keys that the endpoint owns; others use the backoff.
    owner_probes: OwnerProbes = dataclasses.field(default_factory=OwnerProbes)

    def other_in_flight(self, now: float) -> int:
        """Return the number of in-flight requests of other instances."""
        if now - self.reported_at < LOAD_REPORT_TTL_SECONDS:
            return max(self.peer_in_flight, self.reported_other_in_flight)
        return self.peer_in_flight

    def expected_seconds(self, now: float) -> float:
        """Return the expected response time of a request sent now."""
        if self.room is not None:
            return self._at_load(self.room, self.room.seconds, now)
        service_seconds = self.service_seconds
        if now < self.cold_until:
            service_seconds *= COLD_START_FACTOR
        ahead = self.own_in_flight + self.other_in_flight(now) + 1 - self.endpoint.slots
        wait = max(0.0, ahead / self.endpoint.slots) * service_seconds
        return wait + service_seconds

    def choice_seconds(self, now: float) -> float:
        """Return the expected response time that the choice among endpoints uses.

        The time of a request is this instance's own estimate, which differs from that
        of the others: with one learned figure all instances would prefer the same
        endpoint. The figure only bounds it.
        """
        if self.room is None:
            return self.expected_seconds(now)
        learned = self.room.seconds
        seconds = max(self.service_seconds, learned / MAX_OWN_RATIO)
        return self._at_load(self.room, min(seconds, learned * MAX_OWN_RATIO), now)

    def _at_load(self, room: EndpointRoom, seconds: float, now: float) -> float:
        """Return the time that a request of `seconds` takes with the present load."""
        at_once = self.own_in_flight + self.other_in_flight(now) + 1
        seconds *= max(1.0, at_once / room.in_flight)
        if now < self.slowdown_until:
            seconds *= self.slowdown
        return seconds * (COLD_START_FACTOR if now < self.cold_until else 1.0)

    def learned_fields(self, now: float) -> dict[str, float]:
        """Return for the log what was learned of the endpoint and is used now."""
        if self.room is None:
            return {}
        return {
            "room_seconds": round(self.room.seconds, 4),
            "room_in_flight": round(self.room.in_flight, 1),
            "room_answers": round(self.room.answers, 1),
            "admission_seconds": round(self.expected_seconds(now), 4),
            "choice_seconds": round(self.choice_seconds(now), 4),
        }

    @property
    def base_seconds(self) -> float:
        """Time of a request while the endpoint has room."""
        return self.service_seconds if self.room is None else self.room.seconds

    @property
    def room_slots(self) -> float:
        """Requests at once that the endpoint handles well."""
        return self.endpoint.slots if self.room is None else self.room.in_flight

    def record_response(self, seconds: float, ahead: int, now: float) -> None:
        """Update service times; `ahead` requests were in flight when it was sent."""
        rounds = max(1.0, (ahead + 1) / self.endpoint.slots)
        sample = seconds / rounds
        if now >= self.cold_until:
            self.service_seconds += SERVICE_TIME_GAIN * (sample - self.service_seconds)
            self.measured_responses += 1
            gain = max(SERVICE_TIME_GAIN, 1 / self.measured_responses)
            self.measured_seconds += gain * (sample - self.measured_seconds)
        if now - seconds >= self.wait_until:
            # Answers to requests that were sent before the wait say nothing about it.
            self.on_trial = False
        self.last_response_at = now
        self.owner_probes.note_answer(now)
        self.backoff_seconds = INITIAL_BACKOFF_SECONDS
        self.backoff_until = 0.0

    def record_outcome(self, failed: bool) -> None:
        """Update the failure rate."""
        self.failure_rate += FAILURE_RATE_GAIN * (
            (1.0 if failed else 0.0) - self.failure_rate
        )

    def record_load_report(self, running: int, waiting: int, now: float) -> None:
        """Store the load reported in a response."""
        self.reported_other_in_flight = max(0, running + waiting - self.own_in_flight)
        self.reported_at = now

    def record_shed(self, in_flight: int, now: float) -> None:
        """Treat the endpoint as fully loaded after it shed a request.

        `in_flight` requests were known to be at the endpoint. One that sheds requests
        although it has free slots is in trouble, which says nothing about its load.
        """
        if in_flight < self.endpoint.slots:
            return
        self.reported_other_in_flight = max(
            self.reported_other_in_flight, 4 * self.endpoint.slots
        )
        self.reported_at = now

    def mark_cold(self, seconds: float, now: float) -> None:
        """Count the endpoint as cold for at least some seconds from now.

        No entry that is read meanwhile shortens this: it may have been written before.
        """
        self.marked_cold_until = max(self.marked_cold_until, now + seconds)
        self.cold_until = max(self.cold_until, self.marked_cold_until)

    def use_cold_seconds(self, endpoint: Endpoint, now: float) -> None:
        """Set the cold time again from an entry that may be later than the known one.

        A later entry of the process replaces what the earlier ones said. One that may
        have been written before them can only extend the cold time.
        """
        number, known = endpoint.entry_number, self.endpoint.entry_number
        if number is not None and known is not None:
            if number > known:
                self.cold_until = max(self.marked_cold_until, self.possibly_cold_until)
            elif (
                number == known and endpoint.cold_seconds == self.endpoint.cold_seconds
            ):
                return
        elif endpoint is self.endpoint:
            return
        if endpoint.cold_seconds > 0:
            self.cold_until = max(self.cold_until, now + endpoint.cold_seconds)

    def record_wait(self, seconds: float, now: float) -> None:
        """Send no requests for some time, and then one at a time until one has run."""
        self.wait_until = max(self.wait_until, now + seconds)
        self.on_trial = True

    def wait_seconds(self, now: float) -> float:
        """Return for how long no request may be sent; 0 if one may."""
        if now < self.wait_until:
            return self.wait_until - now
        if self.pending_check is not None:
            return CHECK_SECONDS
        return self.service_seconds if self.on_trial and self.own_in_flight else 0.0

    def begin_check(self) -> None:
        """Send no requests until it is known whether this process leaves."""
        if self.pending_check is None:
            self.pending_check = asyncio.Event()

    def end_check(self) -> None:
        """Send requests again unless this process leaves."""
        if self.pending_check is not None:
            self.pending_check.set()
            self.pending_check = None

    def note_evacuation_ended(
        self, cold_seconds: float, now: float, *, is_certain: bool
    ) -> None:
        """Set for how long the endpoint is cold after its zone was evacuated.

        Unless that `is_certain`, a longer time that is known remains. Time that was
        marked remains in any case: the endpoint may have said it later than its entry.
        """
        if is_certain:
            self.possibly_cold_until = -1e9
            self.cold_until = max(self.marked_cold_until, now + cold_seconds)
        else:
            until = max(self.possibly_cold_until, now + cold_seconds)
            self.possibly_cold_until = until
            self.cold_until = max(self.cold_until, until)

    def mark_replaced(self) -> None:
        """Stop using this endpoint for good: its address belongs to another one."""
        self.replaced = True
        self.backoff_until = float("inf")

    def mark_unreachable(self, now: float) -> None:
        """Apply exponential backoff after a failed connection."""
        self.owner_probes.fail(now)
        self.backoff_until = now + self.backoff_seconds
        self.backoff_seconds = min(MAX_BACKOFF_SECONDS, self.backoff_seconds * 2)


@dataclasses.dataclass(frozen=True, slots=True)
class _PeerLoadReport:
    """In-flight requests of another instance, by endpoint."""

    in_flight: Mapping[str, int]
    received_at: float


class EndpointTable:
    """Known endpoints by service, and the choice among them."""

    def __init__(
        self,
        zone: str,
        drain_seconds: float,
        rng: random.Random,
        cold_sends: ColdSends | None = None,
    ) -> None:
        self._zone = zone
        self._cold_sends = ColdSends("") if cold_sends is None else cold_sends
        self._rng = rng
        self._drain_seconds = drain_seconds
        self._listed: set[str] = set()
        # By process: states of endpoints that may be listed again.
        self._departed: dict[tuple[str, int], EndpointState] = {}
        # Until when each endpoint asked for no requests, whichever its process.
        self._wait_until: dict[str, float] = {}
        self._evacuation = NO_EVACUATION
        self._delisted: list[str] = []  # Endpoints in `states` that are not listed.
        self.states: dict[str, EndpointState] = {}
        self._endpoints: dict[str, Endpoint] = {}  # Those of `states`.
        self._services: dict[str, list[EndpointState]] = {}
        self._peer_reports: dict[str, _PeerLoadReport] = {}
        # Learns how much endpoints handle well; None if that is not asked for.
        self.rooms: RoomExchange | None = None
        # How often an endpoint was chosen while others of its service were left out
        # because they leave, asked to wait, or are cold.
        self.choices_past_leaving = 0
        self.choices_past_waiting = 0
        self.choices_past_cold = 0

    def update_peer_report(
        self, instance: str, in_flight: Mapping[str, int], now: float
    ) -> None:
        """Replace the in-flight requests reported by another instance, by endpoint."""
        self._remove_peer_report(instance)
        self._peer_reports[instance] = _PeerLoadReport(in_flight, now)
        self._add_peer_load(in_flight, 1)

    def expire_peer_reports(self, now: float) -> None:
        """Discard the reports of instances that no longer send any."""
        for instance, report in list(self._peer_reports.items()):
            if now - report.received_at >= PEER_REPORT_TTL_SECONDS:
                self._remove_peer_report(instance)

    def _remove_peer_report(self, instance: str) -> None:
        report = self._peer_reports.pop(instance, None)
        if report is not None:
            self._add_peer_load(report.in_flight, -1)

    def _add_peer_load(self, in_flight: Mapping[str, int], sign: int) -> None:
        for name, count in in_flight.items():
            state = self.states.get(name)
            if state is not None:
                state.peer_in_flight += sign * count

    def _peer_in_flight(self, name: str) -> int:
        reports = self._peer_reports.values()
        return sum(report.in_flight.get(name, 0) for report in reports)

    def update(
        self,
        endpoints: dict[str, Endpoint],
        now: float,
        evacuation: EvacuationTimes = NO_EVACUATION,
    ) -> None:
        """Replace the set of endpoints that the store lists."""
        self._evacuation = evacuation
        states: dict[str, EndpointState] = {}
        self._listed = set(endpoints)
        for name, endpoint in endpoints.items():
            state = self.states.get(name)
            if state is None or state.endpoint.started_ms != endpoint.started_ms:
                state = self._departed.pop(endpoint.process, None)
                if state is not None:
                    state.peer_in_flight = self._peer_in_flight(name)
                    state.end_check()
                    if self.rooms is not None:
                        self.rooms.changed.add(name)
            if state is None:
                state = EndpointState(endpoint, cold_until=now + endpoint.cold_seconds)
                if self.rooms is not None:
                    self.rooms.forget(name)
                state.service_seconds = self._median_service_seconds(endpoint.service)
                # Without a first request it would never be chosen while endpoints with
                # lower measured service times are idle.
                state.never_chosen = bool(self.states) and endpoint.zone == self._zone
                state.peer_in_flight = self._peer_in_flight(name)
                # This process may be the one that asked, before its entry was read.
                state.on_trial = now < self._wait_until.get(name, -1e9)
            elif self._cold_sends.limits(endpoint.service):
                state.use_cold_seconds(endpoint, now)
            state.endpoint = endpoint
            if not endpoint.draining:
                state.leaving_since = None
            elif state.leaving_since is None:
                state.leaving_since = now
            states[name] = state
        for name, state in self.states.items():
            if name not in states:
                if state.leaving_since is None:
                    state.leaving_since = now
                if now < self._serves_keys_until(state):
                    states[name] = state
        self._replace_states(states)

    def note_returned(
        self,
        possibly_cold: Mapping[str, float],
        said_cold: Mapping[str, float],
        now: float,
    ) -> None:
        """Set cold times of endpoints whose zone is no longer evacuated.

        They are in seconds by endpoint, those of `said_cold` by their later entries.
        """
        for seconds_by_name, is_certain in ((possibly_cold, False), (said_cold, True)):
            for name, seconds in seconds_by_name.items():
                self.states[name].note_evacuation_ended(
                    seconds, now, is_certain=is_certain
                )

    def remove_departed(self, now: float) -> None:
        """Remove delisted endpoints that may no longer serve their keys."""
        departed = [
            name
            for name in self._delisted
            if now >= self._serves_keys_until(self.states[name])
        ]
        if departed:
            self._replace_states(
                {n: s for n, s in self.states.items() if n not in departed}
            )

    def may_serve_keys(self, state: EndpointState, now: float) -> bool:
        """Return whether requests for keys that an endpoint owns may be sent to it."""
        return now < self._serves_keys_until(state)

    def is_closed(self, state: EndpointState, now: float) -> bool:
        """Return whether no request may reach an endpoint, as its zone is evacuated."""
        return now >= self._closes_at(state)

    def rejects_service(self, state: EndpointState, now: float) -> bool:
        """Return whether an endpoint is closed and its service has no others."""
        return state.leaving_since is None and self.is_closed(state, now)

    def _closed_zones(self, now: float) -> set[str]:
        zones = self._evacuation.serve_until.items()
        return {zone for zone, until in zones if now >= until}

    def _closes_at(self, state: EndpointState) -> float:
        return self._evacuation.serve_until.get(state.endpoint.zone, float("inf"))

    def _serves_keys_until(self, state: EndpointState) -> float:
        closes_at = self._closes_at(state)
        if state.leaving_since is None or state.endpoint.id in self._evacuation.leaving:
            return closes_at
        drained_at = state.leaving_since + DRAIN_SERVE_FRACTION * self._drain_seconds
        return min(closes_at, drained_at)

    def _replace_states(self, states: dict[str, EndpointState]) -> None:
        for name, state in self.states.items():
            if states.get(name) is not state:
                self._departed[state.endpoint.process] = state
        while len(self._departed) > MAX_DEPARTED_STATES:
            del self._departed[next(iter(self._departed))]
        self.states = states
        self._delisted = [name for name in states if name not in self._listed]
        self._endpoints = {name: state.endpoint for name, state in states.items()}
        self._services = {}
        for state in states.values():
            self._services.setdefault(state.endpoint.service, []).append(state)

    def _median_service_seconds(self, service: str) -> float:
        times = sorted(s.service_seconds for s in self._services.get(service, ()))
        return times[len(times) // 2] if times else INITIAL_SERVICE_SECONDS

    def record_wait(self, state: EndpointState, seconds: float, now: float) -> None:
        """Send no requests to an endpoint that asked for none in an answer.

        An answer does not name the process. A later process that may have sent it gets
        one request at a time until one has run.
        """
        state.record_wait(seconds, now)
        name = state.endpoint.id
        until = max(now + seconds, self._wait_until.pop(name, -1e9))
        self._wait_until[name] = until
        while len(self._wait_until) > MAX_DEPARTED_STATES:
            del self._wait_until[next(iter(self._wait_until))]
        current = self.states.get(name)
        if current is not None and current is not state:
            current.on_trial = True

    def learn_rooms(self, now: float, *, as_granter: bool) -> list[str]:
        """Use what is known by now of how much endpoints handle well.

        Returns the endpoints whose figure has changed by over half. A granter learns
        the figures, and a follower is told them.
        """
        if self.rooms is None:
            return []
        if as_granter:
            self.rooms.learn(self._endpoints, now)
        else:
            self.rooms.expire(now)
        changed = []
        while self.rooms.changed:
            name = self.rooms.changed.pop()
            state = self.states.get(name)
            if state is None:
                continue
            before, state.room = state.room, self.rooms.rooms.get(name)
            if before is None or state.room is None:
                continue
            if before.changed_at != state.room.changed_at:
                changed.append(name)
        return changed

    def count_answer(
        self,
        state: EndpointState,
        seconds: float,
        in_flight: int,
        slowdown: float,
        now: float,
    ) -> None:
        """Count an answer of an endpoint that had `in_flight` requests."""
        if self.rooms is None:
            return
        slowdown = min(max(slowdown, MIN_SLOWDOWN), MAX_SLOWDOWN)
        state.slowdown, state.slowdown_until = slowdown, now + SLOWDOWN_TTL_SECONDS
        if now < state.cold_until:
            return
        rounds = max(1.0, in_flight / state.endpoint.slots)
        longest = (
            MAX_ANSWER_RATIO * rounds * max(state.service_seconds, state.base_seconds)
        )
        self.rooms.count(state.endpoint, in_flight, min(seconds / slowdown, longest))

    def wait_spread(self, seconds: float) -> float:
        """Return a random addition to a wait, which instances must not end at once."""
        return self._rng.uniform(0.0, min(MAX_WAIT_SPREAD_SECONDS, seconds / 2))

    # Cold endpoints of services with a limit for them.

    def set_cold_rates(self, rates: Mapping[str, float], now: float) -> None:
        """Set the requests per second that a cold endpoint takes, by service."""
        added = [name for name in rates if not self._cold_sends.limits(name)]
        self._cold_sends.set_rates(rates)
        for service in added:
            # The cold time of their entries was not followed until now.
            for state in self.for_service(service):
                if state.endpoint.cold_seconds > 0:
                    state.mark_cold(state.endpoint.cold_seconds, now)

    def record_cold(self, state: EndpointState, seconds: float, now: float) -> None:
        """Use that an endpoint said in an answer for how long it is cold."""
        if self._cold_sends.limits(state.endpoint.service):
            state.mark_cold(seconds, now)

    def is_limited(self, state: EndpointState, now: float) -> bool:
        """Return whether an endpoint is cold and its service has a limit for that.

        What is sent to an earlier process reaches the present one, at the same address.
        """
        if not self._cold_sends.limits(state.endpoint.service):
            return False
        present = self.states.get(state.endpoint.id, state)
        return now < max(state.cold_until, present.cold_until)

    def may_send(self, state: EndpointState, now: float) -> bool:
        """Return whether the limit for cold endpoints allows a request now."""
        return not self.is_limited(state, now) or self._cold_sends.may_send(
            state.endpoint.service, state.endpoint.id, now
        )

    def is_closed_by_limit(self, state: EndpointState, now: float) -> bool:
        """Return whether the limit keeps a cold endpoint from being chosen.

        It gets one request at a time: of several that were chosen for it, all but one
        would open a connection in vain.
        """
        return self.is_limited(state, now) and (
            state.own_in_flight > 0 or not self.may_send(state, now)
        )

    def note_send(self, state: EndpointState, now: float) -> None:
        """Count a request that is sent now towards the limit for cold endpoints."""
        self._cold_sends.note_send(
            state.endpoint.service,
            state.endpoint.id,
            now,
            cold=self.is_limited(state, now),
        )

    def limited_endpoints(self, now: float) -> dict[str, EndpointState]:
        """Return the cold endpoints of services with a limit, by name."""
        return {
            state.endpoint.id: state
            for service, states in self._services.items()
            if self._cold_sends.limits(service)
            for state in states
            if now < state.cold_until
        }

    def limited_names(self, service: str, now: float) -> set[str]:
        """Return the cold endpoints of a service that has a limit for them."""
        if not self._cold_sends.limits(service):
            return set()
        states = self.for_service(service)
        return {s.endpoint.id for s in states if now < s.cold_until}

    def for_service(self, service: str) -> list[EndpointState]:
        """Return the endpoints of a service."""
        return self._services.get(service, [])

    def pending_check(self, service: str, now: float) -> asyncio.Event | None:
        """Return a check whose result decides whether any endpoint may be chosen."""
        pending = None
        for state in self.for_service(service):
            if state.leaving_since is not None or state.replaced:
                continue
            if self.is_closed(state, now) or not self.may_send(state, now):
                continue
            if not state.wait_seconds(now):
                return None
            pending = pending or state.pending_check
        return pending

    def cost(self, state: EndpointState, now: float) -> float:
        """Return the expected cost of a request at the endpoint, in seconds."""
        cost = state.choice_seconds(now)
        cost += FAILURE_COST_FACTOR * state.failure_rate * state.service_seconds
        if state.endpoint.zone != self._zone:
            cost += CROSS_ZONE_COST_FACTOR * state.service_seconds
        return cost

    def choose(
        self,
        service: str,
        tried: set[str],
        now: float,
        local_seconds: float = 0.0,
        *,
        compare_all: bool = False,
    ) -> EndpointState | None:
        """Return the endpoint with the lowest cost, or None if there is none.

        Endpoints in the same availability zone are preferred if their expected response
        time is at most `local_seconds`. `compare_all` compares all endpoints instead of
        a few, which a request that would be refused otherwise needs.
        """
        candidates, some_leave, some_wait, some_cold = [], False, False, False
        limited = self._cold_sends.limits(service)
        closed = self._closed_zones(now)
        for state in self.for_service(service):
            if state.leaving_since is not None or state.endpoint.zone in closed:
                some_leave = True
            elif state.wait_seconds(now):
                some_wait = True
            elif (
                limited
                and now < state.cold_until
                and self.is_closed_by_limit(state, now)
            ):
                some_cold = True
            elif not state.replaced and state.endpoint.id not in tried:
                candidates.append(state)
        if candidates and not compare_all:
            self.choices_past_leaving += some_leave
            self.choices_past_waiting += some_wait
            self.choices_past_cold += some_cold
        # If all endpoints are in backoff, try them rather than refuse every request.
        usable = [s for s in candidates if now >= s.backoff_until] or candidates
        for state in usable:
            if state.never_chosen and now >= state.cold_until:
                state.never_chosen = False
                return state
        if local_seconds:
            usable = self._quick_local(usable, now, local_seconds) or usable
        if compare_all:
            return min(
                usable,
                key=lambda s: self.cost(s, now) * self._rng.uniform(1, 1 + COST_JITTER),
                default=None,
            )
        return min(self._sample(usable), key=lambda s: self.cost(s, now), default=None)

    def _quick_local(
        self, states: list[EndpointState], now: float, seconds: float
    ) -> list[EndpointState]:
        """Return the sound endpoints of this zone that are expected to be in time."""
        return [
            state
            for state in states
            if state.endpoint.zone == self._zone
            and state.failure_rate < MAX_LOCAL_FAILURE_RATE
            and state.expected_seconds(now) <= seconds
        ]

    def _sample(self, states: list[EndpointState]) -> list[EndpointState]:
        """Return up to `CHOICES` random endpoints, preferably of this zone."""
        if self.rooms is not None and self.rooms.rooms:
            return self._weighted_sample(states)
        if len(states) <= CHOICES:
            return states
        local = [s for s in states if s.endpoint.zone == self._zone]
        if len(local) > MAX_LOCAL_CHOICES:
            local = self._rng.sample(local, MAX_LOCAL_CHOICES)
        others = [s for s in states if s.endpoint.zone != self._zone]
        count = min(CHOICES - len(local), len(others))
        return local + self._rng.sample(others, count)

    def _weighted_sample(self, states: list[EndpointState]) -> list[EndpointState]:
        """Return a few random endpoints, weighted by what they can serve."""
        if len(states) <= WEIGHTED_LOCAL_CHOICES + WEIGHTED_OTHER_CHOICES:
            return states
        rooms = [state.room for state in states]
        known = [room.per_second for room in rooms if room is not None]
        mean = sum(known) / len(known) if known else 1.0
        local: list[EndpointState] = []
        others: list[EndpointState] = []
        local_weights: list[float] = []
        other_weights: list[float] = []
        for state, room in zip(states, rooms, strict=True):
            weight = mean if room is None else room.per_second
            if state.endpoint.zone == self._zone:
                local.append(state)
                local_weights.append(weight)
            else:
                others.append(state)
                other_weights.append(weight)
        chosen = self._draw(local, local_weights, WEIGHTED_LOCAL_CHOICES)
        count = WEIGHTED_LOCAL_CHOICES + WEIGHTED_OTHER_CHOICES - len(chosen)
        return chosen + self._draw(others, other_weights, count)

    def _draw(
        self, states: list[EndpointState], weights: list[float], count: int
    ) -> list[EndpointState]:
        """Return up to `count` different states, drawn with weights."""
        if len(states) <= count:
            return states
        # Repeats are dropped. Where one weight is far above all others, fewer endpoints
        # are compared rather than drawn without end.
        drawn = self._rng.choices(states, weights, k=DRAWS_PER_CHOICE * count)
        return list({state.endpoint.id: state for state in drawn}.values())[:count]
