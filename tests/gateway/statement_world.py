"""Instances, endpoints and the store in one process, in virtual time.

The instances are those of `statement_instance`; endpoints are reached without sockets.
What reaches an endpoint is checked by the audit of the soak test.
"""

import asyncio
import contextlib
import dataclasses

from arbutusflow.gateway.callers.messages import CallerRequest
from arbutusflow.gateway.model import Address, ExchangeError, HttpResponse
from arbutusflow.platform import wire
from tests.gateway.statement_instance import Entry, StatementInstance, configuration
from tests.soak.statements import StatementAudit

LINK_SECONDS = 0.002  # One way between an instance and an endpoint.
CONNECT_SECONDS = 0.001
WORK_SECONDS = 0.02
TICK_SECONDS = 0.05


@dataclasses.dataclass(eq=False)
class EndpointProcess:
    """A process of an endpoint."""

    name: str
    address: Address
    started_ms: int
    service: str
    running: bool = True
    leaving: bool = False
    wait_until: float = -1e9
    work_seconds: float = WORK_SECONDS
    arrivals: int = 0
    cold_ms: bytes | None = None  # In answers to health checks.

    @property
    def id(self):
        return f"{self.name}/{self.started_ms}"

    def entry(self, state="ready"):
        return Entry(self.name, self.address, self.started_ms, self.service, state)


class _Connection:
    """Connection of an instance to the process that had the address when it opened."""

    def __init__(self, world, member, process):
        self._world, self._member, self._process = world, member, process

    async def exchange(self, head, body, timeout, request_id=None, head_only=False):
        try:
            async with asyncio.timeout(timeout):
                response = await self._exchange(head, request_id)
        except TimeoutError as exc:
            raise ExchangeError("no response in time", sent=True) from exc
        return response

    async def _exchange(self, head, request_id):
        await asyncio.sleep(LINK_SECONDS)
        headers = [(wire.REQUEST_ID, request_id)]
        status = await self._answer(head, request_id, headers)
        await asyncio.sleep(LINK_SECONDS)
        await self._member.thawed.wait()
        return HttpResponse(status, b"", tuple(headers), b"", reusable=True)

    async def _answer(self, head, request_id, headers):
        process, now = self._process, asyncio.get_running_loop().time
        self._check_alive()
        expected = wire.EXPECTED_ENDPOINT + b": " + process.name.encode()
        if expected not in head.split(b"\r\n"):
            headers.append((wire.ENDPOINT_ID, process.name.encode()))
            return 421
        if head.startswith(b"GET /health "):
            # A health check of the instance, which both rules allow.
            if process.leaving:
                headers.append((wire.LEAVING, b"1"))
            if process.cold_ms is not None:
                headers.append((wire.COLD_LEFT, process.cold_ms))
            return 200
        process.arrivals += 1
        self._world.audit.check_arrival(request_id, process.id, now())
        wait = process.wait_until - now()
        if wait > 0:
            headers += [(wire.NOT_RUN, b"1"), (wire.RETRY_AFTER, b"%.3f" % wait)]
            self._world.audit.record_wait(
                request_id, process.id, now(), process.wait_until
            )
        else:
            await asyncio.sleep(process.work_seconds)
            self._check_alive()
            headers.append((wire.SIGNATURE, b"s"))
        if process.leaving:
            headers.append((wire.LEAVING, b"1"))
            self._world.audit.record_leaving(request_id, process.id)
        return 503 if wait > 0 else 200

    def _check_alive(self):
        if not self._process.running or not self._member.running:
            raise ExchangeError("connection lost", sent=True)


class _Pool:
    """Connections of one instance; like the real pool, it connects to addresses."""

    def __init__(self, world, member):
        self._world, self._member = world, member

    @contextlib.asynccontextmanager
    async def connection(self, address, **options):
        await asyncio.sleep(CONNECT_SECONDS)
        process = self._world.at.get(address)
        if process is None or not process.running:
            raise ExchangeError("cannot connect", sent=False)
        yield _Connection(self._world, self._member, process)

    def close_idle(self, address):
        pass


class Member:
    """An instance, and whether it runs, is frozen and reads what the store holds."""

    def __init__(self, world, name, seed):
        self.inst = StatementInstance(name, seed)
        gateway, pool = self.inst.gateway, _Pool(world, self)
        gateway.dispatcher._pool = gateway.leaving_checks._pool = pool
        self.running = True
        self.reads_store = True
        self.thawed = asyncio.Event()
        self.thawed.set()


class StatementWorld:
    """All instances, endpoints, entries of the store, and the rules that broke."""

    def __init__(self, instances):
        self.violations = []
        self.audit = StatementAudit(
            lambda text, rule, request_id: self.violations.append(text), lambda: -1e9
        )
        self.at = {}  # Process that has an address.
        self.processes = {}  # Latest process of each identifier.
        self.entries = {}  # What the store says.
        self.version = 7
        self.tasks = set()
        self._requests = 0
        self._started_ms = 1000
        self.members = {
            name: Member(self, name, number) for number, name in enumerate(instances)
        }
        self._seed = len(self.members)

    @property
    def now(self):
        return asyncio.get_running_loop().time()

    async def run(self, seconds):
        """Let time pass."""
        end = self.now + seconds
        while self.now < end:
            await asyncio.sleep(min(TICK_SECONDS, max(end - self.now, 1e-4)))
            for member in self.members.values():
                if member.thawed.is_set():
                    member.inst.tick()

    # Instances.

    def send(self, name, path, key_owner=None):
        """Let a caller send a request to an instance."""
        self._requests += 1
        request_id = b"r%d" % self._requests
        task = asyncio.ensure_future(
            self._serve(self.members[name], path, request_id, key_owner)
        )
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def _serve(self, member, path, request_id, key_owner):
        self.audit.record_sent(request_id, member.inst.name, self.now)
        await member.thawed.wait()
        if not member.running:
            return None
        member.inst.keys.owner = key_owner or member.inst.keys.owner
        headers = [
            (b"host", b"shop.example"),
            (wire.REQUEST_ID, request_id),
            (wire.DEADLINE, b"3000"),
            (wire.KEY, b"7"),
        ]
        req = CallerRequest(b"POST", path, headers, b"", self.now)
        reply = await member.inst.gateway.dispatcher.handle(req)
        if member.running and reply.status < 500:
            self.audit.record_answer(request_id, self.now)
        return reply.status

    def freeze(self, name):
        self.audit.record_disturbance(name, self.now)
        self.members[name].thawed.clear()

    def thaw(self, name):
        if not self.members[name].thawed.is_set():
            self.audit.record_disturbance(name, self.now)
            self.members[name].thawed.set()
            self._read(self.members[name])

    def restart(self, name):
        """Replace an instance by one that knows nothing of before."""
        self.audit.record_disturbance(name, self.now)
        self.members[name].running = False
        self.members[name].thawed.set()
        self._seed += 1
        member = self.members[name] = Member(self, name, self._seed)
        member.inst.configure(configuration(self.version))
        self._read(member, starts=True)

    def report(self, sender, receiver):
        """Let an instance tell another one which endpoints leave."""
        one, other = self.members[sender], self.members[receiver]
        if one.thawed.is_set() and other.thawed.is_set():
            leaving = one.inst.gateway.leaving_endpoints()
            other.inst.gateway._learn_leaving(leaving)

    def configure(self, max_attempts):
        self.version += 1
        for member in self.members.values():
            member.inst.configure(
                configuration(self.version, max_attempts=max_attempts)
            )

    # The store.

    def set_reading(self, name, reads_store):
        """Let an instance read the store, or keep what it has read."""
        self.members[name].reads_store = reads_store
        self._read(self.members[name])

    def publish(self, name, state="ready"):
        """Write the entry of an endpoint's process."""
        self.entries[name] = self.processes[name].entry(state)
        self.read_all()

    def unlist(self, name):
        self.entries.pop(name, None)
        self.read_all()

    def read_all(self):
        for member in self.members.values():
            self._read(member)

    def _read(self, member, *, starts=False):
        if member.thawed.is_set() and (member.reads_store or starts):
            member.inst.list(self.entries.values())

    # Endpoints.

    def start_endpoint(self, name, address, service):
        """Start a process, in the place of what had the identifier and the address."""
        self._started_ms += 1000
        for earlier in (self.processes.get(name), self.at.get(address)):
            if earlier is not None:
                earlier.running = False
        process = EndpointProcess(name, address, self._started_ms, service)
        self.processes[name] = self.at[address] = process
        return process

    def close(self):
        for task in self.tasks:
            task.cancel()
