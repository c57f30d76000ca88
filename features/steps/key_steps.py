"""Steps for the owners of keys, on the simulated fleet of the gateway's tests.

A key that two endpoints hold at once is noted at each sample and at each grant.
"""

import asyncio
import dataclasses
import os

from behave import given, then, when

from arbutusflow.gateway.dispatch import KEY_WAIT_SECONDS
from tests.gateway.sim_fleet import SAMPLED_KEYS, SimFleet
from tests.gateway.virtual_time import VirtualTimeLoop

SAMPLE_SECONDS = 0.05
START_SECONDS = 8.0


class ObservedFleet:
    """Simulated fleet whose clock moves step by step, with samples of all owners."""

    def __init__(self, instances):
        self._runner = asyncio.Runner(loop_factory=VirtualTimeLoop)
        self._log_fd = os.open(os.devnull, os.O_WRONLY)
        self.sim = self._runner.run(self._create(instances))
        self.frozen = None
        self._tasks = []
        self._start_measuring()

    async def _create(self, instances):
        return SimFleet(1, self._log_fd, instances)

    def close(self):
        """End all instances."""
        for instance in self.sim.instances.values():
            instance.kill()
        self._runner.close()
        os.close(self._log_fd)

    def _start_measuring(self):
        self.owners_at_start = self.owners()
        self.last_owner = dict(self.owners_at_start)
        self.moves = dict.fromkeys(SAMPLED_KEYS, 0)
        self.longest_unserved = dict.fromkeys(SAMPLED_KEYS, 0.0)
        self._unserved_seconds = dict.fromkeys(SAMPLED_KEYS, 0.0)
        self.doubly_held = set()

    def settle(self):
        """Run until all keys should be served, and start measuring."""
        self._runner.run(asyncio.sleep(START_SECONDS))
        self._start_measuring()

    def run(self, seconds):
        """Run for `seconds`, and sample the owners."""
        for _ in range(round(seconds / SAMPLE_SECONDS)):
            self._runner.run(asyncio.sleep(SAMPLE_SECONDS))
            self._sample()

    def start(self, coroutine):
        """Run a coroutine beside the steps that follow."""

        async def create():
            return asyncio.create_task(coroutine)

        self._tasks.append(self._runner.run(create()))

    def _holders(self, key):
        sim = self.sim
        return [
            name
            for name, endpoint in sim.endpoints.items()
            if endpoint.token_for(key, sim.now) is not None
        ]

    def owners(self):
        """Return the endpoint that holds each key, or None."""
        return {key: next(iter(self._holders(key)), None) for key in SAMPLED_KEYS}

    def _sample(self):
        for key in SAMPLED_KEYS:
            holders = self._holders(key)
            if len(holders) > 1:
                self.doubly_held.add(key)
            if holders and holders[0] != self.last_owner[key]:
                self.moves[key] += 1
                self.last_owner[key] = holders[0]
            self._unserved_seconds[key] = (
                0.0 if holders else self._unserved_seconds[key] + SAMPLE_SECONDS
            )
            self.longest_unserved[key] = max(
                self.longest_unserved[key], self._unserved_seconds[key]
            )

    def served_within(self, seconds):
        """Run until all keys are served; return whether they are within `seconds`."""
        until = self.sim.now + seconds
        while self.sim.held_key_share() < 1.0 and self.sim.now < until:
            self.run(SAMPLE_SECONDS)
        return self.sim.held_key_share() == 1.0

    def renewing_instance(self, endpoint):
        """Return the instance that renewed the leases of an endpoint last."""
        ages = {
            name: reports[endpoint].sent_age
            for name, instance in self.sim.instances.items()
            if endpoint in (reports := instance.task.orders.lease_reports(self.sim.now))
        }
        return min(ages, key=ages.__getitem__)


@given("{count:d} endpoints and {instances:d} instances in zones z0, z1")
def step_fleet(context, count, instances):
    context.fleet = ObservedFleet(instances)
    assert len(context.fleet.sim.endpoints) == count
    zones = {instance.zone for instance in context.fleet.sim.instances.values()}
    assert zones == {"z0", "z1"}


@given("every key is served")
def step_settled(context):
    context.fleet.settle()
    assert context.fleet.sim.held_key_share() == 1.0


@when("{seconds:g} seconds pass")
def step_wait(context, seconds):
    context.fleet.run(seconds)


@when("endpoint {name} exits")
def step_endpoint_exits(context, name):
    sim = context.fleet.sim
    sim.endpoints[name].leases = []
    sim.closed_ports.add(name)
    sim.unlisted.add(name)


@when("endpoint {name} freezes")
def step_endpoint_freezes(context, name):
    sim = context.fleet.sim
    sim.blocked_orders.update((instance, name) for instance in sim.instances)


@when("endpoint {name} freezes and its entry vanishes")
def step_endpoint_freezes_and_vanishes(context, name):
    step_endpoint_freezes(context, name)
    context.fleet.sim.unlisted.add(name)


@when("endpoint {name} resumes")
def step_endpoint_resumes(context, name):
    sim = context.fleet.sim
    sim.blocked_orders.difference_update((instance, name) for instance in sim.instances)


@when("endpoint {name} resumes and is listed again")
def step_endpoint_returns(context, name):
    step_endpoint_resumes(context, name)
    context.fleet.sim.unlisted.discard(name)


@when("endpoint {name} drains")
def step_endpoint_drains(context, name):
    process = context.fleet.sim.endpoints[name]
    process.endpoint = dataclasses.replace(process.endpoint, draining=True)


@when("the instance that renews the leases of {endpoint} exits")
def step_instance_exits(context, endpoint):
    fleet = context.fleet
    fleet.sim.instances.pop(fleet.renewing_instance(endpoint)).kill()


@when("the instance that renews the leases of {endpoint} freezes")
def step_instance_freezes(context, endpoint):
    fleet = context.fleet
    fleet.frozen = fleet.sim.instances[fleet.renewing_instance(endpoint)]
    fleet.frozen.suspended = True


@when("the frozen instance resumes")
def step_instance_resumes(context):
    context.fleet.frozen.suspended = False


@when("the instance that renews the leases of {endpoint} stops as planned")
def step_instance_stops(context, endpoint):
    fleet = context.fleet
    fleet.start(fleet.sim.instances[fleet.renewing_instance(endpoint)].stop())


@when("all instances restart")
def step_all_restart(context):
    sim = context.fleet.sim

    async def restart():
        for name in list(sim.instances):
            sim.restart(name)

    context.fleet.start(restart())


@when("the store goes down")
def step_store_down(context):
    sim = context.fleet.sim
    sim.store.unreachable_for.update(sim.instances)


@when("the store is up again")
def step_store_up(context):
    context.fleet.sim.store.unreachable_for.clear()


@when("each call to the store takes {seconds:g} seconds")
def step_store_slow(context, seconds):
    context.fleet.sim.store.transit_seconds = seconds


@when("the answers of the store are lost")
def step_store_loses_answers(context):
    context.fleet.sim.store.lose_answers = True


@when("zone {zone} is cut off")
def step_zone_cut_off(context, zone):
    sim = context.fleet.sim
    inside = {name for name, item in sim.instances.items() if item.zone == zone}
    for name in sim.instances:
        sim.blocked_datagrams.update(
            (name, other)
            for other in sim.instances
            if (name in inside) != (other in inside)
        )
        sim.blocked_orders.update(
            (name, other.endpoint.id)
            for other in sim.endpoints.values()
            if (name in inside) != (other.endpoint.zone == zone)
        )
    sim.store.unreachable_for.update(inside)


@when("the zones are connected again")
def step_zones_connected(context):
    sim = context.fleet.sim
    sim.blocked_datagrams.clear()
    sim.blocked_orders.clear()
    sim.store.unreachable_for.clear()


@then("every key is served")
def step_every_key_served(context):
    assert context.fleet.sim.held_key_share() == 1.0


@then("every key is served again within {seconds:g} seconds")
def step_served_within(context, seconds):
    assert context.fleet.served_within(seconds), context.fleet.sim.held_key_share()


@then("endpoint {name} owns no key")
def step_owns_no_key(context, name):
    assert name not in context.fleet.owners().values()


@then("every key has the owner that it had at the start")
def step_owners_unchanged(context):
    assert context.fleet.owners() == context.fleet.owners_at_start


@then("no key moved")
def step_no_moves(context):
    assert set(context.fleet.moves.values()) == {0}


@then("no key moved more than once")
def step_one_move(context):
    assert max(context.fleet.moves.values()) == 1


@then("no key moved between the other endpoints")
def step_others_keep_their_keys(context):
    fleet = context.fleet
    for key, count in fleet.moves.items():
        assert count == 0 or (fleet.owners_at_start[key] == "e0" and count == 1), key


@then("no key was unserved for longer than {seconds:g} seconds")
def step_longest_unserved(context, seconds):
    assert max(context.fleet.longest_unserved.values()) <= seconds


@then("no key was unserved for longer than a request waits")
def step_longest_wait(context):
    assert max(context.fleet.longest_unserved.values()) <= KEY_WAIT_SECONDS


@then("the keys of zone {zone} were never unserved")
def step_zone_served(context, zone):
    fleet = context.fleet
    longest = {
        fleet.longest_unserved[key]
        for key, owner in fleet.owners_at_start.items()
        if fleet.sim.endpoints[owner].endpoint.zone == zone
    }
    assert longest == {0.0}


@then("no key had two owners")
def step_one_owner(context):
    assert context.fleet.sim.violations == []
    assert context.fleet.doubly_held == set()
