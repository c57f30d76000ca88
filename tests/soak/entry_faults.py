"""Faults of endpoints' entries and addresses, as the protocol allows them.

An address may go to an endpoint of another service once `ADDRESS_REUSE_SECONDS` have
passed; the last write of an earlier process may come late; other writers may leave
entries that name no endpoint.
"""

import asyncio

import msgspec

from tests.soak.world import SoakWorld

ADDRESS_REUSE_SECONDS = 2.0  # `addrReuseS` of the settings of the soak.
LATE_REGISTRATION_SECONDS = 1.5  # Longest time from the start to the entry.
MAX_TAKEN_OVER = 3  # Addresses at once.
SILENCE_SECONDS = 3.0  # After which the entry of an endpoint that ended is removed.
MIN_ENDPOINTS = {"keyed": 3, "plain": 2, "spare": 1}  # More are there before one ends.
UNREADABLE_ENTRIES = (
    b"{}",
    b"[]",
    b"null",
    b'{"address":7,"info":{},"status":[],"born":"x"}',
    b'{"address":"127.0.0.1:1","info":{"service":"plain","version":"v","zone":"z0",'
    b'"slots":"many"},"status":{"state":"ready","seq":1,"coldLeftS":0},"born":1}',
    b'{"address":"127.0.0.1:1","info":{"service":"none","version":"v","zone":"z0",'
    b'"slots":3},"status":{"state":"asleep","seq":1,"coldLeftS":0},"born":1.5}',
    b'{"address":"\\ud800"}',
    b'{"address":"\xff\xfe"}',
    b'{"born":1e999}',
    b'{"slots":NaN}',
    b"[" * 3000 + b"]" * 3000,
)


def _free_endpoints(world: SoakWorld) -> list[str]:
    counts: dict[str, int] = {}
    for endpoint in world.endpoints.values():
        counts[endpoint.service] = counts.get(endpoint.service, 0) + 1
    return [
        name
        for name, endpoint in world.endpoints.items()
        if counts[endpoint.service] > MIN_ENDPOINTS[endpoint.service]
    ]


async def addresses_taken_over(world: SoakWorld) -> None:
    """End endpoints; others, of other services, get their addresses."""
    count = world.rng.randint(1, MAX_TAKEN_OVER)
    await asyncio.gather(*(_take_address_over(world) for _ in range(count)))


async def _take_address_over(world: SoakWorld) -> None:
    """End an endpoint; one of another service gets its address.

    The old entry is removed at once or, as after a crash, some time later. The other
    one serves some time before its entry tells so.
    """
    names = _free_endpoints(world)
    if not names:
        return
    name = world.rng.choice(names)
    service = world.endpoints[name].service
    proxy = world.end_endpoint(name)
    removed_after = world.rng.choice(
        (0.0, world.rng.uniform(0.5, SILENCE_SECONDS), SILENCE_SECONDS)
    )
    taken_after = ADDRESS_REUSE_SECONDS + world.rng.uniform(0.0, 0.5)

    async def remove() -> None:
        await asyncio.sleep(removed_after)
        world.store.remove("servers", name)

    removal = asyncio.create_task(remove())
    await asyncio.sleep(taken_after)
    other = world.rng.choice([s for s in MIN_ENDPOINTS if s != service])
    endpoint = await world.add_endpoint(other, proxy, registers=False)
    await asyncio.sleep(world.rng.uniform(0.0, LATE_REGISTRATION_SECONDS))
    if world.endpoints.get(endpoint.name) is endpoint:
        world.register(endpoint, "ready")
    await removal
    if world.rng.random() < 0.7:
        await world.add_endpoint(service)


async def late_write_of_earlier_process(world: SoakWorld) -> None:
    """Restart an endpoint; the store executes the last write of its process late."""
    name = world.rng.choice(list(world.endpoints))
    if world.endpoints[name].leaving:
        return
    earlier = world.store.spec("servers", name)
    await world.restart_endpoint(name, world.rng.uniform(0.05, 0.5))
    endpoint = world.endpoints.get(name)
    if endpoint is None or earlier is None:
        return
    await asyncio.sleep(world.rng.uniform(0.1, 3.0))
    if world.endpoints.get(name) is endpoint:
        world.store.put("servers", name, earlier)
    await asyncio.sleep(world.rng.uniform(0.2, 1.5))  # Until its next heartbeat.
    if world.endpoints.get(name) is endpoint:
        world.register(endpoint, "draining" if endpoint.leaving else "ready")


async def endpoint_leaves_unread(world: SoakWorld) -> None:
    """Restart an endpoint that says that it leaves; its new entry is read late.

    The earlier process, the new one or both say so.
    """
    names = [n for n in _free_endpoints(world) if not world.endpoints[n].leaving]
    if not names:
        return
    name = world.rng.choice(names)
    earlier = world.endpoints[name]
    leaves = world.rng.choice(((True, False), (False, True), (True, True)))
    await world.add_endpoint(earlier.service)
    if leaves[0]:
        earlier.leaving = True
        await asyncio.sleep(world.rng.uniform(0.5, 2.0))
    if world.endpoints.get(name) is not earlier:
        return  # It crashed or restarted meanwhile.
    await world.restart_endpoint(name, world.rng.uniform(0.2, 2.5), leaving=leaves[1])
    endpoint = world.endpoints.get(name)
    if endpoint is None or not leaves[1]:
        return
    await asyncio.sleep(world.rng.uniform(2.5, 4.0))
    if world.endpoints.get(name) is endpoint:
        world.crash_endpoint(name, planned=True)


async def unreadable_entries(world: SoakWorld) -> None:
    """Let another writer leave entries that name no endpoint, some of them for good."""
    names = []
    for number in range(world.rng.randint(1, 4)):
        name = f"other-{number}"
        entry = msgspec.Raw(world.rng.choice(UNREADABLE_ENTRIES))
        world.store.put("servers", name, entry)
        names.append(name)
        await asyncio.sleep(world.rng.uniform(0.0, 1.0))
    await asyncio.sleep(world.rng.uniform(0.5, 6.0))
    if world.rng.random() < 0.5:
        for name in names:
            world.store.remove("servers", name)


async def endpoint_is_silent(world: SoakWorld) -> None:
    """Crash an endpoint, whose entry stays for some time, and start another one."""
    names = _free_endpoints(world)
    if not names:
        return
    name = world.rng.choice(names)
    service = world.endpoints[name].service
    world.end_endpoint(name).close()
    await asyncio.sleep(world.rng.uniform(0.5, SILENCE_SECONDS))
    world.store.remove("servers", name)
    await world.add_endpoint(service)
