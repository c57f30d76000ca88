"""Runs the processes of an example deployment of the earlier path on loopback.

Measurements use it to run real processes. Code that serves requests never starts a
process.
"""

import asyncio
import contextlib
import dataclasses
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
from collections.abc import Iterator
from typing import Self

import msgspec
import yaml

from arbutusflow.adapters.settings import Address, EntrySettings
from arbutusflow.domain.configuration import (
    Configuration,
    Endpoint,
    Patch,
    PutService,
    SetLimits,
)
from arbutusflow.runtime.control import InstanceStatus
from arbutusflow.runtime.curl_loop import CurlError, CurlLoop, CurlRequest, CurlResponse

HOST = "127.0.0.1"
ENTRY_COUNT = 9
START_TIMEOUT_SECONDS = 40.0
STOP_TIMEOUT_SECONDS = 25.0
POLL_INTERVAL_SECONDS = 0.1


class EntryInstance(msgspec.Struct, frozen=True):
    """Name, availability zone and peer address of an entry instance of a fleet."""

    instance: str
    zone: str
    address: Address


class Ports(msgspec.Struct, frozen=True):
    """Ports of the platform stand-in and of the first entry instance.

    Further entry instances use the following ports.
    """

    platform: int
    caller: int
    peer: int
    admin: int

    @classmethod
    def from_offset(cls, offset: int) -> Self:
        """Return the default ports plus `offset`, which lets several fleets coexist."""
        return cls(19_000 + offset, 19_100 + offset, 19_200 + offset, 19_300 + offset)


class Fleet:
    """Processes of one deployment: platform, endpoints and entry instances."""

    def __init__(
        self,
        cfg: Configuration,
        directory: pathlib.Path,
        port_offset: int = 0,
        entries: int = ENTRY_COUNT,
        entry_source: pathlib.Path | None = None,
        entry_profiles: pathlib.Path | None = None,
    ) -> None:
        self._entry_source = entry_source
        self._entry_profiles = entry_profiles
        self.cfg = _with_port_offset(cfg, port_offset)
        self.ports = Ports.from_offset(port_offset)
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self._directory = directory
        zones = sorted(
            {item.zone for service in cfg.services for item in service.endpoints}
        )
        self.entry_instances = tuple(
            EntryInstance(
                f"entry-{number + 1}",
                zones[number % len(zones)],
                Address(HOST, self.ports.peer + number),
            )
            for number in range(entries)
        )

    def start(self, service_ms: float) -> None:
        """Start all processes; endpoints take `service_ms` for each request."""
        self._start_process(
            "platform", "standin", "platform", "--port", str(self.ports.platform)
        )
        for service in self.cfg.services:
            for endpoint in service.endpoints:
                self.start_endpoint(endpoint, service_ms)
        for number in range(len(self.entry_instances)):
            self.start_entry(number)

    def start_endpoint(self, endpoint: Endpoint, service_ms: float) -> None:
        """Start the stand-in of one endpoint."""
        checks_flag = (
            "--checks-tokens" if endpoint.checks_tokens else "--no-checks-tokens"
        )
        self._start_process(
            endpoint.name,
            "standin",
            "endpoint",
            endpoint.name,
            "--port",
            str(endpoint.port),
            "--slots",
            str(endpoint.slots),
            "--service-ms",
            str(service_ms),
            checks_flag,
        )

    def start_entry(self, number: int) -> None:
        """Start entry instance `number`, counted from 0."""
        entry = self.entry_instances[number]
        settings = EntrySettings(
            instance=entry.instance,
            zone=entry.zone,
            caller=Address(HOST, self.ports.caller + number),
            peer=entry.address,
            admin=Address(HOST, self.ports.admin + number),
            platform_url=f"http://{HOST}:{self.ports.platform}",
            seeds=tuple(item.address for item in self.entry_instances),
        )
        path = self._directory / f"{entry.instance}.yaml"
        path.write_text(yaml.safe_dump(msgspec.to_builtins(settings)))
        profiler_arguments: tuple[str, ...] = ()
        if self._entry_profiles is not None:
            profile = self._entry_profiles.resolve() / f"{entry.instance}.prof"
            profiler_arguments = ("-m", "cProfile", "-o", str(profile))
        self._start_process(
            entry.instance,
            "entry",
            str(path.resolve()),
            source=self._entry_source,
            interpreter_arguments=profiler_arguments,
        )

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to one process."""
        self.processes[name].send_signal(number)

    def stop(self) -> None:
        """Stop the entry instances gracefully, then kill what still runs."""
        entries = [entry.instance for entry in self.entry_instances]
        for name in entries:
            self._terminate(name)
        for name in entries:
            self._wait_for_end(name)
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
                process.wait()

    def _start_process(
        self,
        name: str,
        *arguments: str,
        source: pathlib.Path | None = None,
        interpreter_arguments: tuple[str, ...] = (),
    ) -> None:
        command = (*interpreter_arguments, "-m", "arbutusflow", *arguments)
        with open(self._directory / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, *command],
                stdout=log,
                stderr=log,
                # `-m` imports modules from the working directory first.
                cwd=source,
                env={**os.environ, "PYTHONUNBUFFERED": "1"},
            )

    def _terminate(self, name: str) -> None:
        process = self.processes.get(name)
        if process is not None and process.poll() is None:
            process.send_signal(signal.SIGCONT)
            process.terminate()

    def _wait_for_end(self, name: str) -> None:
        process = self.processes.get(name)
        if process is not None:
            with contextlib.suppress(subprocess.TimeoutExpired):  # It is killed then.
                process.wait(STOP_TIMEOUT_SECONDS)


def _with_port_offset(cfg: Configuration, offset: int) -> Configuration:
    services = tuple(
        dataclasses.replace(
            service,
            endpoints=tuple(
                dataclasses.replace(item, port=item.port + offset)
                for item in service.endpoints
            ),
        )
        for service in cfg.services
    )
    return dataclasses.replace(cfg, services=services)


@contextlib.contextmanager
def running_fleet(
    cfg: Configuration,
    service_ms: float,
    logs: pathlib.Path | None = None,
    port_offset: int = 0,
    entries: int = ENTRY_COUNT,
    entry_source: pathlib.Path | None = None,
    entry_profiles: pathlib.Path | None = None,
) -> Iterator[Fleet]:
    """Run a fleet while the context is open, and end all processes when it closes.

    Settings and logs of the processes are kept in the directory `logs`, if given.
    Entry instances run the code in `entry_source`, by default that of the current
    directory, and write cProfile output to the directory `entry_profiles`, if given.
    Entry instances that fail to stop gracefully are not reported.
    """
    with tempfile.TemporaryDirectory(prefix="arbutusflow-") as directory:
        if logs is not None:
            logs.mkdir(parents=True, exist_ok=True)
        fleet = Fleet(
            cfg,
            logs or pathlib.Path(directory),
            port_offset,
            entries,
            entry_source,
            entry_profiles,
        )
        try:
            fleet.start(service_ms)
            yield fleet
        finally:
            fleet.stop()


class FleetClient:
    """HTTP client for the interfaces of a fleet."""

    def __init__(
        self, curl: CurlLoop, ports: Ports, entries: int = ENTRY_COUNT
    ) -> None:
        self._curl = curl
        self._ports = ports
        self._entries = entries

    async def get(self, url: str, timeout_ms: int = 2_000) -> CurlResponse:
        """Send a GET request; raises `CurlError` without a complete response."""
        return await self._curl.perform(CurlRequest("GET", url, timeout_ms=timeout_ms))

    async def post(self, url: str, value: object) -> CurlResponse:
        """Post `value` as JSON; raises `CurlError` without a complete response."""
        body = msgspec.json.encode(value)
        return await self._curl.perform(CurlRequest("POST", url, (), body, 10_000))

    async def status(self, number: int) -> InstanceStatus:
        """Return the status of entry instance `number`."""
        response = await self.get(f"http://{HOST}:{self._ports.admin + number}/status")
        return msgspec.json.decode(response.body, type=InstanceStatus)

    async def create_services(self, cfg: Configuration) -> CurlResponse:
        """Create the services of `cfg` with one patch through the first instance."""
        operations = [*(PutService(service) for service in cfg.services)]
        patch = Patch("create-services", 0, (*operations, SetLimits(cfg.limits)))
        url = f"http://{HOST}:{self._ports.admin}/config/patch"
        return await self.post(url, patch)

    async def wait_until_live(self) -> None:
        """Wait until the platform and every entry instance respond."""
        urls = [f"http://{HOST}:{self._ports.platform}/instances"]
        urls += [
            f"http://{HOST}:{self._ports.admin + i}/health/live"
            for i in range(self._entries)
        ]
        async with asyncio.timeout(START_TIMEOUT_SECONDS):
            for url in urls:
                while not await self._is_healthy(url):
                    await asyncio.sleep(POLL_INTERVAL_SECONDS)

    async def wait_until_served(self, cfg: Configuration) -> None:
        """Wait until each endpoint has an acting coordinator and each unit an owner."""
        expected = {item.name for service in cfg.services for item in service.endpoints}
        async with asyncio.timeout(START_TIMEOUT_SECONDS):
            while True:
                statuses = [
                    await self.status(number) for number in range(self._entries)
                ]
                acting = {
                    item.endpoint
                    for status in statuses
                    for item in status.endpoints
                    if item.acting
                }
                # The key "" counts units without an owner; a service that is not listed
                # yet counts as unowned.
                owned = all(
                    status.units.get(service.name, {"": 1}).get("", 0) == 0
                    for status in statuses
                    for service in cfg.services
                )
                if owned and acting == expected:
                    return
                await asyncio.sleep(POLL_INTERVAL_SECONDS)

    async def _is_healthy(self, url: str) -> bool:
        try:
            return (await self.get(url, 500)).status == 200
        except CurlError:
            return False
