"""Case 12: a planned stop loses answers that callers still read while they send on."""

import asyncio
import os
import pathlib
import signal
import socket
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

SERVICES = ("mazos", "licencias")
ZONES = ("lima-a", "lima-b", "lima-c")
ANSWER_BYTES = 540_000  # `max` of `resp_bytes` of `deck-export`.
DEADLINE_SECONDS = 4.85  # Of `deck-export`.
SENT_AT_SECONDS = 2.0  # After SIGTERM.
READ_SECONDS = 4.5  # In which a caller reads an answer.
PAUSE_SECONDS = 0.05  # Between two reads.
SEND_ON_SECONDS = 0.25  # Between two further requests.
RECEIVE_BUFFER_BYTES = 16_384
CALLERS = 8
GRACE_SECONDS = 6.0


class Case:
    """One run."""

    def __init__(self, directory: pathlib.Path, record: Record) -> None:
        self.record = record
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        network = Network()
        self.store = Store(network.host(100), 0.0)
        self.backends = [
            Backend(
                f"i-{number}",
                SERVICES[number % 2],
                ZONES[number // 2],
                network.host(101 + number),
                self.store,
                record,
                sharded=False,
                work_seconds=0.1,
            )
            for number in range(6)
        ]
        for backend in self.backends[::2]:
            backend.answer_bytes = ANSWER_BYTES
        self.gateways = [
            Gateway(f"front-{zone}-1", zone, network.host(n + 1), self.store, directory)
            for n, zone in enumerate(ZONES)
        ]
        self.tasks: list[asyncio.Task[None]] = []
        self.lost: list[str] = []
        self.complete = 0

    def spawn(self, coroutine: "asyncio._CoroutineLike[None]") -> asyncio.Task[None]:
        """Run a coroutine until the end of the case."""
        task = asyncio.ensure_future(coroutine)
        self.tasks.append(task)
        return task

    async def start(self) -> bool:
        """Start everything; return whether the gateways are ready."""
        await self.store.server.start()
        spec = configuration(3, list(SERVICES), "")
        spec["hosts"][0]["paths"][0].update(routeType="download", timeoutS=5.0)
        self.store.put("config", "main", spec)
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

    def head(self, request_id: str) -> bytes:
        """Return a request for a large answer, which may be repeated."""
        lines = (
            "GET /mazos/deck HTTP/1.1",
            "Host: host1.example",
            f"Request-Id: {request_id}",
            f"Deadline-Ms: {DEADLINE_SECONDS * 1000:.0f}",
        )
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    async def caller(self, number: int, began: float) -> None:
        """Ask for a large answer on a kept connection, read slowly, and send on."""
        loop = asyncio.get_running_loop()
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        sock.setblocking(False)
        try:
            await loop.sock_connect(sock, (self.gateways[0].host, FRONT_PORT))
            await asyncio.sleep(began + SENT_AT_SECONDS - time.monotonic())
            sent = time.monotonic()
            await loop.sock_sendall(sock, self.head(f"q{number}"))
            sends = self.spawn(self.send_on(sock, number))
            received, outcome = b"", ""
            size = ANSWER_BYTES
            while len(received) < size:
                await asyncio.sleep(PAUSE_SECONDS)
                share = min(1.0, (time.monotonic() - sent) / READ_SECONDS)
                wanted = int(size * share) - len(received)
                if wanted <= 0:
                    continue
                try:
                    data = await asyncio.wait_for(loop.sock_recv(sock, wanted), 3.0)
                except (OSError, TimeoutError) as exc:
                    outcome = type(exc).__name__
                    break
                if not data:
                    outcome = "closed"
                    break
                received += data
                head, _, _ = received.partition(b"\r\n\r\n")
                size = ANSWER_BYTES + len(head) + 4
            sends.cancel()
        finally:
            sock.close()
        seconds = time.monotonic() - sent
        status = received[:12].decode("latin-1")
        ran = [
            b.name
            for b in self.backends
            for r in b.runs
            if r.request_id == f"q{number}"
        ]
        self.record.write(
            f"q{number}: {status!r}, {len(received)} bytes after {seconds:.2f} s"
            f" {outcome or 'complete'}; run by {', '.join(ran) or 'none'}"
        )
        if not outcome:
            self.complete += 1
        elif ran and seconds < DEADLINE_SECONDS:
            self.lost.append(f"q{number}")

    async def send_on(self, sock: socket.socket, number: int) -> None:
        """Send further requests that may be repeated."""
        loop = asyncio.get_running_loop()
        count = 0
        while True:
            await asyncio.sleep(SEND_ON_SECONDS)
            count += 1
            try:
                await loop.sock_sendall(sock, self.head(f"q{number}x{count}"))
            except OSError:
                return

    async def warm_up(self) -> None:
        """Send ordinary requests, by which response times become known."""
        headers = {"Host": "host1.example", "Deadline-Ms": "4850"}
        for number in range(30):
            headers["Request-Id"] = f"w{number}"
            gateway = self.gateways[number % 3]
            await send(gateway.host, FRONT_PORT, "GET", "/mazos/deck", headers)

    async def run(self) -> int:
        """Run the case; return the exit status."""
        if not await self.start():
            self.record.write("the gateways did not get ready")
            return 2
        await asyncio.sleep(2)
        await self.warm_up()
        began = time.monotonic() + 0.5
        callers = [self.spawn(self.caller(n, began)) for n in range(CALLERS)]
        await asyncio.sleep(began - time.monotonic())
        if self.trouble:
            self.gateways[0].signal(signal.SIGTERM)
            self.record.write("SIGTERM")
            self.spawn(self.watch_end(began))
        await asyncio.gather(*callers)
        self.record.write(f"complete: {self.complete}, lost: {len(self.lost)}")
        if self.lost:
            self.record.write("LOST broken")
        return 1 if self.lost else 0

    async def watch_end(self, began: float) -> None:
        """Kill the process after its grace period, and note its end."""
        process = self.gateways[0].process
        assert process is not None
        while process.poll() is None:
            await asyncio.sleep(0.02)
            if time.monotonic() - began > GRACE_SECONDS:
                process.kill()
                self.record.write("SIGKILL")
                return
        seconds = time.monotonic() - began
        self.record.write(f"the process has ended, {seconds:.2f} s after SIGTERM")

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
            async with asyncio.timeout(100):
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
