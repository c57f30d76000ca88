"""Entries without some fields of a server are given keys and never serve them."""

import asyncio
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from stand_ins_2 import Answer, Server, World, ask, configuration, play, route

INSTANCES = 3
SERVERS = 4
FOREIGN_ENTRIES = 24
RECOVERY_SECONDS = 15.0  # `recoveryS` of the settings.
JUDGED_SECONDS = 10.0


async def ask_for(world: World, seconds: float, label: str) -> list[Answer]:
    """Send requests with all keys to all instances in turn; record the answers."""
    answers = []
    rng = random.Random(7)
    until, number = time.monotonic() + seconds, 0
    while time.monotonic() < until:
        instance = world.instances[number % len(world.instances)]
        request_id, key = f"{label}-{number}", rng.randrange(65536)
        answer = await ask(instance.front, "GET /lookup/a", request_id, key=key)
        reason = answer.body.decode("latin-1").strip() or answer.detail
        world.note(
            f"{request_id} with key {key} to {instance.name}: {answer.status} {reason}"
        )
        answers.append(answer)
        number += 1
        await asyncio.sleep(0.05)
    return answers


def served(answers: list[Answer]) -> float:
    """Return the share of the requests that were served."""
    return sum(a.status == 200 for a in answers) / max(1, len(answers))


def write_foreign_entries(world: World) -> None:
    """Write entries that lack `version`, `seq` and `born`; nothing listens there."""
    for number in range(FOREIGN_ENTRIES):
        foreign = Server(f"old-{number}", "registro", "quito-norte", sharded=True)
        foreign.address = f"{world.host(200)}:{9000 + number}"
        spec = foreign.entry()
        del spec["born"], spec["info"]["version"], spec["status"]["seq"]
        world.store.put("servers", foreign.name, spec)
    world.note(f"another writer wrote {FOREIGN_ENTRIES} entries, the last one {spec}")


async def body(world: World) -> bool:
    """Play the case; return whether RECOVER held."""
    await world.start_store()
    routes = [route("lookup", "/lookup/", "safe", "registro")]
    document = configuration(7, routes, ["registro"], sharded=("registro",))
    world.store.put("config", "main", document)
    for number in range(SERVERS):
        zone = f"quito-{number % 2}"
        server = Server(f"i-7f3a91c{number}", "registro", zone, sharded=True)
        await world.start_server(server)
    world.start_instances(INSTANCES)
    await world.wait_ready()
    await asyncio.sleep(3.0)  # Until the servers hold their keys.
    before = served(await ask_for(world, 3.0, "before"))
    if world.trouble:
        write_foreign_entries(world)
    beside = served(await ask_for(world, 10.0, "beside"))
    for instance in world.instances:
        instance.kill()
    await asyncio.sleep(1.0)
    for instance in world.instances:
        instance.start()
    world.note("all processes were killed and started again")
    await asyncio.sleep(RECOVERY_SECONDS)
    after = served(await ask_for(world, JUDGED_SECONDS, "after"))
    world.note(
        f"served: {before:.2f} before, {beside:.2f} beside the entries, {after:.2f}"
        f" from {RECOVERY_SECONDS} s after the restart on"
    )
    return not (before >= 0.25 and after < 0.25)


if __name__ == "__main__":
    play(__file__, body)
