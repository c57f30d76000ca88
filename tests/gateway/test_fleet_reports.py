"""Reports between instances: how many there are, and what must not wait for them.

Guards against control work that grows with the square of the fleet, and against keys
that wait for the next regular report.
"""

import asyncio
import contextlib

import pytest

from arbutusflow.gateway import fleet_task
from arbutusflow.gateway.key_orders import KeyOrders
from arbutusflow.gateway.key_table import KeyRange
from arbutusflow.gateway.model import Address, Answer, Endpoint
from tests.gateway.fakes import FakeLog
from tests.gateway.sim_fleet import SERVICE, run_fleet
from tests.gateway.virtual_time import run

# The aim for control is 2.4 % of a core (docs/CAPACITY.md); a report costs 0.1 ms.
MAX_RECEIVED_PER_SECOND = 240


@pytest.mark.parametrize("instances", [10, 60])
def test_reports_stay_few_when_every_load_changes_all_the_time(instances):
    """With fixed periods 60 instances would receive about 800 a second each."""

    async def scenario(sim):
        await asyncio.sleep(3.0)
        before = {name: i.received for name, i in sim.instances.items()}
        for step in range(40):
            await asyncio.sleep(0.05)
            for instance in sim.instances.values():
                instance.load = {"e0": step + 1}
        return [(i.received - before[name]) / 2.0 for name, i in sim.instances.items()]

    assert max(run_fleet(scenario, instances)) <= MAX_RECEIVED_PER_SECOND


def test_keys_that_move_do_not_wait_for_regular_reports(monkeypatch):
    """A move used to wait until the last instance had sent its next report."""
    monkeypatch.setattr(fleet_task, "FLEET_REPORT_SECONDS", 1.0)
    monkeypatch.setattr(fleet_task, "MAX_FLEET_REPORT_SECONDS", 1.0)

    async def scenario(sim):
        await asyncio.sleep(8.0)
        sim.unlisted.add("e1")
        # Marking, the release of an idle endpoint and the new grant take milliseconds.
        await asyncio.sleep(sim.release_seconds + 0.3)
        table = next(iter(sim.instances["n0"].task.leases.tables.values())).table
        return {part.endpoint for part in table.ranges}, sim.held_key_share()

    owners, share = run_fleet(scenario, instances=5)
    assert "e1" not in owners
    assert share == 1.0


def test_few_instances_ask_the_store_closely_when_one_is_lost():
    """Nobody was vouched for by all then, and all 60 watched the store again and again:
    the calls of one day cost a fifth of its worth."""

    async def scenario(sim):
        await asyncio.sleep(8.0)
        sim.instances.pop("n0").kill()
        await asyncio.sleep(5.0)
        close = [i for i in sim.instances.values() if not i.task.copy.may_lag]
        return len(close), sim.held_key_share()

    close, share = run_fleet(scenario, instances=60)
    # Two zones of two groups with a granter and a successor each, two watchers and a
    # planner.
    assert close <= 11
    assert share == 1.0


def test_leases_go_on_when_all_granters_of_an_endpoint_are_lost():
    async def scenario(sim):
        await asyncio.sleep(8.0)
        endpoint = sim.endpoints["e0"].endpoint
        ranks = {
            i.task.fleet.rank_for(endpoint, sim.now): name
            for name, i in sim.instances.items()
        }
        for rank in (0, 1, 2):
            sim.instances.pop(ranks[rank]).kill()
        shares = []
        for _ in range(40):
            await asyncio.sleep(0.25)
            shares.append(sim.held_key_share())
        return min(shares), sim.violations

    assert run_fleet(scenario, instances=12) == (1.0, [])


def test_an_instance_that_became_the_planner_waits_for_the_demand():
    """It went by its own part of the demand, and moved keys from endpoints that were
    not busy: 17 requests a second were known of 75."""

    async def scenario(sim):
        await asyncio.sleep(8.0)
        planner = next(
            i
            for i in sim.instances.values()
            if i.task.fleet.is_planner(SERVICE, sim.now)
        )
        known = planner.task.moves.has_recent_demand(SERVICE)
        sim.instances.pop(planner.name).kill()
        heirs = []
        while not heirs:
            await asyncio.sleep(0.05)
            heirs = [
                i
                for i in sim.instances.values()
                if i.task.fleet.is_planner(SERVICE, sim.now)
            ]
        heir = heirs[0]
        early = heir.task.moves.has_recent_demand(SERVICE)
        await asyncio.sleep(2.0)
        return known, early, heir.task.moves.has_recent_demand(SERVICE)

    assert run_fleet(scenario, instances=6) == (True, False, True)


def test_tables_are_asked_for_in_the_own_zone_first():
    """A third of 68 instances was turned away by the store, and each fetched each table
    of 8 kB across zones."""

    async def scenario(sim):
        await asyncio.sleep(8.0)
        cut = [name for name, i in sim.instances.items() if i.zone == "z0"][:2]
        sim.store.unreachable_for.update(cut)
        asked, kinds = [], []
        for instance in sim.instances.values():
            original = instance.task.peers._on_message

            def record(message, source, name=instance.name, original=original):
                kinds.append(type(message).__name__)
                if kinds[-1] == "TableAsked":
                    asked.append((sim.instances[source.host].zone, name))
                original(message, source)

            instance.task.peers._on_message = record
        sim.busy_keys = list(range(20_000, 20_080)) * 5
        await asyncio.sleep(6.0)
        behind = [sim.instances[name].task.fleet.applied for name in cut]
        current = sim.instances["n1"].task.fleet.applied
        zones = [(zone, sim.instances[name].zone) for zone, name in asked]
        return zones, behind, current, kinds

    zones, behind, current, kinds = run_fleet(scenario, instances=10)
    assert zones
    assert all(asker == asked for asker, asked in zones)
    assert all(applied == current for applied in behind)
    assert kinds.count("TableChanged") > 10 * kinds.count("TableTold")


def test_instances_far_down_the_line_never_renew():
    """Whoever missed one report renewed: 65 endpoints were granted their keys by most
    of 68 instances, whose reports grew to three kilobytes and filled their links."""

    async def scenario(sim):
        await asyncio.sleep(8.0)
        endpoint = sim.endpoints["e0"].endpoint
        ranks = {
            i.task.fleet.rank_for(endpoint, sim.now): i for i in sim.instances.values()
        }
        unaware = ranks[12]
        for _ in range(20):
            unaware.task.leases._renewed.clear()
            await asyncio.sleep(0.05)
        return endpoint.id in unaware.task.orders.lease_reports(sim.now)

    assert not run_fleet(scenario, instances=30)


def test_an_instance_that_keeps_up_with_many_tables_stays_vouched_for(monkeypatch):
    """Some other instance is always a little ahead while tables change, which counted
    as being behind for a second: on busy days hardly anyone was vouched for."""
    monkeypatch.setattr(fleet_task, "FLEET_REPORT_SECONDS", 0.8)

    async def scenario(sim):
        await asyncio.sleep(8.0)
        instance = sim.instances["n1"]
        fleet, leases = instance.task.fleet, instance.task.leases
        stored = leases.tables[SERVICE]
        revision, vouched = stored.revision, []
        for _ in range(30):
            await asyncio.sleep(0.1)
            revision += 1
            for name, other in sim.instances.items():
                if name != "n1":
                    other.task.fleet.applied[SERVICE] = revision + 1
                    other.task.report_to_fleet()
            await asyncio.sleep(0.01)
            fleet.is_vouched_for(sim.now)
            fleet.applied[SERVICE] = revision  # Always one table behind the others.
            vouched.append(fleet.is_vouched_for(sim.now))
        return vouched

    assert all(run_fleet(scenario, instances=5))


def test_orders_name_the_endpoint_that_they_are_for():
    """A new endpoint at the address of one that had crashed was granted its keys with
    the same fencing token."""
    heads = []

    class Pool:
        @contextlib.asynccontextmanager
        async def connection(self, address, **options):
            yield self

        async def exchange(self, head, body, timeout):
            heads.append(head.lower())
            return Answer(200, b"", (), b"", reusable=True)

    async def scenario():
        orders = KeyOrders(Pool(), FakeLog(), 10.0)
        endpoint = Endpoint("e1", "s", Address("h", 1), "z", 2, False, 0.0, 1)
        await orders.grant(endpoint, KeyRange(0, 9, "e1", 1, 7))
        await orders.release(endpoint, KeyRange(0, 9, "e1", 1, 7))

    run(scenario())
    assert len(heads) == 2
    assert all(b"expect-instance: e1\r\n" in head for head in heads)
