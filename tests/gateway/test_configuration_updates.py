"""Large configurations are decoded beside the requests that are served meanwhile.

Guards against a configuration of thousands of routes that holds the event loop, and
with it all requests, for as long as its decoding takes.
"""

import asyncio
import copy

from arbutusflow.gateway.configuration_updates import (
    ROUTES_PER_STEP,
    ConfigurationUpdates,
)
from arbutusflow.platform.documents import (
    decode_configuration,
    decode_configuration_in_steps,
)
from tests.gateway.fakes import FakeLog
from tests.gateway.test_documents import CONFIGURATION
from tests.gateway.virtual_time import run

ROUTES = 10_000


def make_document(routes=ROUTES, version=1):
    document = copy.deepcopy(CONFIGURATION)
    document["version"] = version
    path = document["hosts"][0]["paths"][0]
    document["hosts"] = [
        {
            "host": "h.example",
            "paths": [
                {**path, "name": f"r{n}", "pathPrefix": f"/{n}/"} for n in range(routes)
            ],
        }
    ]
    return document


async def _wait(applied, count):
    """Return how often the event loop went round until configurations were applied."""
    rounds = 0
    while len(applied) < count:
        await asyncio.sleep(0)
        rounds += 1
    return rounds


def test_other_tasks_run_while_a_large_configuration_is_decoded():
    async def scenario():
        applied = []
        updates = ConfigurationUpdates(decode_configuration_in_steps, FakeLog())
        updates.start(make_document(), applied.append)
        rounds = await _wait(applied, 1)
        return rounds, applied == [decode_configuration(make_document())]

    rounds, same = run(scenario())
    assert rounds >= ROUTES / ROUTES_PER_STEP
    assert same


def test_configurations_are_applied_in_order_and_overtaken_ones_left_out():
    async def scenario():
        applied = []
        updates = ConfigurationUpdates(decode_configuration_in_steps, FakeLog())
        for version in (1, 2):
            updates.start(make_document(1000, version), applied.append)
            await asyncio.sleep(0)
            await asyncio.sleep(0)
        for version in (3, 4):
            updates.start(make_document(1000, version), applied.append)
        await _wait(applied, 2)
        for _ in range(20):
            await asyncio.sleep(0)
        return [cfg.version for cfg in applied]

    assert run(scenario()) == [1, 4]


def test_a_malformed_configuration_is_logged_and_the_next_one_applied():
    async def scenario():
        applied, log = [], FakeLog()
        updates = ConfigurationUpdates(decode_configuration_in_steps, log)
        document = make_document()
        del document["hosts"][0]["paths"][-1]["name"]
        updates.start(document, applied.append)
        for _ in range(100):
            await asyncio.sleep(0)
        updates.start(make_document(10, 2), applied.append)
        await _wait(applied, 1)
        return [cfg.version for cfg in applied], [event for event, _ in log.events]

    assert run(scenario()) == ([2], ["configuration_rejected"])
