"""Time until a configuration change is in force at every entry instance.

Runs real processes on loopback addresses. Each result can be too long by up to
one interval between two polls of their status.
"""

import asyncio
import statistics
import time

from arbutusflow.domain.configuration import EndpointState, Patch, SetEndpointState
from arbutusflow.measure.hot_path import bench_configuration
from arbutusflow.measure.results import MeasureError, Row, at_most
from arbutusflow.runtime.curl_loop import CurlLoop
from arbutusflow.standins.fleet import (
    ENTRY_COUNT,
    HOST,
    Fleet,
    FleetClient,
    running_fleet,
)

CHANGE_COUNT = 18  # Two changes through each of the nine instances.
STATUS_POLL_SECONDS = 0.02
CHANGE_TIMEOUT_SECONDS = 20.0
TARGET_SECONDS = 4.0


def measure_in_force(port_offset: int) -> list[float]:
    """Return the seconds from sending each patch until it is in force everywhere."""
    cfg = bench_configuration()
    with running_fleet(cfg, 0.0, None, port_offset, entries=ENTRY_COUNT) as fleet:
        return asyncio.run(_measure(fleet))


def rows_of(seconds: list[float], seed: int) -> list[Row]:
    """Return the slowest change, which has a target, and the median."""
    name = "configuration change in force everywhere"
    slowest, middle = max(seconds), statistics.median(seconds)
    return [
        at_most(f"{name}, slowest", slowest, "s", seed, TARGET_SECONDS),
        at_most(f"{name}, median", middle, "s", seed),
    ]


async def _measure(fleet: Fleet) -> list[float]:
    curl = CurlLoop(asyncio.get_running_loop())
    client = FleetClient(curl, fleet.ports, entries=ENTRY_COUNT)
    try:
        await client.wait_until_live()
        await client.create_services(fleet.cfg)
        await client.wait_until_served(fleet.cfg)
        return [
            await _apply_change(client, fleet, number) for number in range(CHANGE_COUNT)
        ]
    finally:
        curl.close()


async def _apply_change(client: FleetClient, fleet: Fleet, number: int) -> float:
    current = (await client.status(0)).configuration
    state = (EndpointState.DRAINING, EndpointState.ACTIVE)[number % 2]
    operation = SetEndpointState("other", "other-1", state)
    patch = Patch(f"in-force-{number:03}", current, (operation,))
    # Patches rotate over the instances, so the relays of all availability zones count.
    port = fleet.ports.admin + number % ENTRY_COUNT
    started = time.monotonic()
    response = await client.post(f"http://{HOST}:{port}/config/patch", patch)
    if response.status != 200:
        raise MeasureError(f"a configuration patch got HTTP status {response.status}")
    while time.monotonic() - started < CHANGE_TIMEOUT_SECONDS:
        statuses = await asyncio.gather(*(client.status(i) for i in range(ENTRY_COUNT)))
        if all(item.configuration > current for item in statuses):
            return time.monotonic() - started
        await asyncio.sleep(STATUS_POLL_SECONDS)
    raise MeasureError(
        f"patch {patch.id} is not in force at all instances; see their logs"
    )
