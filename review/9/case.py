"""One entry that can't be read, written again with each heartbeat, stops all work."""

import asyncio
import collections
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from stand_ins_2 import Server, World, ask, configuration, play, route

INSTANCES = 3
CLIENTS = 12
HEARTBEAT_SECONDS = 0.87
TIMEOUT_SECONDS = 1.2  # `timeoutS` of the route.
LATE_SECONDS = 0.5
PLAY_SECONDS = 30.0


class Times:
    """How long requests were without an answer, from their sending on."""

    def __init__(self) -> None:
        self.requests = 0
        self.at_timeout = 0  # Without an answer at `timeoutS`.
        self.late = 0  # Without an answer half a second after that.
        self.statuses: collections.Counter[int] = collections.Counter()

    def count(self, seconds: float, status: int) -> None:
        """Count one request."""
        self.requests += 1
        self.statuses[status] += 1
        self.at_timeout += seconds > TIMEOUT_SECONDS
        self.late += seconds > TIMEOUT_SECONDS + LATE_SECONDS


async def write_entries(world: World) -> None:
    """Write the foreign entry with each heartbeat."""
    count = 330_000 if world.trouble else 33  # Below `valueBytes`: 3 bytes each.
    number = 0
    while True:
        number += 1
        # JSON, but no Unicode text: half of a surrogate pair.
        spec = {"rows": [[]] * count, "number": number, "title": "\ud83d"}
        world.store.put("servers", "export", spec)
        await asyncio.sleep(HEARTBEAT_SECONDS)


async def send_requests(world: World, client: int, times: Times) -> None:
    """Send requests to all instances in turn, one at a time."""
    number = 0
    while True:
        instance = world.instances[(client + number) % INSTANCES]
        request_id = f"r-{client}-{number}"
        began = time.monotonic()
        answer = await ask(
            instance.front, "GET /lookup/a", request_id, deadline_ms=2500
        )
        seconds = time.monotonic() - began
        times.count(seconds, answer.status)
        reason = answer.body.decode("latin-1").strip() or answer.detail
        world.note(
            f"{request_id} to {instance.name}: {answer.status} {reason} after"
            f" {seconds:.2f} s"
        )
        number += 1
        await asyncio.sleep(0.2)


async def body(world: World) -> bool:
    """Play the case; return whether CONFIG held."""
    await world.start_store()
    routes = [route("lookup", "/lookup/", "safe", "registro", TIMEOUT_SECONDS)]
    world.store.put("config", "main", configuration(7, routes, ["registro"]))
    for number in range(4):
        server = Server(f"i-7f3a91c{number}", "registro", f"quito-{number % 2}")
        await world.start_server(server)
    world.start_instances(INSTANCES)
    await world.wait_ready()
    await asyncio.sleep(4.0)  # `stableWindowS` and a second.
    writer = asyncio.create_task(write_entries(world))
    times = Times()
    clients = [
        asyncio.create_task(send_requests(world, client, times))
        for client in range(CLIENTS)
    ]
    await asyncio.sleep(PLAY_SECONDS)
    for task in (writer, *clients):
        task.cancel()
    world.note(
        f"{times.requests} requests, by status {dict(times.statuses)};"
        f" {times.at_timeout} without an answer at timeoutS, {times.late} of these"
        f" without one {LATE_SECONDS} s later"
    )
    return times.at_timeout < 20 or times.late <= times.at_timeout / 2


if __name__ == "__main__":
    play(__file__, body)
