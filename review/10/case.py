"""Entries of another writer whose names have a space, then a restart of all."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from stand_ins_2 import (
    VALUE_BYTES,
    Answer,
    Server,
    World,
    ask,
    configuration,
    play,
    route,
)

INSTANCES = 3
RECOVERY_SECONDS = 15.0  # `recoveryS` of the settings.
JUDGED_SECONDS = 8.0


async def ask_for(world: World, seconds: float, label: str) -> list[Answer]:
    """Send requests to all instances in turn, and record the answers."""
    answers = []
    until, number = time.monotonic() + seconds, 0
    while time.monotonic() < until:
        instance = world.instances[number % len(world.instances)]
        request_id = f"{label}-{number}"
        answer = await ask(instance.front, "GET /lookup/a", request_id)
        reason = answer.body.decode("latin-1").strip() or answer.detail
        world.note(f"{request_id} to {instance.name}: {answer.status} {reason}")
        answers.append(answer)
        number += 1
        await asyncio.sleep(0.1)
    return answers


def served(answers: list[Answer]) -> float:
    """Return the share of the requests that were served."""
    return sum(a.status == 200 for a in answers) / max(1, len(answers))


async def body(world: World) -> bool:
    """Play the case; return whether RECOVER held."""
    await world.start_store()
    routes = [route("lookup", "/lookup/", "safe", "registro")]
    world.store.put("config", "main", configuration(7, routes, ["registro"]))
    for number in range(4):
        server = Server(f"i-7f3a91c{number}", "registro", f"quito-{number % 2}")
        await world.start_server(server)
    world.start_instances(INSTANCES)
    await world.wait_ready()
    before = served(await ask_for(world, 3.0, "before"))
    # Two entries of another writer: no field of a server, and together above 1 MB.
    separator = " " if world.trouble else "-"
    for number in range(2):
        name = f"audit{separator}dump{separator}{number}"
        spec = {"dump": "x" * (VALUE_BYTES * 6 // 10)}
        world.store.put("servers", name, spec)
        world.note(f"another writer wrote servers/{name!r}")
    beside = served(await ask_for(world, 3.0, "beside"))
    for instance in world.instances:
        instance.kill()
    for instance in world.instances:
        instance.start()
    world.note("all processes were killed and started again")
    started = time.monotonic()
    await ask_for(world, RECOVERY_SECONDS, "recovery")
    after = served(await ask_for(world, JUDGED_SECONDS, "after"))
    world.note(
        f"served: {before:.2f} before, {beside:.2f} beside the entries, {after:.2f}"
        f" from {RECOVERY_SECONDS} s after the restart on"
    )
    world.note(f"calls of the store: {dict(world.store.calls)}")
    world.note(f"malformed calls: {len(world.store.malformed)}")
    for line in world.store.malformed[:5]:
        world.note(f"malformed: {line}")
    assert time.monotonic() - started < 60
    return not (before >= 0.25 and after < 0.25)


if __name__ == "__main__":
    play(__file__, body)
