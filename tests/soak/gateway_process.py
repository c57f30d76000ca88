"""One instance of a run: its settings file, its process, and the signals to it.

A run ends only processes that it has started, each by its own handle.
"""

import asyncio
import dataclasses
import os
import pathlib
import resource
import signal
import subprocess
import sys
import time
from collections.abc import Callable

from arbutusflow.gateway.model import Address
from arbutusflow.platform.settings import SETTINGS_VARIABLE
from tests.gateway.object_platform import SETTINGS
from tests.loopback import free_ports, own_host

ZONES = ("z0", "z1")
GRACE_SECONDS = 6.0  # `graceS` of the settings; SIGKILL follows then.


@dataclasses.dataclass(frozen=True)
class ProcessLimits:
    """What the processes of a run may use; None for no limit."""

    max_fds: int | None = None
    core: int | None = None  # The only core on which they run.
    memory_mb: int | None = None  # `memoryMb` of the settings.

    def apply(self) -> None:
        """Limit the calling process, which has just been started."""
        if self.max_fds is not None:
            limits = (self.max_fds, self.max_fds)
            resource.setrlimit(resource.RLIMIT_NOFILE, limits)
        if self.core is not None:
            os.sched_setaffinity(0, {self.core})


class GatewayProcess:
    """One instance, whose process can be ended and started again."""

    def __init__(
        self,
        number: int,
        directory: pathlib.Path,
        store_port: int,
        product: pathlib.Path,
        on_signal: Callable[[str, int], None],
        first_zone: int | None = None,
        limits: ProcessLimits | None = None,
    ) -> None:
        """Write the settings; `first_zone` is how many instances are in that zone."""
        self._product = product
        self._limits = limits = limits or ProcessLimits()
        self._on_signal = on_signal
        self.name = f"n{number}"
        self.zone = ZONES[number % len(ZONES)]
        if first_zone is not None:
            self.zone = ZONES[0 if number < first_zone else 1]
        # All instances use the same metrics port, so each instance of each test process
        # needs a loopback address of its own.
        self.host = own_host(number + 1)
        self.caller_port, self.readiness_port, peer_port = free_ports(self.host, 3)
        self.log_path = directory / f"{self.name}.log"
        self._settings_path = directory / f"{self.name}.toml"
        self.settings = SETTINGS.format(
            name=self.name,
            host=self.host,
            zone=self.zone,
            front=self.caller_port,
            ready=self.readiness_port,
            peer=peer_port,
            store_host=own_host(),
            store=store_port,
        )
        if limits.memory_mb is not None:
            self.settings = self.settings.replace(
                "memoryMb = 300", f"memoryMb = {limits.memory_mb}"
            )
        self.write_settings(self.settings)
        # Where they go instead of the log, if set.
        self.stdout_fd: int | None = None
        self.stderr_fd: int | None = None
        self.kills = 0  # How often `end` had to kill the process.
        self.process: subprocess.Popen[bytes] | None = None
        self.started_at = 0.0  # On the clock of the run.

    def write_settings(self, text: str) -> None:
        """Write the settings file."""
        # A process that starts meanwhile must not read a part of it.
        written = self._settings_path.with_suffix(".new")
        written.write_text(text)
        written.replace(self._settings_path)

    def start(self) -> None:
        """Start the process."""
        self._on_signal(self.name, 0)
        self.started_at = time.monotonic()
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "arbutusflow", "gateway"],
                cwd=self._product,
                env={**os.environ, SETTINGS_VARIABLE: str(self._settings_path)},
                stdout=log if self.stdout_fd is None else self.stdout_fd,
                stderr=log if self.stderr_fd is None else self.stderr_fd,
                # An interrupt of the terminal goes to the run only, which ends it.
                start_new_session=True,
                preexec_fn=self._limits.apply,
            )

    @property
    def running(self) -> bool:
        """Whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        self._on_signal(self.name, number)
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end, without giving control away."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    async def end(self, number: int) -> None:
        """Send a signal and wait until the process has ended.

        It is killed after the grace period, as the platform does.
        """
        self.signal(signal.SIGCONT)
        self.signal(number)
        process = self.process
        if process is None:
            return
        until = time.monotonic() + GRACE_SECONDS
        while process.poll() is None:
            remaining = until - time.monotonic()
            if remaining <= 0.0:
                self.kills += 1
                process.kill()
                process.wait()
                return
            await asyncio.sleep(min(remaining, 0.02))

    @property
    def address(self) -> Address:
        """Address to which callers connect."""
        return Address(self.host, self.caller_port)
