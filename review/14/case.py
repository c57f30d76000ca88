"""Case 14: two processes are killed, and the others apply a configuration too late."""

import asyncio
import os
import pathlib
import signal
import sys
import tempfile
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from stand_ins_3 import (  # noqa: E402
    FRONT_PORT,
    Backend,
    Gateway,
    Network,
    Record,
    Store,
    configuration,
    raise_descriptor_limit,
    send,
)

SERVICES = ("emision", "artes")
ZONES = ("quito-norte", "quito-sur", "guayaquil-centro", "guayaquil-puerto")
COUNTS = (3, 2, 2, 2)  # Of gateways.
REPLICA_LAG_SECONDS = 3.0  # Of serializable reads, in all runs.
CONFIG_APPLY_SECONDS = 2.0  # `configApplyS`.
STABLE_WINDOW_SECONDS = 3.0  # `stableWindowS`.
RESTART_SECONDS = 2.0  # For which the machines of killed processes have no power.
REQUEST_PAUSE_SECONDS = 0.1  # For each gateway.
ROUNDS = 2
ROUND_SECONDS = 25.0


class Case:
    """One run."""

    def __init__(self, directory: pathlib.Path, record: Record) -> None:
        self.record = record
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        network = Network()
        self.store = Store(network.host(100), REPLICA_LAG_SECONDS)
        self.backends = [
            Backend(
                f"i-{number}",
                SERVICES[number % 2],
                ZONES[number // 2],
                network.host(101 + number),
                self.store,
                record,
                sharded=False,
                work_seconds=0.02,
            )
            for number in range(8)
        ]
        names = [
            (zone, n)
            for zone, count in zip(ZONES, COUNTS, strict=True)
            for n in range(count)
        ]
        self.gateways = [
            Gateway(
                f"front-{zone}-{n + 1}",
                zone,
                network.host(number + 1),
                self.store,
                directory,
            )
            for number, (zone, n) in enumerate(names)
        ]
        self.tasks: list[asyncio.Task[None]] = []
        self.killed_at: dict[str, float] = {}
        # Acknowledgements: time, and the service of the route from then on.
        self.acks: list[tuple[float, str]] = []
        self.late: list[str] = []

    def spawn(self, coroutine: "asyncio._CoroutineLike[None]") -> None:
        """Run a coroutine until the end of the case."""
        self.tasks.append(asyncio.ensure_future(coroutine))

    async def start(self) -> bool:
        """Start everything; return whether the gateways are ready."""
        await self.store.server.start()
        self.configure(SERVICES[0])
        for backend in self.backends:
            await backend.start()
            self.spawn(backend.beat())
        self.spawn(self.store.expire())
        for gateway in self.gateways:
            gateway.start()
        for _ in range(400):
            await asyncio.sleep(0.1)
            if all([await gateway.is_ready() for gateway in self.gateways]):
                return True
        return False

    def configure(self, service: str) -> None:
        """Let the store acknowledge a configuration whose route goes to a service."""
        spec = configuration(3 + 2 * len(self.acks), list(SERVICES), "")
        path = spec["hosts"][0]["paths"][0]
        spec["hosts"][0]["paths"] = [{**path, "service": service}]
        self.store.put("config", "main", spec)
        self.acks.append((time.monotonic(), service))
        version = spec["version"]
        self.record.write(
            f"version {version} is acknowledged: the route goes to {service}"
        )

    def victims(self) -> list[Gateway]:
        """Return the two processes, in two zones, that watch the store closely.

        Everybody else learns of changes from them, or from reads that may be old.
        """
        sys.path[:0] = [str(pathlib.Path(__file__).resolve().parents[2])]
        from arbutusflow.gateway.fleet import READER_COUNT, WATCHER_ROLE, rank_hash

        by_rank = sorted(self.gateways, key=lambda g: rank_hash(g.name, WATCHER_ROLE))
        first: dict[str, Gateway] = {}
        for gateway in by_rank:
            first.setdefault(gateway.zone, gateway)
        return list(first.values())[:READER_COUNT]

    async def client(self, gateway: Gateway) -> None:
        """Send requests to one gateway, each on a new connection."""
        number = 0
        while True:
            await asyncio.sleep(REQUEST_PAUSE_SECONDS)
            number += 1
            self.spawn(self.request(gateway, f"{gateway.name}-{number}"))

    async def request(self, gateway: Gateway, request_id: str) -> None:
        """Send one request, and check which service has run it."""
        headers = {
            "Host": "host1.example",
            "Request-Id": request_id,
            "Deadline-Ms": "3000",
        }
        began = time.monotonic()
        target = f"/{SERVICES[0]}/x"
        try:
            reply = await send(gateway.host, FRONT_PORT, "POST", target, headers)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return
        if reply.status != 200:
            return
        at, service = self.acks[-1]
        runs = [r for b in self.backends for r in b.runs if r.request_id == request_id]
        by = {b.service for b in self.backends for r in runs if r.backend == b.name}
        killed = self.killed_at.get(gateway.name, -1e9)
        in_touch = began - killed > STABLE_WINDOW_SECONDS + RESTART_SECONDS + 2.0
        if began - at > CONFIG_APPLY_SECONDS and service not in by and in_touch:
            self.late.append(
                f"{request_id}, sent {began - at:.2f} s after the acknowledgement,"
                f" was run by {', '.join(sorted(by))}"
            )
            self.record.write(self.late[-1])

    async def run(self) -> int:
        """Run the case; return the exit status."""
        if not await self.start():
            self.record.write("the gateways did not get ready")
            return 2
        for gateway in self.gateways:
            self.spawn(self.client(gateway))
        await asyncio.sleep(18)
        victims = self.victims()
        for number in range(ROUNDS):
            if self.trouble:
                for gateway in victims:
                    gateway.signal(signal.SIGKILL)
                    self.killed_at[gateway.name] = time.monotonic()
                    self.record.write(f"{gateway.name} is killed")
            self.configure(SERVICES[(number + 1) % 2])
            await asyncio.sleep(RESTART_SECONDS)
            if self.trouble:
                for gateway in victims:
                    gateway.kill()
                    gateway.start()
                    self.record.write(f"{gateway.name} is started")
            await asyncio.sleep(ROUND_SECONDS - RESTART_SECONDS)
        self.record.write(
            f"requests that were handled by an old version: {len(self.late)}"
        )
        if self.late:
            self.record.write("CONFIG broken")
        return 1 if self.late else 0

    def end(self) -> None:
        """End all processes and tasks."""
        for task in self.tasks:
            task.cancel()
        for gateway in self.gateways:
            gateway.kill()


async def main() -> int:
    """Run the case and return the exit status."""
    raise_descriptor_limit()
    record = Record(pathlib.Path(__file__).with_name("record.txt"))
    with tempfile.TemporaryDirectory() as name:
        case = Case(pathlib.Path(name), record)
        try:
            async with asyncio.timeout(115):
                return await case.run()
        except TimeoutError:
            record.write("the case took too long")
            return 2
        finally:
            case.end()
            if os.environ.get("KEEP_LOGS"):
                for gateway in case.gateways:
                    path = pathlib.Path(os.environ["KEEP_LOGS"], gateway.name + ".log")
                    path.write_text(gateway.log())
            record.close()


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
