"""Collections that must not grow with the time that a process runs.

Guards against a process that is killed for its memory after hours or weeks, with all
that it was passing on.
"""

import asyncio

from arbutusflow.gateway.connection_pool import ConnectionPool
from arbutusflow.gateway.load.retry_budget import RetryBudget
from arbutusflow.gateway.model import (
    Address,
    ExchangeError,
    Repeatability,
    Route,
    WeightedService,
)
from arbutusflow.gateway.routing import WeightedRoundRobin
from arbutusflow.gateway.state_relay import _pack, _unpack
from arbutusflow.gateway.store_watch import MAX_KEPT_BYTES, ObjectCopy
from arbutusflow.platform.store import Change, StoreClient, StoredObject
from tests.gateway.fakes import FakeLog, at
from tests.gateway.virtual_time import run

WINDOW_SECONDS = 10.0


def test_requests_are_forgotten_without_any_retry():
    """Requests were forgotten only when a retry was considered."""
    budget = RetryBudget(0.2, 60.0, WINDOW_SECONDS)
    for number in range(20_000):
        budget.count_request("a", number / 100)
        budget.count_retry("a", number / 100)
    most = 100 * WINDOW_SECONDS + 1
    assert len(budget._requests["a"]) <= most
    assert len(budget._retries["a"]) <= most


def _route(name):
    return Route(
        name=name,
        host="shop.example",
        prefix=f"/{name}/",
        repeatability=Repeatability.IDEMPOTENT,
        targets=(WeightedService("a", 1.0), WeightedService("b", 3.0)),
        timeout_seconds=1.0,
        objective_seconds=1.0,
        rank=0,
        max_attempts=2,
    )


def test_the_shares_of_routes_are_forgotten_with_the_routes():
    """The names of routes change with configurations."""
    selector = WeightedRoundRobin()
    kept = _route("kept")
    chosen = []
    for number in range(400):
        routes = (kept, _route(f"r{number}"))
        selector.keep(routes)
        chosen += [selector.choose(route) for route in routes][:1]
    assert len(selector._current_weights) == 2
    # The shares of a route that stays are exact over all configurations.
    assert (chosen.count("a"), chosen.count("b")) == (100, 300)


def test_addresses_without_exchanges_are_forgotten():
    """Endpoints come and go at new addresses."""

    async def scenario():
        pool = ConnectionPool(b"request-id")

        class Connection:
            usable = False

            def close(self):
                pass

        async def connect(*arguments):
            return Connection()

        pool._connect = connect
        for number in range(100):
            address = Address("127.0.0.1", number)
            try:
                async with (
                    pool.connection(address, at_most_once=False, timeout=1.0),
                    pool.connection(address, at_most_once=False, timeout=1.0),
                ):
                    assert pool.in_use(address) == 2
                    raise ExchangeError("played", sent=True)
            except ExchangeError:
                assert pool.in_use(address) == 0
        await asyncio.sleep(0)
        pool.prune()
        return len(pool._in_use), len(pool._idle)

    assert run(scenario()) == (0, 0)


def test_changes_for_other_instances_are_bounded_in_bytes():
    """Large objects, each written again and again, filled the memory with versions."""
    text = "x" * 400_000

    async def main():
        store = StoreClient(Address("store", 1))
        copy = ObjectCopy(store, "k", 15.0, lambda: None, FakeLog())
        copy.use_relayed_objects(at(1), ())
        for number in range(1, 40):
            item = StoredObject("a", at(number + 1), text, {"spec": text})
            relayed = _unpack(_pack(Change(item, removed=False)))
            copy.apply_relayed_changes(at(number), at(number + 1), [relayed])
        kept = sum(
            len(change.object.raw["spec"])
            for batch in copy._batches
            for change in batch.changes
        )
        return kept, copy.changes_between(at(39), at(40)) is not None

    kept, knows_latest = run(main())
    assert 0 < kept <= MAX_KEPT_BYTES
    assert knows_latest
