"""Runs gateway processes on loopback addresses of their own.

Invariant: only processes that were started here are ended, each by its handle, and all
are ended when the context closes, however it closes.
"""

import contextlib
import dataclasses
import os
import pathlib
import signal
import socket
import subprocess
import sys
from collections.abc import Iterator, Sequence

from arbutusflow.gateway.model import Address, GatewaySettings
from arbutusflow.platform.other_side import encode_settings
from arbutusflow.platform.settings import METRICS_PORT, SETTINGS_VARIABLE

CALLER_PORT, READINESS_PORT, PEER_PORT = 8080, 8081, 8082
STORE_PORT, ENDPOINT_PORT = 8500, 8600
STORE_NUMBER, FIRST_ENDPOINT_NUMBER = 100, 101  # Last parts of addresses.
STOP_SECONDS = 6.0  # Between SIGTERM and SIGKILL of a planned stop.


class AddressInUseError(Exception):
    """An address that the demo needs belongs to another program."""


@dataclasses.dataclass(frozen=True, slots=True)
class Network:
    """Loopback addresses of one run, which share their first three numbers."""

    prefix: str

    @classmethod
    def of_process(cls, pid: int) -> "Network":
        """Return addresses that hardly any other process has.

        Processes whose identifiers differ by less than 50 000 get different ones.
        """
        return cls(f"127.{pid // 250 % 200 + 1}.{pid % 250}")

    @classmethod
    def parse(cls, text: str) -> "Network":
        """Parse `127.X.Y`. Raises ValueError."""
        parts = text.split(".")
        numbers = [int(part) for part in parts if part.isdecimal() and len(part) < 4]
        if len(parts) != 3 or len(numbers) != 3 or max(numbers) > 255:
            raise ValueError(f"{text!r} is not of the form 127.X.Y")
        if numbers[0] != 127:
            raise ValueError(f"{text!r} is no loopback network: it must begin with 127")
        return cls(".".join(str(number) for number in numbers))

    def host(self, number: int) -> str:
        """Return one address."""
        return f"{self.prefix}.{number}"

    @property
    def store(self) -> Address:
        """Address of the store."""
        return Address(self.host(STORE_NUMBER), STORE_PORT)

    def endpoint(self, number: int) -> Address:
        """Return the address of an endpoint, counted from 0."""
        return Address(self.host(FIRST_ENDPOINT_NUMBER + number), ENDPOINT_PORT)

    def check_free(self, instances: int, endpoints: int) -> None:
        """Raise AddressInUseError unless all addresses of a run can be used."""
        needed = [self.store, *(self.endpoint(i) for i in range(endpoints))]
        for number in range(instances):
            ports = (CALLER_PORT, READINESS_PORT, PEER_PORT, METRICS_PORT)
            needed += [Address(self.host(number + 1), port) for port in ports]
        for address in needed:
            _check_free(address)


def _check_free(address: Address) -> None:
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind((address.host, address.port))
            sock.listen()
        except OSError as exc:
            raise AddressInUseError(
                f"the address {address.host}:{address.port} cannot be used:"
                f" {exc.strerror}"
            ) from exc


class GatewayInstance:
    """One instance, whose process can be ended and started again."""

    def __init__(
        self, number: int, zone: str, network: Network, directory: pathlib.Path
    ) -> None:
        self.name = f"instance-{number + 1}"
        host = network.host(number + 1)
        self.settings = GatewaySettings(
            instance=self.name,
            zone=zone,
            caller_address=Address(host, CALLER_PORT),
            readiness_address=Address(host, READINESS_PORT),
            metrics_port=METRICS_PORT,
            peer_port=PEER_PORT,
            peer_host=host,
            store_address=network.store,
            seeds=(),
            memory_bytes=300_000_000,
            stop_seconds=STOP_SECONDS,
            drain_seconds=2.0,
            max_lease_seconds=10.0,
            retry_ratio=0.2,
            retry_window_seconds=10.0,
            retry_slack=60.0,
        )
        self.log_path = directory / f"{self.name}.log"
        self._settings_path = directory / f"{self.name}.toml"
        self._settings_path.write_text(encode_settings(self.settings))
        self._process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process, whose output is appended to its log."""
        with self.log_path.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "arbutusflow", "gateway"],
                env={**os.environ, SETTINGS_VARIABLE: str(self._settings_path)},
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                # An interrupt of the terminal goes to the demo only, which ends it.
                start_new_session=True,
            )

    @property
    def exit_status(self) -> int | None:
        """Exit status of the process; None while it runs, or if it never ran."""
        return None if self._process is None else self._process.poll()

    @property
    def running(self) -> bool:
        """Whether the process runs."""
        return self._process is not None and self._process.poll() is None

    @property
    def pid(self) -> int | None:
        """Identifier of the process; None before it was started."""
        return None if self._process is None else self._process.pid

    def stop(self) -> None:
        """Begin a planned stop."""
        if self._process is not None and self.running:
            self._process.send_signal(signal.SIGTERM)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self._process is not None and self.running:
            self._process.kill()
            self._process.wait()

    def last_line(self) -> str:
        """Return the last line of its log, for error messages."""
        lines = self.log_path.read_text(errors="replace").splitlines()
        return lines[-1] if lines else "its log is empty"


@contextlib.contextmanager
def running_instances(
    zones: Sequence[str], network: Network, directory: pathlib.Path
) -> Iterator[list[GatewayInstance]]:
    """Run one instance for each entry of `zones` while the context is open."""
    instances = [
        GatewayInstance(number, zone, network, directory)
        for number, zone in enumerate(zones)
    ]
    try:
        for instance in instances:
            instance.start()
        yield instances
    finally:
        for instance in instances:
            instance.kill()
