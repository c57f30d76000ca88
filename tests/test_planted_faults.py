"""Mutation tests of the checks that the tests of the ownership core rely on.

Each mutation disables one safety rule of the core or of an endpoint. Its scenario
passes with the rule and must fail without it, which shows that `World.check` detects
the violations that the rule prevents.
"""

import dataclasses
import math

import msgspec
import pytest
from fakes import SERVICE, World, swaps_configuration

from arbutusflow.domain import coordination, ownership_state
from arbutusflow.domain.configuration import EndpointState
from arbutusflow.domain.coordination import Coordinator
from arbutusflow.domain.object_writes import ObjectWriter
from arbutusflow.domain.ownership import OwnershipCore
from arbutusflow.domain.ownership_state import OwnershipState
from arbutusflow.domain.records import LeaseRefusal
from arbutusflow.domain.succession import Succession
from arbutusflow.standins.endpoint_gate import EndpointLease


def started_world(**config):
    world = World(swaps_configuration(**config))
    world.settle()
    world.run(1)
    return world


def set_endpoint_state(world, name, state=EndpointState.DRAINING):
    service = world.cfg.services[0]
    items = tuple(
        dataclasses.replace(e, state=state) if e.name == name else e
        for e in service.endpoints
    )
    service = dataclasses.replace(service, endpoints=items)
    number = world.cfg.number + 1
    world.configure(dataclasses.replace(world.cfg, number=number, services=(service,)))


def endpoint_applies_renewals_but_its_replies_are_lost():
    world = started_world()
    world.endpoints["e0"].loses_answers = True
    world.run_until(lambda: not world.platform.table().units_of("e0"), 4)
    world.run(2)


def replaced_coordinator_continues_granting():
    world = started_world()
    stale = world.coordinator("e0")
    world.isolate(stale)
    world.run_until(lambda: world.coordinator("e0") != stale, 4)
    world.run(1)
    set_endpoint_state(world, "e0")
    world.run_until(lambda: not world.platform.table().units_of("e0"), 4)
    world.run(2)


def renewal_arrives_after_a_later_one():
    world = started_world()
    set_endpoint_state(world, "e0")
    world.run_until(lambda: not world.platform.table().units_of("e0"), 4)
    world.run(1)
    set_endpoint_state(world, "e0", EndpointState.ACTIVE)
    world.endpoints["e0"].delay = 2.0
    world.run_until(lambda: world.platform.table().units_of("e0"), 4)
    world.run(0.5)
    world.endpoints["e0"].delay = 0.0
    world.run(0.8)
    assert world.endpoints["e0"].lease.held
    set_endpoint_state(world, "e0")
    world.run(4)


def failover_write_takes_effect_late():
    """The endpoint restarts while the failover write has no response."""
    world = started_world()
    world.platform.write_delay, world.platform.delayed_prefix = 4.0, "table/"
    world.endpoints["e0"].exit()
    world.run(0.6)
    world.endpoints["e0"].start()
    world.run(5)
    world.platform.write_delay = 0.0
    world.run(2)
    assert world.all_served()


def failover_write_of_an_exited_coordinator_takes_effect_late():
    world = started_world()
    world.platform.write_delay = 6.0
    world.endpoints["e0"].exit()
    world.run(0.6)
    world.platform.write_delay = 0.0
    world.exit(world.coordinator("e0"))
    world.endpoints["e0"].start()
    world.run(8)
    assert world.all_served()


def successor_renews_an_endpoint_that_the_coordinator_finds_lost():
    world = started_world()
    name = world.coordinator("e0")
    successor = world.platform.record("e0").successors[0]
    world.cut(name, "e0")
    world.cut(successor, "platform")
    world.false_suspicions.add((successor, name))
    world.run(6)


def coordinator_dispatches_after_a_pause_before_a_renewal():
    world = started_world()
    name = world.coordinator("e0")
    core = world.instances[name].core
    unit = next(iter(world.platform.table().units_of("e0")))
    world.cut(name, "e0")
    world.pause(name)
    world.run(0.52)
    world.resume(name)
    assert core.dispatch_token("e0", SERVICE, unit, world.now) is None


def only_the_replaced_coordinator_reaches_the_endpoint():
    world = started_world()
    old = world.coordinator("e0")
    world.isolate(old)
    for other in world.instances.keys() - {old}:
        world.cut(other, "e0")
    world.run(8)
    assert world.coordinator("e0") != old


def delay_failover_write(world, delay=6.0):
    world.platform.write_delay, world.platform.delayed_prefix = delay, "table/"
    name = world.coordinator("e0")
    world.cut(name, "e0")
    world.run(3.4)
    assert world.instances[name].core._writer.has_pending_write("table/swaps")


def successor_takes_over_during_a_failover():
    world = started_world()
    delay_failover_write(world)
    world.exit(world.coordinator("e0"))
    world.run(8)


def second_successor_takes_over_during_a_failover():
    world = started_world()
    delay_failover_write(world, delay=9.0)
    first = world.coordinator("e0")
    world.exit(first)
    world.run_until(lambda: world.coordinator("e0") != first, 3)
    world.exit(world.coordinator("e0"))
    world.run(8)


def endpoint_returns_during_a_failover_and_its_coordinator_is_suspected():
    world = started_world()
    name = world.coordinator("e0")
    successor = world.platform.record("e0").successors[0]
    delay_failover_write(world, delay=5.0)
    world.heal()
    world.run(1)
    world.false_suspicions.add((successor, name))
    world.cut(successor, "platform")
    world.run(6)


def stopping_coordinator_without_token_check_loses_all_connections():
    world = started_world(checks_tokens=False)
    name = world.coordinator("e0")
    world.stop(name)
    pending = world.instances[name].core._writer._pending

    def is_successor_write_pending():
        write = pending.get("endpoint/e0")
        return write is not None and write.action.record.coordinator != name

    for _ in range(200):
        if is_successor_write_pending():
            break
        world.run(0.001)
    assert is_successor_write_pending()
    world.isolate(name)
    world.cut(name, "e0")
    world.run(2)


def endpoint_drains_while_a_grant_is_unacknowledged():
    world = started_world()
    set_endpoint_state(world, "e0")
    world.run_until(lambda: not world.platform.table().units_of("e0"), 4)
    world.run(1)
    set_endpoint_state(world, "e0", EndpointState.ACTIVE)
    world.endpoints["e0"].loses_answers = True
    world.run_until(lambda: world.endpoints["e0"].lease.held, 1)
    world.endpoints["e0"].delay = 0.3
    set_endpoint_state(world, "e0")
    world.run(0.5)
    world.endpoints["e0"].delay = 0.0
    world.endpoints["e0"].loses_answers = False
    world.run(3)


def successor_renews_until_it_exits(restarts=False):
    world = started_world()
    world.suspicion_seconds = 0.1
    name = world.coordinator("e0")
    successor = world.platform.record("e0").successors[0]
    world.cut(name, "e0")
    world.cut(successor, "platform")
    world.false_suspicions.add((successor, name))
    world.run(5)
    assert world.endpoints["e0"].lease.term == 17
    world.exit(successor)
    if restarts:
        world.heal()
        world.cut(name, "e0")
        world.start(successor)
    world.run(4)


def successor_renews_until_it_restarts():
    successor_renews_until_it_exits(restarts=True)


def drop_former_instances(monkeypatch):
    original = Succession._write_new_epoch

    def patched(succession, *arguments):
        original(succession, *arguments)
        for pending in succession._writer._pending.values():
            record = getattr(pending.action, "record", None)
            if record is not None:
                changed = msgspec.structs.replace(record, former=())
                object.__setattr__(pending.action, "record", changed)

    monkeypatch.setattr(Succession, "_write_new_epoch", patched)


def skip_fence_before_renewal(monkeypatch):
    original = Succession.start_acting
    monkeypatch.setattr(
        Succession,
        "start_acting",
        lambda self, name, term, now, must_fence=False: original(self, name, term, now),
    )


def skip_fence_for_successors(monkeypatch):
    original = OwnershipState.is_table_fenced
    monkeypatch.setattr(
        OwnershipState,
        "is_table_fenced",
        lambda self, service, name: (
            not self.is_recorded_coordinator(name) or original(self, service, name)
        ),
    )


def allow_new_record_version_during_failover(monkeypatch):
    monkeypatch.setattr(
        "arbutusflow.domain.object_writes.ObjectWriter.units_moving_away",
        lambda self, service, endpoint: set(),
    )


def keep_coordinating_after_handover(monkeypatch):
    original = Succession.stop_acting

    def patched(succession, endpoint, why):
        if not why.startswith("handing over"):
            original(succession, endpoint, why)

    monkeypatch.setattr(Succession, "stop_acting", patched)


def forget_unacknowledged_units(monkeypatch):
    original = Coordinator._build_renewal

    def patched(coordinator, service, endpoint, coordination_state, now):
        renewal = original(coordinator, service, endpoint, coordination_state, now)
        coordination_state.unacknowledged_units.clear()
        return renewal

    monkeypatch.setattr(Coordinator, "_build_renewal", patched)


def skip_wait_after_exit_of_successor(monkeypatch):
    original = OwnershipState.apply_members

    def patched(state, members, now):
        original(state, members, now)
        state.gone_at = dict.fromkeys(state.gone_at, -math.inf)

    monkeypatch.setattr(OwnershipState, "apply_members", patched)


def ignore_renewals_before_restart(monkeypatch):
    original = OwnershipCore.handle

    def patched(core, event, now):
        core._state.started_at = -math.inf
        return original(core, event, now)

    monkeypatch.setattr(OwnershipCore, "handle", patched)


def skip_wait_for_lease_expiry(monkeypatch):
    monkeypatch.setattr(coordination, "LEASE_BOUND_SECONDS", -math.inf)


def disable_refusal(monkeypatch, refusal):
    original = EndpointLease._refusal

    def patched(gate, renewal):
        found = original(gate, renewal)
        return None if found is refusal else found

    monkeypatch.setattr(EndpointLease, "_refusal", patched)
    # `FakeEndpoint.renew` has a check of its own, which would fail before the checks of
    # ownership do.
    monkeypatch.setattr(
        "fakes.FakeEndpoint.renew",
        lambda self, renewal, now: self.lease.renew(renewal, self.clock(now), 0, False),
    )


def disable_term_check(monkeypatch):
    disable_refusal(monkeypatch, LeaseRefusal.LOWER_TERM)


def disable_order_check(monkeypatch):
    disable_refusal(monkeypatch, LeaseRefusal.OLDER_RENEWAL)


def disable_read_back(monkeypatch):
    def drop_pending_write(writer, name, operation, now):
        writer._pending.pop(name, None)

    monkeypatch.setattr(ObjectWriter, "request_read_back", drop_pending_write)


def disable_fence(monkeypatch):
    def is_known(state, service, endpoint):
        return service in state.tables and endpoint in state.records

    monkeypatch.setattr(OwnershipState, "is_table_fenced", is_known)


def disable_renouncement(monkeypatch):
    def assume_renounced(coordinator, endpoint, coordination_state, instances, now):
        coordination_state.renouncements.update(dict.fromkeys(instances, -math.inf))

    monkeypatch.setattr(Coordinator, "_request_renouncements", assume_renounced)


def disable_pause_detection(monkeypatch):
    monkeypatch.setattr(ownership_state, "MAX_TICK_GAP_SECONDS", math.inf)


@pytest.mark.parametrize(
    ("scenario", "disable_rule"),
    [
        (
            endpoint_applies_renewals_but_its_replies_are_lost,
            skip_wait_for_lease_expiry,
        ),
        (replaced_coordinator_continues_granting, disable_term_check),
        (renewal_arrives_after_a_later_one, disable_order_check),
        (failover_write_takes_effect_late, disable_read_back),
        (failover_write_of_an_exited_coordinator_takes_effect_late, disable_fence),
        (
            successor_renews_an_endpoint_that_the_coordinator_finds_lost,
            disable_renouncement,
        ),
        (only_the_replaced_coordinator_reaches_the_endpoint, drop_former_instances),
        (successor_takes_over_during_a_failover, skip_fence_before_renewal),
        (
            second_successor_takes_over_during_a_failover,
            skip_fence_for_successors,
        ),
        (
            endpoint_returns_during_a_failover_and_its_coordinator_is_suspected,
            allow_new_record_version_during_failover,
        ),
        (
            stopping_coordinator_without_token_check_loses_all_connections,
            keep_coordinating_after_handover,
        ),
        (
            endpoint_drains_while_a_grant_is_unacknowledged,
            forget_unacknowledged_units,
        ),
        (successor_renews_until_it_exits, skip_wait_after_exit_of_successor),
        (successor_renews_until_it_restarts, ignore_renewals_before_restart),
        (
            coordinator_dispatches_after_a_pause_before_a_renewal,
            disable_pause_detection,
        ),
    ],
    ids=lambda item: item.__name__,
)
def test_disabled_rule_is_detected(scenario, disable_rule, monkeypatch):
    scenario()
    disable_rule(monkeypatch)
    with pytest.raises(AssertionError, match=" owns |unit |Token|dispatch to"):
        scenario()
