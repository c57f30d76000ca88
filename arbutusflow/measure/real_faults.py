"""Effects of faults on the real processes of an example deployment.

Reports for each fault the longest time for which a key was unavailable, how many
requests were refused or had an unknown outcome, and which guarantees were violated. All
processes run on one host and share its monotonic clock, so the intervals in which
two endpoints held a unit can be compared exactly.
"""

import asyncio
import collections
import contextlib
import itertools
import pathlib
import signal
import sys
import time
from collections.abc import Awaitable, Callable
from typing import Annotated

import msgspec
import typer

from arbutusflow.adapters.endpoint import repr_digest
from arbutusflow.adapters.settings import load_configuration
from arbutusflow.domain.configuration import (
    Endpoint,
    EndpointState,
    Patch,
    Service,
    SetEndpointState,
)
from arbutusflow.request_ids import new_request_id
from arbutusflow.runtime.curl_loop import CurlError, CurlLoop, CurlRequest
from arbutusflow.standins.endpoint_server import CRASH_BODY, Holding, WorkLogEntry
from arbutusflow.standins.fleet import HOST, Fleet, FleetClient, running_fleet
from arbutusflow.standins.platform_server import Fault

# A tenth of the time from the end of a request for a key to the next request for it.
PROBE_SECONDS = 0.05
PROBE_TIMEOUT_MS = 1_000
KEYS_PER_SERVICE = 48
SETTLE_SECONDS = 3.0
UNAVAILABILITY_TARGET_SECONDS = 3.0
MAX_CRASHED_ENDPOINTS = 2  # A request that crashed two endpoints is refused.
CRASH_REQUEST_SENDS = 10
CONCURRENT_UPLOADS = 40  # The default limits admit 16 bodies of the largest size.
UPLOAD_TIMEOUT_MS = 30_000
CRASH_REFUSAL_REASON = "crashes_endpoints"
# An endpoint must start no request and get no unit later than this after its drain
# starts.
DRAIN_TARGET_SECONDS = 3.0
SERVICE_MS = 4.0  # Time that an endpoint takes for each request.


class Probe(msgspec.Struct, frozen=True):
    """A request sent by the prober; times are monotonic clock readings in seconds."""

    service: str
    key: str
    request_id: str
    repeatable: bool
    outcome: str
    reason: str
    sent: float
    ended: float


class FaultResult(msgspec.Struct, frozen=True):
    """Effects of one fault.

    `checked_seconds` and `unchecked_seconds` are the longest times for which a key
    was unavailable, at endpoints that check fencing tokens and at those that do not.
    `target_seconds` is None if the requirements state no target. `broken` describes
    each violated guarantee.
    """

    fault: str
    checked_seconds: float
    unchecked_seconds: float
    target_seconds: float | None
    sent: int
    not_run: int
    unknown: int
    reasons: dict[str, int]
    broken: tuple[str, ...]


class Prober:
    """Sends requests for a fixed set of keys periodically."""

    def __init__(self, fleet: Fleet, curl: CurlLoop) -> None:
        self._curl = curl
        self._ports = itertools.cycle(
            fleet.ports.caller + number for number in range(len(fleet.entry_instances))
        )
        self.excluded_ports: set[int] = set()
        self._services = fleet.cfg.services
        self.probes: list[Probe] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._in_flight: set[asyncio.Task[None]] = set()

    def start(self) -> None:
        """Start one sending task for each key of each service."""
        for service in self._services:
            for number in range(KEYS_PER_SERVICE):
                key = f"probe-{number}"
                task = asyncio.create_task(self._run(service, key, number))
                self._tasks.append(task)

    async def stop(self) -> None:
        """Stop sending and wait for the requests in flight."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        # A cancelled task leaves its shielded request running. Unless it is awaited,
        # the request could be answered after the endpoints' logs were read.
        await asyncio.gather(*self._in_flight)

    async def _run(self, service: Service, key: str, number: int) -> None:
        await asyncio.sleep(PROBE_SECONDS * 10 * number / KEYS_PER_SERVICE)
        while True:
            probe = asyncio.create_task(self._probe(service, key))
            self._in_flight.add(probe)
            probe.add_done_callback(self._in_flight.discard)
            await asyncio.shield(probe)
            await asyncio.sleep(PROBE_SECONDS * 10)

    async def _probe(self, service: Service, key: str) -> None:
        kind = service.kinds[0]
        request_id = new_request_id()
        sent = time.monotonic()
        outcome, reason = "unknown", "no_answer"
        with contextlib.suppress(CurlError):
            response = await self._curl.perform(
                CurlRequest(
                    "POST",
                    f"http://{HOST}:{self._next_port()}/v1/{service.name}/{kind.name}/{key}",
                    (
                        f"Arbutus-Request-Id: {request_id}",
                        f"Arbutus-Deadline-Ms: {PROBE_TIMEOUT_MS}",
                    ),
                    b"probe",
                    PROBE_TIMEOUT_MS + 500,
                    fresh_connection=not kind.repeatable,
                )
            )
            outcome = response.headers.get("arbutus-outcome", "unknown")
            reason = response.headers.get("arbutus-reason", "")
        ended = time.monotonic()
        self.probes.append(
            Probe(
                service.name,
                key,
                request_id,
                kind.repeatable,
                outcome,
                reason,
                sent,
                ended,
            )
        )

    def _next_port(self) -> int:
        # Like a load balancer, skips instances that fail their readiness check.
        return next(port for port in self._ports if port not in self.excluded_ports)


FaultScenario = Callable[["FaultRun"], Awaitable[None]]


class FaultRun:
    """Probes a deployment and provides the operations of which scenarios consist."""

    def __init__(self, fleet: Fleet, service_ms: float) -> None:
        self.fleet = fleet
        self.curl = CurlLoop(asyncio.get_running_loop(), 64)
        self.client = FleetClient(self.curl, fleet.ports, len(fleet.entry_instances))
        self.prober = Prober(fleet, self.curl)
        self._service_ms = service_ms
        self._endpoints_without_log: set[str] = set()
        self.drain_started: dict[str, float] = {}
        self.violations: list[str] = []
        self._crash_request_id = ""

    async def prepare(self) -> None:
        """Create the services and wait until all keys are served."""
        await self.client.wait_until_live()
        await self.client.create_services(self.fleet.cfg)
        await self.client.wait_until_served(self.fleet.cfg)
        await asyncio.sleep(SETTLE_SECONDS)

    async def measure(
        self, name: str, target: float | None, scenario: FaultScenario
    ) -> FaultResult:
        """Run `scenario` while probes are sent, and return the measured effects."""
        self.prober = Prober(self.fleet, self.curl)
        self.prober.start()
        await asyncio.sleep(SETTLE_SECONDS)
        await scenario(self)
        await asyncio.sleep(SETTLE_SECONDS)
        await self.prober.stop()
        return await self._result(name, target)

    def exclude_from_load_balancing(self, number: int) -> None:
        """Stop sending probes to entry instance `number`."""
        self.prober.excluded_ports.add(self.fleet.ports.caller + number)

    def endpoint(self, service_index: int, number: int) -> Endpoint:
        """Return an endpoint by the index of its service and its own index."""
        return self.fleet.cfg.services[service_index].endpoints[number]

    def kill_endpoint(self, endpoint: Endpoint) -> None:
        """Kill an endpoint's process; its work log in memory is lost."""
        self.fleet.send_signal(endpoint.name, signal.SIGKILL)
        self.fleet.processes[endpoint.name].wait()
        self._endpoints_without_log.add(endpoint.name)

    def restart_endpoint(self, endpoint: Endpoint) -> None:
        """Start an endpoint's process after it ended."""
        self.fleet.start_endpoint(endpoint, self._service_ms)

    async def drain_by_endpoint(self, endpoint: Endpoint) -> None:
        """Make an endpoint report that it is draining, until its process ends."""
        self.drain_started[endpoint.name] = time.monotonic()
        url = f"http://{endpoint.host}:{endpoint.port}/control/drain"
        await self.client.post(url, None)

    async def drain_by_operator(self, service: Service, endpoint: Endpoint) -> None:
        """Set the state of an endpoint to draining by a configuration patch."""
        status = await self.client.status(0)
        operation = SetEndpointState(
            service.name, endpoint.name, EndpointState.DRAINING
        )
        patch = Patch(f"drain-{endpoint.name}", status.configuration, (operation,))
        url = f"http://{HOST}:{self.fleet.ports.admin}/config/patch"
        await self.client.post(url, patch)
        self.drain_started[endpoint.name] = time.monotonic()

    async def send_crashing_request(self, service: Service, number: int) -> str:
        """Send a request that crashes its endpoint.

        Returns the reason of the refusal, the transport error, or "" for an answer.
        Two consecutive numbers share a request id.
        """
        kind = service.kinds[0]
        if number % 2 == 0:
            self._crash_request_id = new_request_id()
        port = self.fleet.ports.caller + number % len(self.fleet.entry_instances)
        try:
            response = await self.curl.perform(
                CurlRequest(
                    "POST",
                    f"http://{HOST}:{port}/v1/{service.name}/{kind.name}/crash",
                    (f"Arbutus-Request-Id: {self._crash_request_id}",),
                    CRASH_BODY,
                    kind.timeout_ms + 1_000,
                    fresh_connection=True,
                )
            )
        except CurlError as exc:
            return str(exc)
        return response.headers.get("arbutus-reason", "")

    async def upload(
        self, service: Service, number: int, body: bytes, digest: str
    ) -> str:
        """Upload `body` through the first entry instance; return outcome and reason."""
        kind = service.kinds[0]
        request_id = new_request_id()
        sent = time.monotonic()
        outcome, reason, stored = "unknown", "no_answer", len(body)
        with contextlib.suppress(CurlError):
            response = await self.curl.perform(
                CurlRequest(
                    "POST",
                    f"http://{HOST}:{self.fleet.ports.caller}"
                    f"/v1/{service.name}/{kind.name}/upload-{number}",
                    (
                        f"Arbutus-Request-Id: {request_id}",
                        f"Repr-Digest: {digest}",
                    ),
                    body,
                    UPLOAD_TIMEOUT_MS,
                )
            )
            outcome = response.headers.get("arbutus-outcome", "unknown")
            reason = response.headers.get("arbutus-reason", "")
            if outcome == "answered":
                stored = msgspec.json.decode(response.body)["bytes"]
        if stored != len(body):
            self.violations.append(f"{request_id} stored {stored} of {len(body)} bytes")
        identity = (service.name, f"upload-{number}", request_id, kind.repeatable)
        probe = Probe(*identity, outcome, reason, sent, time.monotonic())
        self.prober.probes.append(probe)
        return f"{outcome} {reason}".strip()

    def peak_rss_mebibytes(self) -> list[int]:
        """Return the peak resident memory of each entry instance."""
        peaks = []
        for entry in self.fleet.entry_instances:
            pid = self.fleet.processes[entry.instance].pid
            status = pathlib.Path(f"/proc/{pid}/status").read_text()
            (line,) = (i for i in status.splitlines() if i.startswith("VmHWM"))
            peaks.append(int(line.split()[1]) // 1024)
        return peaks

    async def set_platform_fault(self, fault: Fault) -> None:
        """Inject a fault into the platform stand-in; `Fault()` removes it."""
        url = f"http://{HOST}:{self.fleet.ports.platform}/control/fault"
        await self.client.post(url, fault)

    async def _result(self, name: str, target: float | None) -> FaultResult:
        probes = self.prober.probes
        outcomes = collections.Counter(probe.outcome for probe in probes)
        checked = {
            service.name
            for service in self.fleet.cfg.services
            if all(endpoint.checks_tokens for endpoint in service.endpoints)
        }
        return FaultResult(
            name,
            longest_unavailability(
                [probe for probe in probes if probe.service in checked]
            ),
            longest_unavailability(
                [probe for probe in probes if probe.service not in checked]
            ),
            target,
            len(probes),
            outcomes["not-run"],
            outcomes["unknown"],
            dict(collections.Counter(i.reason for i in probes if i.reason)),
            tuple(await self._violations(probes)),
        )

    async def _violations(self, probes: list[Probe]) -> list[str]:
        runs: collections.Counter[str] = collections.Counter()
        holdings: dict[tuple[str, int], list[tuple[str, Holding]]] = (
            collections.defaultdict(list)
        )
        late_actions: list[str] = []
        for service in self.fleet.cfg.services:
            for endpoint in service.endpoints:
                log = await self._fetch(endpoint, "log")
                for work in msgspec.json.decode(log, type=list[WorkLogEntry]):
                    runs[work.request_id] += 1
                    late_actions.extend(self._late_runs(endpoint.name, work))
                held = await self._fetch(endpoint, "holdings")
                for item in msgspec.json.decode(held, type=list[Holding]):
                    holdings[service.name, item.unit].append((endpoint.name, item))
                    late_actions.extend(self._late_grants(endpoint.name, item))
        return [
            *self._wrong_outcomes(probes, runs),
            *overlapping_holdings(holdings),
            *late_actions,
            *self.violations,
            *self._drain_failures(probes),
        ]

    def _late_grants(self, endpoint: str, item: Holding) -> list[str]:
        started = self.drain_started.get(endpoint)
        if started is None or item.since <= started + DRAIN_TARGET_SECONDS:
            return []
        delay = item.since - started
        return [
            f"{endpoint} was granted unit {item.unit} {delay:.2f} s after drain start"
        ]

    def _drain_failures(self, probes: list[Probe]) -> list[str]:
        if not self.drain_started:
            return []
        return [
            f"{probe.request_id} for {probe.service}/{probe.key} was not answered "
            f"during a drain: {probe.outcome}, {probe.reason}"
            for probe in probes
            if probe.outcome != "answered"
        ]

    def _late_runs(self, endpoint: str, work: WorkLogEntry) -> list[str]:
        started = self.drain_started.get(endpoint)
        if started is None or work.at <= started + DRAIN_TARGET_SECONDS:
            return []
        delay = work.at - started
        return [f"{endpoint} ran {work.request_id} {delay:.2f} s after drain start"]

    def _wrong_outcomes(
        self, probes: list[Probe], runs: "collections.Counter[str]"
    ) -> list[str]:
        wrong = []
        for probe in probes:
            count = runs[probe.request_id]
            if probe.outcome == "not-run" and count:
                wrong.append(f"{probe.request_id} was reported as not-run, but ran")
            if (
                probe.outcome == "answered"
                and not count
                and not self._endpoints_without_log
            ):
                wrong.append(f"{probe.request_id} was answered, but never ran")
            if not probe.repeatable and count > 1:
                wrong.append(f"{probe.request_id} ran {count} times")
        return wrong

    async def _fetch(self, endpoint: Endpoint, page: str) -> bytes:
        """Return a log of an endpoint as JSON, empty if its process has ended."""
        if self.fleet.processes[endpoint.name].poll() is not None:
            return b"[]"
        url = f"http://{endpoint.host}:{endpoint.port}/control/{page}"
        return (await self.client.get(url, 10_000)).body


def overlapping_holdings(
    holdings: dict[tuple[str, int], list[tuple[str, Holding]]],
) -> list[str]:
    """Return messages about overlapping holdings of a unit by two endpoints.

    Each holding is compared with the next one of the unit, in the order of their start.
    """
    overlaps = []
    for (service, unit), items in holdings.items():
        items.sort(key=lambda item: item[1].since)
        for (first, one), (second, other) in itertools.pairwise(items):
            if first != second and other.since < one.until:
                overlap = min(one.until, other.until) - other.since
                overlaps.append(
                    f"{first} and {second} both held {service}/{unit} "
                    f"for {overlap:.3f} s"
                )
    return overlaps


def longest_unavailability(probes: list[Probe]) -> float:
    """Return the longest time for which a key was unavailable.

    An outage lasts from the sending of the first request that failed until the next
    answer. The response time of an answered request counts as unavailability, too.
    """
    longest = 0.0
    by_key: dict[tuple[str, str], list[Probe]] = collections.defaultdict(list)
    for probe in probes:
        by_key[probe.service, probe.key].append(probe)
    for items in by_key.values():
        items.sort(key=lambda probe: probe.sent)
        unavailable_since: float | None = None
        for probe in items:
            if probe.outcome == "answered":
                since = probe.sent if unavailable_since is None else unavailable_since
                longest = max(longest, probe.ended - since)
                unavailable_since = None
            elif unavailable_since is None:
                unavailable_since = probe.sent
        if unavailable_since is not None:
            longest = max(longest, items[-1].ended - unavailable_since)
    return longest


# Faults


async def endpoint_exits(run: FaultRun) -> None:
    """Kill an endpoint that checks tokens and one that does not, then restart them."""
    killed = [run.endpoint(0, 0), run.endpoint(3, 0)]
    for endpoint in killed:
        run.kill_endpoint(endpoint)
    await asyncio.sleep(5.0)
    for endpoint in killed:
        run.restart_endpoint(endpoint)
    await asyncio.sleep(SETTLE_SECONDS)


async def endpoint_freezes(run: FaultRun) -> None:
    """Freeze an endpoint for longer than its lease, then resume it."""
    name = run.endpoint(1, 1).name
    run.fleet.send_signal(name, signal.SIGSTOP)
    await asyncio.sleep(5.0)
    run.fleet.send_signal(name, signal.SIGCONT)


async def entry_exits(run: FaultRun) -> None:
    """Kill an entry instance and start another one in its place."""
    name = run.fleet.entry_instances[2].instance
    run.exclude_from_load_balancing(2)
    run.fleet.send_signal(name, signal.SIGKILL)
    run.fleet.processes[name].wait()
    await asyncio.sleep(5.0)
    run.fleet.start_entry(2)
    await asyncio.sleep(SETTLE_SECONDS)


async def entry_freezes(run: FaultRun) -> None:
    """Freeze an entry instance, then resume it."""
    name = run.fleet.entry_instances[3].instance
    run.exclude_from_load_balancing(3)
    run.fleet.send_signal(name, signal.SIGSTOP)
    await asyncio.sleep(5.0)
    run.fleet.send_signal(name, signal.SIGCONT)


async def entry_stops_gracefully(run: FaultRun) -> None:
    """Stop an entry instance gracefully and start another one in its place."""
    name = run.fleet.entry_instances[4].instance
    run.exclude_from_load_balancing(4)
    run.fleet.send_signal(name, signal.SIGTERM)
    await asyncio.get_running_loop().run_in_executor(
        None, run.fleet.processes[name].wait
    )
    run.fleet.start_entry(4)
    await asyncio.sleep(SETTLE_SECONDS)


async def platform_down(run: FaultRun) -> None:
    """Make the platform unavailable for 6 s."""
    await run.set_platform_fault(Fault(down=True))
    await asyncio.sleep(6.0)
    await run.set_platform_fault(Fault())


async def entry_exits_while_platform_down(run: FaultRun) -> None:
    """Kill an entry instance while the platform is unavailable."""
    await run.set_platform_fault(Fault(down=True))
    await asyncio.sleep(1.0)
    name = run.fleet.entry_instances[5].instance
    run.exclude_from_load_balancing(5)
    run.fleet.send_signal(name, signal.SIGKILL)
    await asyncio.sleep(5.0)
    await run.set_platform_fault(Fault())
    run.fleet.start_entry(5)
    await asyncio.sleep(SETTLE_SECONDS)


async def endpoint_reports_drain(run: FaultRun) -> None:
    """Make an endpoint that checks tokens and one that does not report a drain."""
    for endpoint in (run.endpoint(0, 2), run.endpoint(3, 2)):
        await run.drain_by_endpoint(endpoint)
    await asyncio.sleep(8.0)


async def endpoint_drained_by_operator(run: FaultRun) -> None:
    """Drain an endpoint that checks tokens and one that does not by a patch."""
    for index in (0, 3):
        service = run.fleet.cfg.services[index]
        await run.drain_by_operator(service, run.endpoint(index, 3))
    await asyncio.sleep(8.0)


async def request_crashes_endpoints(run: FaultRun) -> None:
    """Repeatedly send a request that crashes every endpoint that runs it."""
    for service in (run.fleet.cfg.services[0], run.fleet.cfg.services[3]):
        reasons = []
        for number in range(CRASH_REQUEST_SENDS):
            reasons.append(await run.send_crashing_request(service, number))
            await asyncio.sleep(0.5)
        crashed = [
            item
            for item in service.endpoints
            if run.fleet.processes[item.name].poll() is not None
        ]
        typer.echo(f"{service.name}: {len(crashed)} endpoints exited; {reasons}")
        if len(crashed) > MAX_CRASHED_ENDPOINTS:
            run.violations.append(f"one request crashed {len(crashed)} endpoints")
        if reasons[-1] != CRASH_REFUSAL_REASON:
            run.violations.append(
                f"the last crashing request got {reasons[-1] or 'an answer'}"
            )
        for endpoint in crashed:
            # Has already exited; the call records that its work log is lost.
            run.kill_endpoint(endpoint)
            run.restart_endpoint(endpoint)
    await asyncio.sleep(SETTLE_SECONDS)
    refused = [
        probe for probe in run.prober.probes if probe.reason == CRASH_REFUSAL_REASON
    ]
    run.violations += [
        f"unrelated request {item.request_id} was refused" for item in refused
    ]


async def concurrent_uploads(run: FaultRun) -> None:
    """Send many uploads of the largest size to one entry instance concurrently."""
    service = run.fleet.cfg.services[2]
    body = b"u" * run.fleet.cfg.limits.body_bytes
    digest = repr_digest(body)
    before = run.peak_rss_mebibytes()
    replies = await asyncio.gather(
        *(
            run.upload(service, number, body, digest)
            for number in range(CONCURRENT_UPLOADS)
        )
    )
    after = run.peak_rss_mebibytes()
    outcomes = collections.Counter(replies)
    typer.echo(f"uploads: {dict(outcomes)}")
    typer.echo(
        f"peak memory of the entry instances in MiB: {before} before, {after} after"
    )


FAULTS: tuple[tuple[str, float | None, FaultScenario], ...] = (
    ("endpoint exits", UNAVAILABILITY_TARGET_SECONDS, endpoint_exits),
    ("endpoint freezes and returns", UNAVAILABILITY_TARGET_SECONDS, endpoint_freezes),
    ("entry exits", UNAVAILABILITY_TARGET_SECONDS, entry_exits),
    ("entry freezes and returns", UNAVAILABILITY_TARGET_SECONDS, entry_freezes),
    ("entry stops as planned", 0.0, entry_stops_gracefully),
    ("platform down", 0.0, platform_down),
    (
        "entry exits, platform down",
        UNAVAILABILITY_TARGET_SECONDS,
        entry_exits_while_platform_down,
    ),
    (
        "request crashes endpoints",
        UNAVAILABILITY_TARGET_SECONDS,
        request_crashes_endpoints,
    ),
    ("flood of uploads", None, concurrent_uploads),
    ("endpoint drains by notice", 0.0, endpoint_reports_drain),
    ("endpoint drained by the operator", 0.0, endpoint_drained_by_operator),
)


async def measure_faults(
    fleet: Fleet, service_ms: float, names: tuple[str, ...] = ()
) -> list[FaultResult]:
    """Run the named faults, or all of them, in sequence on a running fleet."""
    run = FaultRun(fleet, service_ms)
    await run.prepare()
    return [
        await run.measure(name, target, scenario)
        for name, target, scenario in FAULTS
        if not names or name in names
    ]


def main(
    configuration: Annotated[pathlib.Path, typer.Argument()],
    fault: Annotated[list[str], typer.Option()] = [],  # noqa: B006
    logs: pathlib.Path | None = None,
    port_offset: int = 0,
) -> None:
    """Measure the effects of faults on the example deployment in CONFIGURATION."""
    cfg = load_configuration(configuration)
    with running_fleet(cfg, SERVICE_MS, logs, port_offset) as fleet:
        results = asyncio.run(measure_faults(fleet, SERVICE_MS, tuple(fault)))
    typer.echo(
        f"{'fault':<32}{'checked s':>10}{'unchecked s':>12}{'target':>8}{'sent':>7}"
        f"{'not run':>8}"
        f"{'unknown':>8}{'broken':>7}"
    )
    for item in results:
        target = "" if item.target_seconds is None else f"{item.target_seconds:.0f}"
        typer.echo(
            f"{item.fault:<32}{item.checked_seconds:>10.2f}"
            f"{item.unchecked_seconds:>12.2f}{target:>8}"
            f"{item.sent:>7}{item.not_run:>8}{item.unknown:>8}{len(item.broken):>7}"
        )
        typer.echo(f"    reasons: {item.reasons}")
        for violation in item.broken[:5]:
            typer.echo(f"    BROKEN: {violation}")
    sys.exit(1 if any(item.broken for item in results) else 0)


if __name__ == "__main__":
    typer.run(main)
