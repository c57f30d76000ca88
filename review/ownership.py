"""Keys that several endpoints hold: the audit and the traffic of two cases."""

import asyncio
import time

import stand_ins as s

HOT_KEY = 3  # Its range is halved with each crash, and it stays in the lower half.
HOT_SHARE = 0.4
REQUESTS_PER_SECOND = 40
MAX_OVERLAP_SECONDS = 0.5  # The bound of rule OWNER.
ZONES = ["z1", "z1", "z2", "z2", "z3", "z3"]
ENDPOINTS = 7  # One of them is less than the share of 0.15 that may crash at once.


class HoldAudit:
    """Finds keys that two endpoints that are up hold for longer than the bound."""

    def __init__(self, world: s.World) -> None:
        self._world = world
        self._since: dict[tuple[str, str, int, int], float] = {}
        self.longest = 0.0
        self.judges = True

    async def run(self) -> None:
        """Sample the leases until the end of the run."""
        while True:
            self.check(time.monotonic())
            await asyncio.sleep(0.02)

    def check(self, now: float) -> None:
        """Compare the leases of all pairs of endpoints."""
        if not self.judges:
            self._since = {}
            return
        current = {}
        ends = self._world.endpoints
        for index, one in enumerate(ends):
            for other in ends[index + 1 :]:
                for x in one.holds(now):
                    for y in other.holds(now):
                        first, last = max(x.first, y.first), min(x.last, y.last)
                        if first <= last:
                            pair = (one.name, other.name, first, last)
                            current[pair] = self._since.get(pair, now)
                            self._note(pair, x.fence, y.fence, now - current[pair])
        self._since = current

    def _note(
        self, pair: tuple[str, str, int, int], one: int, other: int, seconds: float
    ) -> None:
        if seconds > MAX_OVERLAP_SECONDS >= self.longest:
            self._world.record.write(
                f"BROKEN: {pair[0]} (token {one}) and {pair[1]} (token {other}) have"
                f" both held keys {pair[2]}-{pair[3]} for {seconds:.2f} s"
            )
        self.longest = max(self.longest, seconds)


async def send_traffic(world: s.World) -> None:
    """Send lookups; some keys are far busier than others."""
    number = 0
    while True:
        number += 1
        hot = number % 10 < 10 * HOT_SHARE
        key = HOT_KEY if hot else number * 7919 % 65536
        instances = [x for x in world.instances if x.in_rotation]
        if instances:
            instance = instances[number % len(instances)]
            world.spawn(s.call(world, instance, "GET", f"/l/{key}", key=key))
        await asyncio.sleep(1 / REQUESTS_PER_SECOND)


async def start_world(world: s.World) -> HoldAudit | None:
    """Start 6 processes, 7 endpoints, the traffic and the audit; wait 10 s."""
    spec = s.configuration(
        1, [s.service("keyed", sharded=True)], [s.route("r", "/l/", "safe", "keyed")]
    )
    world.store.put("config", "main", spec)
    for number in range(ENDPOINTS):
        zone = ZONES[2 * number % len(ZONES)]
        endpoint = s.Endpoint(
            f"i-{number}a", "keyed", zone, world.store, world.record, sharded=True
        )
        world.endpoints.append(endpoint)
        await endpoint.start()
    await world.start_instances(ZONES)
    if not await world.wait_ready(20):
        return None
    audit = HoldAudit(world)
    world.spawn(audit.run())
    world.spawn(send_traffic(world))
    await asyncio.sleep(10)
    return audit


def owner_of_hot_key(world: s.World) -> s.Endpoint | None:
    """Return the endpoint that holds the busiest key."""
    now = time.monotonic()
    for endpoint in world.endpoints:
        if any(x.first <= HOT_KEY <= x.last for x in endpoint.holds(now)):
            return endpoint
    return None


def result(world: s.World, audit: HoldAudit) -> int:
    """Return the exit status."""
    world.record.write(f"longest overlap: {audit.longest:.2f} s")
    return 1 if audit.longest > MAX_OVERLAP_SECONDS else 0
