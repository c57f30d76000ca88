"""One real process of the product, its store and endpoints, and what it takes.

The process measures its own memory, and only its settings limit it. The test raises no
limit of its own: a crowd is smaller where the system allows fewer descriptors.
"""

import asyncio
import contextlib
import dataclasses
import logging
import os
import pathlib
import time

from tests.gateway.object_platform import ObjectStore
from tests.gateway.statement_instance import configuration
from tests.hostile.crowd import Crowd
from tests.loopback import own_host
from tests.soak.gateway_process import GatewayProcess, ProcessLimits
from tests.soak.sized_endpoint import SizedEndpoint
from tests.soak.world import ROOT

ENDPOINTS = 4
MAX_FDS = 1638  # Of the smallest instances.
# These only turn a hang into a failure.
START_SECONDS = 30.0
ANSWER_SECONDS = 60.0
ATTEMPT_SECONDS = 10.0
ORDINARY = (
    b"GET /safe/100/10 HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: ordinary-%d\r\n"
    b"Deadline-Ms: 10000\r\n\r\n"
)

log = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True)
class Limits:
    """Limits of the settings and of the configuration during one test."""

    memory_mb: int = 100
    body_bytes: int = 4_000_000
    # By default no hostile connection ends by a timeout before the crowd is complete,
    # however slow the machine is.
    header_seconds: float = 60.0
    idle_seconds: float = 60.0

    def configuration(self) -> dict[str, object]:
        """Return the configuration that the store holds."""
        document = configuration()
        limits = {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": self.body_bytes,
            "headerTimeoutS": self.header_seconds,
            "idleTimeoutS": self.idle_seconds,
        }
        return {**document, "limits": limits}


@dataclasses.dataclass(frozen=True)
class Seen:
    """What a test saw of the process."""

    alive: bool
    peak_mb: float
    descriptors: int
    answered: bool

    def faults(self, limits: Limits) -> list[str]:
        """Return what does not hold."""
        faults = []
        if not self.alive:
            faults.append("the process ended")
        if self.peak_mb > limits.memory_mb:
            faults.append(f"peak of {self.peak_mb:.0f} MB")
        if self.descriptors > MAX_FDS:
            faults.append(f"{self.descriptors} descriptors")
        if not self.answered:
            faults.append("no answer to an ordinary request")
        return faults


class HostileWorld:
    """Store, endpoints and one process, which is never restarted."""

    def __init__(self, directory: pathlib.Path, limits: Limits) -> None:
        self._store = ObjectStore()
        self._endpoints = [
            SizedEndpoint(f"e{n}", partitioned=False) for n in range(ENDPOINTS)
        ]
        self._directory = directory
        self._limits = limits
        self._gateway: GatewayProcess | None = None
        self._descriptors = 0
        self._requests = 0

    @property
    def gateway(self) -> GatewayProcess:
        """The process."""
        assert self._gateway is not None
        return self._gateway

    async def start(self) -> None:
        """Start everything and wait until a caller is served."""
        host = own_host()
        await self._store.server.start(host, 0)
        self._store.put("config", "main", self._limits.configuration())
        for endpoint in self._endpoints:
            await endpoint.start(host, self._store)
        self._gateway = gateway = GatewayProcess(
            0,
            self._directory,
            self._store.server.port,
            ROOT,
            lambda name, number: None,
            limits=ProcessLimits(memory_mb=self._limits.memory_mb),
        )
        memory = f"memoryMb = {self._limits.memory_mb}"
        gateway.write_settings(
            gateway.settings.replace(memory, f"{memory}\nmaxFds = {MAX_FDS}")
        )
        gateway.start()
        assert await self.is_served(START_SECONDS)

    def close(self) -> None:
        """End the process."""
        if self._gateway is not None:
            self._gateway.kill()

    async def is_served(self, seconds: float) -> bool:
        """Return whether an ordinary request is answered 200 within so many seconds."""
        until = time.monotonic() + seconds
        while time.monotonic() < until and self.gateway.running:
            with contextlib.suppress(
                OSError, TimeoutError, asyncio.IncompleteReadError
            ):
                async with asyncio.timeout(ATTEMPT_SECONDS):
                    if await self._ask() == 200:
                        return True
            await asyncio.sleep(0.1)
        return False

    async def _ask(self) -> int:
        """Send one ordinary request on a connection of its own; return the status."""
        address = self.gateway.address
        self._requests += 1
        reader, writer = await asyncio.open_connection(address.host, address.port)
        try:
            writer.write(ORDINARY % self._requests)
            head = await reader.readuntil(b"\r\n\r\n")
            return int(head[9:12])
        finally:
            writer.transport.abort()

    def _proc(self, name: str) -> pathlib.Path:
        assert self.gateway.process is not None
        return pathlib.Path(f"/proc/{self.gateway.process.pid}/{name}")

    async def _count_descriptors(self) -> None:
        with contextlib.suppress(FileNotFoundError):  # The process has ended.
            while self.gateway.running:
                count = len(os.listdir(self._proc("fd")))
                self._descriptors = max(self._descriptors, count)
                await asyncio.sleep(0.1)

    def peak_mb(self) -> float:
        """Return the largest size of the process in memory so far."""
        text = self._proc("status").read_text()
        return int(text.split("VmHWM:")[1].split()[0]) * 1024 / 1e6

    async def observe(self, crowd: Crowd) -> Seen:
        """Let the crowd act, and send an ordinary request while it is still there."""
        idle_mb = self.peak_mb()
        counting = asyncio.create_task(self._count_descriptors())
        await crowd.act()
        answered = await self.is_served(ANSWER_SECONDS)
        counting.cancel()
        alive = self.gateway.running
        seen = Seen(
            alive, self.peak_mb() if alive else 0.0, self._descriptors, answered
        )
        log.info("%s, idle %.0f MB, %s", seen, idle_mb, crowd)
        return seen


def play(directory: pathlib.Path, crowd: Crowd, limits: Limits) -> list[str]:
    """Return what did not hold of a process that met a crowd."""

    async def main() -> list[str]:
        world = HostileWorld(directory, limits)
        try:
            await world.start()
            crowd.address = world.gateway.address
            return (await world.observe(crowd)).faults(limits)
        finally:
            crowd.close()
            world.close()

    return asyncio.run(main())
