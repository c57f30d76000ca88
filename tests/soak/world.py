"""Real gateway processes, and in this process their store, endpoints and callers."""

import asyncio
import contextlib
import pathlib
import random
import re
import signal
import time
from collections.abc import Callable, Coroutine

from arbutusflow.gateway.client_connection import ClientConnection
from arbutusflow.gateway.model import ExchangeError
from arbutusflow.platform import wire
from tests.gateway.object_platform import ObjectStore
from tests.loopback import own_host
from tests.soak.audit import PROMISES, Audit, AuditedEndpoint, expected_body
from tests.soak.balancer import Balancer
from tests.soak.callers import Answer
from tests.soak.configurations import LASTING_ROUTES, MOVED_PREFIX, ConfigurationHistory
from tests.soak.disturbances import Disturbances
from tests.soak.gateway_process import ZONES, GatewayProcess, ProcessLimits
from tests.soak.judge import Judge
from tests.soak.lateness import Lateness
from tests.soak.load import KEYS, CallBook, LoadCaller, ProbeCaller
from tests.soak.proxy import FaultInjectingProxy
from tests.soak.records import PlayedCall
from tests.soak.workload import Workload

# Repository whose gateway the processes of a run execute.
ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
ENDPOINTS = (("keyed", 5), ("plain", 4), ("spare", 2))  # Of each service.
SLOTS = 6  # Of each endpoint.
SETTLE_SECONDS = 45.0  # Long, because test hosts can be slow.
LASTING_PREFIXES = (*(route.prefix for route in LASTING_ROUTES), MOVED_PREFIX)


class SoakWorld:
    """The store, endpoints, instances, callers and audit of one run."""

    def __init__(
        self,
        seed: int,
        directory: pathlib.Path,
        instances: int,
        product: pathlib.Path = ROOT,
    ) -> None:
        self._product = product
        self.rng = random.Random(seed)
        self.busy_key = self.rng.choice(KEYS)
        self.audit = Audit()
        self.started_unix = time.time()
        self.store = ObjectStore()
        self.disturbances = Disturbances()
        self.lateness = Lateness()  # Of this process.
        self.limits = ProcessLimits()  # Of each instance. Set before the start.
        self.timeout_seconds: float | None = None  # Of all routes, if one is set.
        self.history = ConfigurationHistory(self.rng)
        self.workload = Workload()  # Set before the start.
        self.judge = Judge(self.audit, self.history, self.disturbances)
        self.book = CallBook(self._record_end)
        self.book.on_sent = self._record_sent
        self._directory = directory
        self._instance_count = instances
        self.gateways: list[GatewayProcess] = []
        self.store_proxies: list[FaultInjectingProxy] = []
        self.proxies: dict[str, FaultInjectingProxy] = {}  # By endpoint.
        self.endpoints: dict[str, AuditedEndpoint] = {}
        self.on_endpoint: Callable[[AuditedEndpoint], None] = lambda endpoint: None
        self.balancer = Balancer(self.rng, self.gateways, self._is_active)
        self.stopping: set[str] = set()  # Instances that are being stopped.
        self.tasks: set[asyncio.Task[None]] = set()  # Faults and callers.
        self.background: set[asyncio.Task[None]] = set()  # Callers of these.
        self.answer_counts: dict[int, int] = {}
        self.callers_active = True
        self.first_fault_at: float | None = None  # On the clock of the run.
        self._last_number = 0  # Of endpoints.

    # Lifecycle.

    async def start(self) -> None:
        """Start all parts, and wait until each instance serves all keys."""
        if self.workload.eras:
            self.store.state.era = 1
        await self.store.server.start(own_host(), 0)
        store_port = self.store.server.port
        timeout = self.timeout_seconds or self.workload.timeout_seconds
        if timeout is not None:
            self.history.timeout_range = (timeout, timeout)
        self.write_configuration()
        for service, count in ENDPOINTS:
            for _ in range(count):
                await self.add_endpoint(service)
        for number in range(self._instance_count):
            proxy = FaultInjectingProxy(store_port, own_host())
            await proxy.start()
            self.store_proxies.append(proxy)
            gateway = GatewayProcess(
                number,
                self._directory,
                proxy.port,
                self._product,
                self._record_signal,
                self.workload.first_zone,
                self.limits,
            )
            gateway.start()
            self.gateways.append(gateway)
        await self.settle()

    async def close(self) -> None:
        """Stop everything that this run started."""
        self.callers_active = False
        self.kill_processes()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.kill_processes()  # A fault may have started one again.
        for proxy in (*self.store_proxies, *self.proxies.values()):
            proxy.close()
        for endpoint in self.endpoints.values():
            endpoint.server.stop_accepting()
        self.store.server.stop_accepting()

    def kill_processes(self) -> None:
        """Kill the processes of this run, without giving control away."""
        for gateway in self.gateways:
            gateway.kill()

    def write_configuration(self) -> None:
        """Write the next version of the configuration to the store."""
        version = self.history.add(time.monotonic())
        self.store.put("config", "main", version.document())

    def spawn(
        self,
        work: Coroutine[object, object, None],
        *,
        background: bool = False,
    ) -> None:
        """Run a coroutine in the background; an error of it counts as a violation.

        Nothing waits for the end of a caller, for which `background` is set.
        """
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        if background:
            self.background.add(task)
        task.add_done_callback(self._task_done)

    @property
    def active_faults(self) -> int:
        """Number of the faults that have not ended."""
        return len(self.tasks) - len(self.background)

    def _task_done(self, task: "asyncio.Task[None]") -> None:
        self.tasks.discard(task)
        self.background.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.audit.record_violation(f"background task failed: {task.exception()!r}")

    def _record_signal(self, instance: str, number: int) -> None:
        now = time.monotonic()
        if number == signal.SIGHUP:
            self.judge.reloads[instance].append(now)
            return
        if number == 0:
            self.judge.starts[instance].append(now)
        elif number == signal.SIGTERM:
            self.judge.stops[instance].append(now)
        # Faults record that what they do is not planned.
        self.disturbances.record(
            instance, planned=True, note=f"signal {number}" if number else "start"
        )
        self.audit.statements.record_disturbance(instance, now)

    # Endpoints.

    async def add_endpoint(
        self,
        service: str,
        proxy: FaultInjectingProxy | None = None,
        *,
        registers: bool = True,
    ) -> AuditedEndpoint:
        """Start an endpoint, at the address of an earlier one if given its proxy."""
        self._last_number += 1
        name = f"e{self._last_number}"
        endpoint = AuditedEndpoint(name, service, self.audit)
        workload = self.workload
        endpoint.usual_seconds = workload.pace * self.rng.uniform(0.01, 0.08)
        endpoint.tail_share = workload.tail_share
        endpoint.tail_factor = self.rng.uniform(*workload.tail_factors)
        if workload.queues:
            endpoint.running_limit = asyncio.Semaphore(SLOTS)
        endpoint.cold_factor = self.rng.uniform(*workload.cold_factors)
        cold_seconds = self.rng.uniform(0.0, workload.cold_seconds)
        endpoint.cold_until = time.monotonic() + cold_seconds
        endpoint.slots = SLOTS
        self.on_endpoint(endpoint)
        await endpoint.server.start(own_host(), 0)
        if proxy is None:
            proxy = FaultInjectingProxy(
                endpoint.server.port, own_host(), self._record_response_fault
            )
            await proxy.start()
        else:
            proxy.clear_faults()
            proxy.move_to(endpoint.server.port)
        self.endpoints[name], self.proxies[name] = endpoint, proxy
        if registers:
            self.register(endpoint, "ready")
        return endpoint

    def _record_response_fault(self, fault: str, response: bytes) -> None:
        found = re.search(rb"\r\n%b: *(\w+)" % wire.REQUEST_ID, response, re.IGNORECASE)
        if found is not None:
            status = response[9:12].decode("latin-1")
            self.audit.record_event(found[1], f"response {status} {fault}")
            if fault != "repeated":
                self.audit.seen[found[1]].broken_off = True

    def register(self, endpoint: AuditedEndpoint, state: str) -> None:
        """Write the object that registers an endpoint with the platform."""
        zone = ZONES[int(endpoint.name[1:]) % len(ZONES)]
        info = {
            "service": endpoint.service,
            "version": "v",
            "zone": zone,
            "slots": endpoint.slots,
        }
        cold_left = max(endpoint.cold_until - time.monotonic(), 0.0)
        status = {"state": state, "seq": 1, "coldLeftS": round(cold_left, 1)}
        address = f"{own_host()}:{self.proxies[endpoint.name].port}"
        endpoint.leaving = state == "draining"
        born = endpoint.started_ms
        entry = {"address": address, "info": info, "status": status, "born": born}
        self.store.put("servers", endpoint.name, entry)

    def crash_endpoint(self, name: str, *, planned: bool = False) -> None:
        """Stop an endpoint without draining it, and remove its object."""
        self.end_endpoint(name, planned=planned).close()
        self.store.remove("servers", name)

    def end_endpoint(self, name: str, *, planned: bool = False) -> FaultInjectingProxy:
        """Stop an endpoint whose object stays; return the proxy at its address."""
        self.disturbances.record(name, planned=planned, note="end")
        endpoint, proxy = self.endpoints.pop(name), self.proxies.pop(name)
        endpoint.alive = False
        endpoint.server.stop_accepting()
        proxy.refuses_connections = True
        proxy.reset()
        return proxy

    async def restart_endpoint(
        self, name: str, register_after: float, *, leaving: bool = False
    ) -> None:
        """Replace the process of an endpoint under its identifier and address.

        With `leaving` the new process says that it leaves from its start on, although
        its entry says that it is ready.
        """
        self.disturbances.record(name, note="restart")
        earlier = self.endpoints[name]
        earlier.alive = False
        earlier.server.stop_accepting()
        endpoint = AuditedEndpoint(name, earlier.service, self.audit)
        endpoint.started_ms = earlier.started_ms + 1000
        endpoint.usual_seconds = earlier.usual_seconds
        endpoint.tail_share = earlier.tail_share
        endpoint.tail_factor = earlier.tail_factor
        if earlier.running_limit is not None:
            endpoint.running_limit = asyncio.Semaphore(SLOTS)
        endpoint.slots = earlier.slots
        endpoint.leaving = leaving
        self.on_endpoint(endpoint)
        await endpoint.server.start(own_host(), 0)
        if self.endpoints.get(name) is not earlier:
            # It crashed or was restarted meanwhile.
            endpoint.alive = False
            endpoint.server.stop_accepting()
            return
        self.endpoints[name] = endpoint
        self.proxies[name].move_to(endpoint.server.port)
        await asyncio.sleep(register_after)
        if self.endpoints.get(name) is endpoint:
            self.register(endpoint, "ready")
            endpoint.leaving = leaving

    # Callers.

    def start_callers(self) -> None:
        """Start the callers, and the checks of the balancer that they follow."""
        for gateway in self.gateways:
            self.spawn(self.balancer.check(gateway), background=True)
            prober = ProbeCaller(
                random.Random(self.rng.random()),
                self.book,
                self.balancer.choose,
                self._is_active,
            )
            work = prober.probe(gateway, self.history, self.balancer.receives)
            self.spawn(work, background=True)
        for _ in range(self.workload.callers):
            caller = LoadCaller(
                random.Random(self.rng.random()),
                self.book,
                self.busy_key,
                self.balancer.choose,
                self._is_active,
                self.workload,
            )
            self.spawn(caller.run(), background=True)
        self.spawn(self._watch_processes(), background=True)
        self.spawn(self.lateness.measure(self._is_active), background=True)

    def _is_active(self) -> bool:
        return self.callers_active

    async def _watch_processes(self) -> None:
        reported: set[str] = set()
        while self.callers_active:
            now = time.monotonic()
            for gateway in self.gateways:
                name = gateway.name
                calm = self.disturbances.calm(name, now, now)
                if not gateway.running and calm and name not in reported:
                    reported.add(name)
                    text = f"the process of {name} has ended by itself"
                    self.audit.record_violation(text, "FAULT", instance=name)
            await asyncio.sleep(0.5)

    def _record_sent(self, call: PlayedCall) -> None:
        instance, request_id = call.instance, call.request_id
        self.audit.instances[request_id] = instance
        self.audit.statements.record_sent(request_id, instance, call.began_at)
        text = f"sent to {instance}: {call.method.decode()} {call.target.decode()}"
        self.audit.record_event(request_id, f"{text} with key {call.key}")

    def _record_end(self, call: PlayedCall, answer: Answer | None) -> None:
        request_id = call.request_id
        if answer is None:
            left = call.left_at is not None
            text = "its caller has left" if left else "no answer"
            self.audit.record_event(request_id, text)
            return
        if call.signed:
            self.audit.statements.record_answer(request_id, time.monotonic())
        self.check_answer(
            answer.status,
            answer.body,
            request_id,
            call.method,
            call.target,
            call.body,
            lasting=call.target.startswith(LASTING_PREFIXES),
        )

    def check_answer(
        self,
        status: int,
        answer: bytes,
        request_id: bytes,
        method: bytes,
        target: bytes,
        body: bytes,
        *,
        lasting: bool = True,
    ) -> None:
        """Check the status and body that a caller got for a request.

        `lasting` tells that all configurations have a route for the request.
        """
        self.answer_counts[status] = self.answer_counts.get(status, 0) + 1
        self.audit.record_event(request_id, f"its caller gets {status}")
        ids = (request_id,)
        if not 200 <= status <= 599:
            self.audit.record_violation(
                f"request {request_id.decode()} got status {status}", "MIXED", ids
            )
        if status == 200 and answer != expected_body(method, target, body):
            self.audit.record_violation(
                f"request {request_id.decode()} got the answer of another request",
                "MIXED",
                ids,
            )
        if status in PROMISES and method == b"POST":
            self.audit.refused.add(request_id)
        if status == 400 or (status == 404 and lasting):
            self.audit.record_violation(
                f"a valid request was answered with status {status}", "DENIED", ids
            )

    async def settle(self) -> None:
        """Wait until each instance serves each key; record a violation on time-out."""
        until = time.monotonic() + SETTLE_SECONDS
        for gateway in self.gateways:
            for key in KEYS:
                while not await self._is_served(gateway, key):
                    if time.monotonic() > until:
                        self.audit.record_violation(
                            f"{gateway.name} does not serve key {key}",
                            "RECOVER",
                            keys=(key, key),
                            instance=gateway.name,
                        )
                        return
                    await asyncio.sleep(0.1)

    async def _is_served(self, gateway: GatewayProcess, key: int) -> bool:
        # An instance may refuse what would end too late.
        seconds = 1.5 if self.workload.deadline_range is None else 5.0
        head = (
            b"GET /x/1 HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: %b\r\n"
            b"Deadline-Ms: %d\r\nShard-Key: %d\r\n\r\n"
            % (self.book.next_id(), seconds * 1000, key)
        )
        with contextlib.suppress(ExchangeError):
            conn = await ClientConnection.open(gateway.address, 1.0)
            try:
                return (await conn.exchange(head, b"", seconds + 1.0)).status == 200
            finally:
                conn.close()
        return False
