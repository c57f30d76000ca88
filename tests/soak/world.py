"""Real gateway processes, and in this process their store, endpoints and callers."""

import asyncio
import contextlib
import os
import pathlib
import random
import re
import signal
import subprocess
import sys
import time
from collections.abc import Callable

from arbutusflow.gateway.client_connection import ClientConnection
from arbutusflow.gateway.model import Address, ExchangeError
from arbutusflow.platform import wire
from arbutusflow.platform.settings import SETTINGS_VARIABLE
from tests.gateway.object_platform import SETTINGS, ObjectStore
from tests.gateway.test_documents import CONFIGURATION
from tests.loopback import free_ports, own_host
from tests.soak.audit import PROMISES, Audit, AuditedEndpoint, expected_body
from tests.soak.proxy import FaultInjectingProxy

# Repository whose gateway the processes of a run execute.
ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
ZONES = ("z0", "z1")
KEYS = (1, 9000, 20_000, 33_000, 50_000, 65_535)
BUSY_KEY_SHARE = 0.3  # Share of the requests that are for one key.
SLOTS = 6  # Of each endpoint.
SETTLE_SECONDS = 45.0  # Long, because test hosts can be slow.
DEADLINE_SECONDS = 1.5


def _route(
    name: str, prefix: str, kind: str, service: str, timeout_seconds: float
) -> dict[str, object]:
    return {
        "name": name,
        "pathPrefix": prefix,
        "routeType": kind,
        "timeoutS": timeout_seconds,
        "targetLatencyS": 0.5,
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
    }


def configuration(
    version: int, timeout_seconds: float = DEADLINE_SECONDS
) -> dict[str, object]:
    """Return a version of the configuration, with a route named after the version."""
    services = [
        {**CONFIGURATION["services"][0], "name": "keyed"},
        {**CONFIGURATION["services"][1], "name": "plain"},
    ]
    paths = [
        _route(*route, timeout_seconds)
        for route in (
            ("lookup", "/x/", "safe", "keyed"),
            ("order", "/y/", "unsafe", "plain"),
            ("keyed-order", "/z/", "unsafe", "keyed"),
            (f"v{version}", f"/v{version}/", "safe", "plain"),
        )
    ]
    hosts = [{"host": "shop.example", "paths": paths}]
    return {
        **CONFIGURATION,
        "version": version,
        "services": services,
        "hosts": hosts,
    }


class GatewayProcess:
    """One instance, whose process can be ended and started again."""

    def __init__(
        self,
        number: int,
        directory: pathlib.Path,
        store_port: int,
        product: pathlib.Path,
        on_signal: Callable[[str], None],
    ) -> None:
        self._product = product
        self._on_signal = on_signal
        self.name = f"n{number}"
        self.zone = ZONES[number % len(ZONES)]
        # All instances use the same metrics port, so each instance of each test process
        # needs a loopback address of its own.
        self.host = own_host(number + 1)
        self.caller_port, self.readiness_port, peer_port = free_ports(self.host, 3)
        self._log = directory / f"{self.name}.log"
        self._settings = directory / f"{self.name}.toml"
        self._settings.write_text(
            SETTINGS.format(
                name=self.name,
                host=self.host,
                zone=self.zone,
                front=self.caller_port,
                ready=self.readiness_port,
                peer=peer_port,
                store_host=own_host(),
                store=store_port,
            )
        )
        self.process: subprocess.Popen[bytes] | None = None
        self.paused = False

    def start(self) -> None:
        """Start the process."""
        with self._log.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "arbutusflow", "gateway"],
                cwd=self._product,
                env={**os.environ, SETTINGS_VARIABLE: str(self._settings)},
                stdout=log,
                stderr=log,
            )

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        self._on_signal(self.name)
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    async def end(self, number: int) -> None:
        """Send a signal and wait until the process has ended; kill it after 7 s."""
        self.signal(signal.SIGCONT)
        self.signal(number)
        process = self.process
        for _ in range(70):
            if process is None or process.poll() is not None:
                return
            await asyncio.sleep(0.1)
        process.kill()
        process.wait()

    @property
    def address(self) -> Address:
        """Address to which callers connect."""
        return Address(self.host, self.caller_port)


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
        self.store = ObjectStore()
        self.version = 1
        self.timeout_seconds = DEADLINE_SECONDS  # Of all routes.
        self._directory = directory
        self._instance_count = instances
        self.gateways: list[GatewayProcess] = []
        self.store_proxies: list[FaultInjectingProxy] = []
        self.proxies: dict[str, FaultInjectingProxy] = {}  # By endpoint.
        self.endpoints: dict[str, AuditedEndpoint] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.answer_counts: dict[int, int] = {}
        self.callers_active = True
        self._last_number = 0  # Of endpoints and requests.

    # Lifecycle.

    async def start(self) -> None:
        """Start all parts, and wait until each instance serves all keys."""
        await self.store.server.start(own_host(), 0)
        store_port = self.store.server.port
        cfg = configuration(self.version, self.timeout_seconds)
        self.store.put("config", "main", cfg)
        for service, count in (("keyed", 5), ("plain", 3)):
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
            )
            gateway.start()
            self.gateways.append(gateway)
        await self.settle()

    async def close(self) -> None:
        """Stop everything that this run started."""
        self.callers_active = False
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for gateway in self.gateways:
            await gateway.end(signal.SIGKILL)
        for proxy in (*self.store_proxies, *self.proxies.values()):
            proxy.close()
        for endpoint in self.endpoints.values():
            endpoint.server.stop_accepting()
        self.store.server.stop_accepting()

    def spawn(self, work: "asyncio.coroutines.Coroutine[object, object, None]") -> None:
        """Run a coroutine in the background; an error of it counts as a violation."""
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self._task_done)

    def _task_done(self, task: "asyncio.Task[None]") -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.audit.record_violation(f"background task failed: {task.exception()!r}")

    def _record_signal(self, instance: str) -> None:
        self.audit.statements.record_disturbance(instance, time.monotonic())

    # Endpoints.

    async def add_endpoint(self, service: str) -> AuditedEndpoint:
        """Start an endpoint and register it."""
        self._last_number += 1
        name = f"e{self._last_number}"
        endpoint = AuditedEndpoint(name, service, self.audit)
        endpoint.work_seconds = self.rng.uniform(0.01, 0.08)
        endpoint.slots = SLOTS
        await endpoint.server.start(own_host(), 0)
        proxy = FaultInjectingProxy(
            endpoint.server.port, own_host(), self._record_response_fault
        )
        await proxy.start()
        self.endpoints[name], self.proxies[name] = endpoint, proxy
        self.register(endpoint, "ready")
        return endpoint

    def _record_response_fault(self, fault: str, response: bytes) -> None:
        found = re.search(rb"\r\n%b: *(\w+)" % wire.REQUEST_ID, response, re.IGNORECASE)
        if found is not None:
            status = response[9:12].decode("latin-1")
            self.audit.record_event(found[1], f"response {status} {fault}")

    def register(self, endpoint: AuditedEndpoint, state: str) -> None:
        """Write the object that registers an endpoint with the platform."""
        zone = ZONES[int(endpoint.name[1:]) % len(ZONES)]
        info = {
            "service": endpoint.service,
            "version": "v",
            "zone": zone,
            "slots": endpoint.slots,
        }
        status = {"state": state, "seq": 1, "coldLeftS": 0}
        address = f"{own_host()}:{self.proxies[endpoint.name].port}"
        endpoint.leaving = state == "draining"
        born = endpoint.started_ms
        entry = {"address": address, "info": info, "status": status, "born": born}
        self.store.put("servers", endpoint.name, entry)

    def crash_endpoint(self, name: str) -> None:
        """Stop an endpoint without draining it, and remove its object."""
        endpoint = self.endpoints.pop(name)
        endpoint.alive = False
        self.proxies.pop(name).close()
        endpoint.server.stop_accepting()
        self.store.remove("servers", name)

    async def restart_endpoint(self, name: str, register_after: float) -> None:
        """Replace the process of an endpoint under its identifier and address."""
        earlier = self.endpoints[name]
        earlier.alive = False
        earlier.server.stop_accepting()
        endpoint = AuditedEndpoint(name, earlier.service, self.audit)
        endpoint.started_ms = earlier.started_ms + 1000
        endpoint.work_seconds = earlier.work_seconds
        endpoint.slots = earlier.slots
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

    # Callers.

    async def send_request(
        self, gateway: GatewayProcess, conn: ClientConnection
    ) -> None:
        """Send one random request on an open connection and check its answer."""
        self._last_number += 1
        request_id = b"r%d" % self._last_number
        is_order = self.rng.random() < 0.4
        method, target = b"GET", b"/x/1"
        if is_order:
            method, target = b"POST", self.rng.choice((b"/y/1", b"/z/1"))
        body = request_id if is_order else b""
        head = b"%b %b HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: %b\r\n" % (
            method,
            target,
            request_id,
        )
        head += b"Deadline-Ms: %d\r\nShard-Key: %d\r\nContent-Length: %d\r\n\r\n" % (
            DEADLINE_SECONDS * 1000,
            self._choose_key(),
            len(body),
        )
        statements = self.audit.statements
        statements.record_sent(request_id, gateway.name, time.monotonic())
        answer = await conn.exchange(head, body, DEADLINE_SECONDS + 1.0)
        if answer.header(wire.SIGNATURE) is not None:
            statements.record_answer(request_id, time.monotonic())
        self.check_answer(answer.status, answer.body, request_id, method, target, body)

    def _choose_key(self) -> int:
        if self.rng.random() < BUSY_KEY_SHARE:
            return self.busy_key
        return self.rng.choice(KEYS)

    def check_answer(
        self,
        status: int,
        answer: bytes,
        request_id: bytes,
        method: bytes,
        target: bytes,
        body: bytes,
    ) -> None:
        """Check the status and body that a caller got for a request."""
        self.answer_counts[status] = self.answer_counts.get(status, 0) + 1
        self.audit.record_event(request_id, f"its caller gets {status}")
        if status == 200 and answer != expected_body(method, target, body):
            self.audit.record_violation(
                f"request {request_id.decode()} got the answer of another request"
            )
        if status in PROMISES and method == b"POST":
            self.audit.refused.add(request_id)
        if status in (404, 400):
            self.audit.record_violation(
                f"a valid request was answered with status {status}"
            )

    async def send_requests(self) -> None:
        """Send requests to random instances until the callers are stopped.

        Each connection is used for several requests, unless the instance closes it.
        """
        while self.callers_active:
            gateway = self.rng.choice(self.gateways)
            try:
                conn = await ClientConnection.open(gateway.address, 0.5)
            except ExchangeError:
                await asyncio.sleep(0.1)
                continue
            with contextlib.suppress(ExchangeError):
                while self.callers_active and conn.usable and self.rng.random() > 0.03:
                    await self.send_request(gateway, conn)
                    await asyncio.sleep(self.rng.uniform(0.0, 0.05))
            conn.close()

    async def settle(self) -> None:
        """Wait until each instance serves each key; record a violation on time-out."""
        until = time.monotonic() + SETTLE_SECONDS
        for gateway in self.gateways:
            for key in KEYS:
                while not await self._is_served(gateway, key):
                    if time.monotonic() > until:
                        self.audit.record_violation(
                            f"{gateway.name} does not serve key {key}"
                        )
                        return
                    await asyncio.sleep(0.1)

    async def _is_served(self, gateway: GatewayProcess, key: int) -> bool:
        self._last_number += 1
        head = (
            b"GET /x/probe HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: r%d\r\n"
            b"Deadline-Ms: 1500\r\nShard-Key: %d\r\n\r\n" % (self._last_number, key)
        )
        with contextlib.suppress(ExchangeError):
            conn = await ClientConnection.open(gateway.address, 1.0)
            try:
                return (await conn.exchange(head, b"", 2.5)).status == 200
            finally:
                conn.close()
        return False
