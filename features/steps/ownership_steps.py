"""Steps for ownership, on several cores with fake endpoints and a fake platform.

`World` checks after each message that no unit has two owners; a violation fails the
step in which it occurs. In the steps, a key stands for the unit that contains it.
"""

import dataclasses

from behave import given, then, when
from fakes import TICK_SECONDS, World, swaps_configuration

from arbutusflow.domain.configuration import EndpointState
from arbutusflow.domain.records import Proof


class ObservedWorld(World):
    """World that also measures for how long each unit is not served."""

    def start_measuring(self):
        """Run until every unit is served, record the owners and start measuring."""
        self.settle()
        self.owners_at_start = self.owners()
        self.longest_unserved = dict.fromkeys(self.units(), 0.0)
        self._unserved_seconds = dict.fromkeys(self.units(), 0.0)
        self.decisions.clear()

    def owners(self):
        table = self.platform.table()
        return {unit: table.row(unit).owner for unit in self.units()}

    def run_measured(self, seconds):
        """Run for `seconds`, and sample at each tick which units are served."""
        for _ in range(round(seconds / TICK_SECONDS)):
            self.run(TICK_SECONDS)
            for unit in self.units():
                served = self.served_by(unit) is not None
                self._unserved_seconds[unit] = (
                    0.0 if served else self._unserved_seconds[unit] + TICK_SECONDS
                )
                self.longest_unserved[unit] = max(
                    self.longest_unserved[unit], self._unserved_seconds[unit]
                )

    def served_within(self, seconds):
        """Run until all units are served; return whether they are within `seconds`."""
        for _ in range(round(seconds / TICK_SECONDS)):
            if self.all_served():
                return True
            self.run_measured(TICK_SECONDS)
        return self.all_served()

    def names_in_zone(self, zone):
        """Return the names of the instances and endpoints of a zone."""
        names = [n for n, item in self.instances.items() if item.zone == zone]
        return names + [
            n for n, item in self.endpoints.items() if item.endpoint.zone == zone
        ]


def make_world(context, cfg, zones):
    context.world = ObservedWorld(cfg, instances=())
    for name, zone in zones.items():
        context.world.start(name, zone)


@given("a service with {count:d} endpoints and {instances:d} entry instances")
def step_service(context, count, instances):
    zones = {f"i{number}": "a" for number in range(instances)}
    make_world(context, swaps_configuration(endpoints=count), zones)


@given(
    "a service with {count:d} endpoints that check no tokens and {instances:d} "
    "entry instances"
)
def step_service_without_tokens(context, count, instances):
    zones = {f"i{number}": "a" for number in range(instances)}
    make_world(
        context, swaps_configuration(endpoints=count, checks_tokens=False), zones
    )


@given("a service with {count:d} endpoints in zones {zones} and entry instances")
def step_service_in_zones(context, count, zones):
    cfg = swaps_configuration(endpoints=count, zones=tuple(zones.split(", ")))
    instances = {row["instance"]: row["zone"] for row in context.table}
    make_world(context, cfg, instances)


@given("every key is served")
def step_start_with_all_keys_served(context):
    context.world.start_measuring()


@when("{seconds:g} seconds pass")
def step_time_passes(context, seconds):
    context.world.run_measured(seconds)


@when("endpoint {name} exits")
def step_endpoint_exits(context, name):
    context.world.endpoints[name].exit()


@when("endpoint {name} freezes")
def step_endpoint_freezes(context, name):
    context.world.endpoints[name].freeze()


@when("endpoint {name} resumes")
def step_endpoint_resumes(context, name):
    context.world.endpoints[name].resume()


@when("an operator drains endpoint {name}")
def step_drain(context, name):
    cfg = context.world.cfg
    service = cfg.services[0]
    endpoints = tuple(
        dataclasses.replace(item, state=EndpointState.DRAINING)
        if item.name == name
        else item
        for item in service.endpoints
    )
    service = dataclasses.replace(service, endpoints=endpoints)
    changed = dataclasses.replace(cfg, number=cfg.number + 1, services=(service,))
    context.world.configure(changed)


@when("the coordinator of {name} exits")
def step_coordinator_exits(context, name):
    context.instance = context.world.coordinator(name)
    context.world.exit(context.instance)


@when("the coordinator of {name} freezes")
def step_coordinator_freezes(context, name):
    context.instance = context.world.coordinator(name)
    context.world.pause(context.instance)


@when("the frozen coordinator resumes")
def step_coordinator_resumes(context):
    context.world.resume(context.instance)


@when("the coordinator of {name} is stopped gracefully")
def step_graceful_stop(context, name):
    context.instance = context.world.coordinator(name)
    context.world.stop(context.instance)


@when("all entry instances restart")
def step_restart_all(context):
    for name in list(context.world.instances):
        context.world.exit(name)
    for name, instance in context.world.instances.items():
        context.world.start(name, instance.zone)


@when("the platform goes down")
def step_platform_down(context):
    context.world.platform.up = False


@when("the platform is up again")
def step_platform_up(context):
    context.world.platform.up = True


@when("each platform write takes {seconds:g} seconds")
def step_writes_delayed(context, seconds):
    context.world.platform.write_delay = seconds


@when("the answers of the platform are lost")
def step_answers_lost(context):
    context.world.platform.loses_answers = True


@when("zone {zone} is cut off")
def step_zone_cut(context, zone):
    world = context.world
    inside = world.names_in_zone(zone)
    outside = [n for n in (*world.instances, *world.endpoints) if n not in inside]
    for one in inside:
        for other in (*outside, "platform"):
            world.cut(one, other)


@when("the zones are connected again")
def step_zones_reconnected(context):
    context.world.heal()


@when("zone {zone} is lost")
def step_zone_lost(context, zone):
    world = context.world
    for name in world.names_in_zone(zone):
        if name in world.instances:
            world.exit(name)
        else:
            world.endpoints[name].exit()
    # Connections to the lost zone time out instead of being refused.
    step_zone_cut(context, zone)


@when("an operator declares zone {zone} lost")
def step_zone_declared_lost(context, zone):
    world = context.world
    lost = world.names_in_zone(zone)
    # The fake membership reports an instance that has exited as gone only if it is not
    # cut off. Removing the cuts has the same effect on the members' view as declaring
    # the zone lost.
    instances = set(world.instances)
    world.cuts = {pair for pair in world.cuts if not pair <= instances}
    for name in lost:
        if name in world.endpoints:
            world.declare_lost(name, Proof.OPERATOR_DECLARED)


@then("every key is served again within {seconds:g} seconds")
def step_served_within(context, seconds):
    # The effect of a fault shows only in the first sample after it.
    context.world.run_measured(TICK_SECONDS)
    assert context.world.served_within(seconds - TICK_SECONDS), "keys are not served"


@then("every key is served")
def step_served_now(context):
    unserved = [u for u in context.world.units() if not context.world.served_by(u)]
    assert not unserved, f"units {unserved} are not served"


@then("no key has two owners")
def step_one_owner(context):
    context.world.check()


@then('the keys moved with the proof "{proof}" only')
def step_moved_with_proof(context, proof):
    proofs = {item for item in context.world.proofs() if item}
    assert proofs == {proof}, proofs


@then("every key has the owner that it had at the start")
def step_same_owners(context):
    assert context.world.owners() == context.world.owners_at_start


@then("endpoint {name} owns no key")
def step_owns_none(context, name):
    assert name not in context.world.owners().values()


@then("endpoint {name} accepts no requests for keys that it does not own")
def step_accepts_owned_keys_only(context, name):
    world = context.world
    owners = world.owners()
    accepted = [u for u in world.units() if world.would_accept(name, u)]
    assert all(owners[unit] == name for unit in accepted), accepted


@then("no key was unserved for longer than {seconds:g} seconds")
def step_unserved(context, seconds):
    longest = max(context.world.longest_unserved.values())
    assert longest <= seconds + 1e-9, f"a unit was unserved for {longest:.1f} s"


@then(
    "no key was unserved for longer than a request with {seconds:g} seconds left "
    "can wait"
)
def step_requests_waited(context, seconds):
    # A request waits in the coordinator's queue while its unit is not served, so it is
    # refused only if that takes longer than its deadline allows.
    step_unserved(context, seconds)


@then("no unit changed its owner more than once")
def step_one_move(context):
    moved = [d.subject for d in context.world.decisions if " to " in d.what]
    assert len(moved) == len(set(moved)), moved


@then("{name} has one dispatching instance")
def step_one_dispatcher(context, name):
    world = context.world
    units = [u for u, owner in world.owners().items() if owner == name]
    senders = {sender for u in units for sender in world.dispatchers(name, u)}
    assert len(senders) == 1, senders


@then("no other instance dispatches to {name}")
def step_no_dispatcher(context, name):
    world = context.world
    senders = {s for u in world.units() for s in world.dispatchers(name, u)}
    assert not senders, senders


@then("the stopped instance coordinates no endpoint")
def step_coordinates_no_endpoint(context):
    world = context.world
    assert world.instances[context.instance].core.is_handover_finished()
    recorded = {world.coordinator(name) for name in world.endpoints}
    assert context.instance not in recorded, recorded
