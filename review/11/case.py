"""Case 11: two processes are killed, and the others send to a backend that leaves."""

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
DRAIN_SECONDS = 2.0  # `drainS`.
LONGER_SECONDS = 0.4  # For which a backend serves beyond that.
STABLE_WINDOW_SECONDS = 3.0  # `stableWindowS`.
RESTART_SECONDS = 2.0  # For which the machines of killed processes have no power.
BURST_AT_SECONDS = (2.03, 2.08, 2.13, 2.18, 2.23)  # After the acknowledgement.
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
                work_seconds=0.29,
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
        self.host = network.host
        self.late: list[str] = []
        self.statuses: dict[str, str] = {}

    def spawn(self, coroutine: "asyncio._CoroutineLike[None]") -> None:
        """Run a coroutine until the end of the case."""
        self.tasks.append(asyncio.ensure_future(coroutine))

    async def start(self) -> bool:
        """Start everything; return whether the gateways are ready."""
        await self.store.server.start()
        self.store.put("config", "main", configuration(3, list(SERVICES), ""))
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

    async def request(self, gateway: Gateway, request_id: str) -> None:
        """Send one request and note its status."""
        headers = {
            "Host": "host1.example",
            "Request-Id": request_id,
            "Deadline-Ms": "3000",
        }
        target = f"/{SERVICES[0]}/x"
        try:
            reply = await send(gateway.host, FRONT_PORT, "POST", target, headers)
            self.statuses[request_id] = str(reply.status)
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as exc:
            self.statuses[request_id] = type(exc).__name__

    async def drain(self, number: int) -> None:
        """Let a backend drain and leave, and send requests when it has to get none."""
        backend = self.backends[6]
        backend.state = "draining"
        self.store.beat(backend.name, backend.entry())
        acknowledged = time.monotonic()
        self.record.write(f"it is acknowledged that {backend.name} drains")
        gateways = [g for g in self.gateways if g not in self.victims()]
        for burst, seconds in enumerate(BURST_AT_SECONDS):
            await asyncio.sleep(acknowledged + seconds - time.monotonic())
            for gateway in gateways:
                name = f"{gateway.name}-{number}-{burst}"
                self.spawn(self.request(gateway, name))
        until = acknowledged + DRAIN_SECONDS + LONGER_SECONDS
        await asyncio.sleep(until - time.monotonic())
        backend.isolated = True
        backend.server.cut()
        self.store.remove("servers", backend.name)
        self.record.write(f"{backend.name} has left")
        await asyncio.sleep(3.0)
        for run in backend.runs:
            if run.at > acknowledged + DRAIN_SECONDS:
                self.late.append(run.request_id)
                self.record.write(
                    f"{run.request_id} reached {backend.name}"
                    f" {run.at - acknowledged:.2f} s after the acknowledgement;"
                    f" its client got {self.statuses.get(run.request_id)}"
                )
        self.backends[6] = Backend(
            f"i-new{number}",
            SERVICES[0],
            ZONES[3],
            self.host(120 + number),
            self.store,
            self.record,
            sharded=False,
            work_seconds=0.29,
        )
        await self.backends[6].start()
        self.spawn(self.backends[6].beat())

    async def run(self) -> int:
        """Run the case; return the exit status."""
        if not await self.start():
            self.record.write("the gateways did not get ready")
            return 2
        await asyncio.sleep(18)
        victims = self.victims()
        for number in range(ROUNDS):
            if self.trouble:
                for gateway in victims:
                    gateway.signal(signal.SIGKILL)
                    self.record.write(f"{gateway.name} is killed")
            self.spawn(self.drain(number))
            await asyncio.sleep(RESTART_SECONDS)
            if self.trouble:
                for gateway in victims:
                    gateway.kill()
                    gateway.start()
                    self.record.write(f"{gateway.name} is started")
            await asyncio.sleep(ROUND_SECONDS - RESTART_SECONDS)
        self.record.write(f"requests that reached a backend too late: {len(self.late)}")
        if self.late:
            self.record.write("DRAIN broken")
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
