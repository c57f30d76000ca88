"""One entry of another writer, written again with each heartbeat, fills the memory."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from stand_ins_2 import Platform, Server, World, ask, configuration, play, route

INSTANCES = 3
HEARTBEAT_SECONDS = 0.87
PLAY_SECONDS = 50


async def write_entries(world: World) -> None:
    """Write the foreign entry with each heartbeat; it has no field of a server."""
    count = 330_000 if world.trouble else 33  # Below `valueBytes`: 3 bytes each.
    number = 0
    while True:
        number += 1
        world.store.put("servers", "export", {"rows": [[]] * count, "number": number})
        await asyncio.sleep(HEARTBEAT_SECONDS)


async def send_requests(world: World, counts: dict[int, int]) -> None:
    """Send requests to all instances in turn."""
    number = 0
    while True:
        instance = world.instances[number % INSTANCES]
        answer = await ask(instance.front, "GET /lookup/a", f"r-{number}")
        if answer.status != 200:
            reason = answer.body.decode("latin-1").strip() or answer.detail
            world.note(f"r-{number} to {instance.name}: {answer.status} {reason}")
        counts[answer.status] = counts.get(answer.status, 0) + 1
        number += 1
        await asyncio.sleep(0.05)


async def body(world: World) -> bool:
    """Play the case; return whether the rule held."""
    await world.start_store()
    routes = [route("lookup", "/lookup/", "safe", "registro")]
    world.store.put("config", "main", configuration(7, routes, ["registro"]))
    for number in range(4):
        server = Server(f"i-7f3a91c{number}", "registro", f"quito-{number % 2}")
        await world.start_server(server)
    world.start_instances(INSTANCES)
    await world.wait_ready()
    platform, counts = Platform(world), dict[int, int]()
    tasks = [
        asyncio.create_task(platform.run()),
        asyncio.create_task(write_entries(world)),
        asyncio.create_task(send_requests(world, counts)),
    ]
    for _ in range(PLAY_SECONDS):
        await asyncio.sleep(1.0)
        used = " ".join(f"{i.memory_mb():.0f}" for i in world.instances)
        world.note(f"memory in MB: {used}; answers so far, by status: {counts}")
    for task in tasks:
        task.cancel()
    return not platform.fault()


if __name__ == "__main__":
    play(__file__, body)
