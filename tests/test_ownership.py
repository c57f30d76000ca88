"""Tests of the ownership core for each kind of failure that affects ownership.

`World` checks after every step that each endpoint that would run requests for a unit
is the recorded owner of the unit, and that only one instance dispatches to an
endpoint that does not check tokens.
"""

import dataclasses

import pytest
from fakes import SERVICE, World, swaps_configuration

from arbutusflow.domain.configuration import EndpointState
from arbutusflow.domain.ownership import OwnershipCore
from arbutusflow.domain.ownership_messages import (
    RecordChanged,
    TableChanged,
    Tick,
    WriteOutcomeUnknown,
    WriteRecord,
)
from arbutusflow.domain.records import Proof

RECOVERY_TARGET_SECONDS = 3.0  # All units must be served again within this time.


def settled_world(**config):
    world = World(swaps_configuration(**config))
    world.settle()
    world.run(1)
    world.decisions.clear()
    return world


def with_state(cfg, name, state):
    return with_endpoints(
        cfg,
        tuple(
            dataclasses.replace(e, state=state) if e.name == name else e
            for e in cfg.services[0].endpoints
        ),
    )


def with_endpoints(cfg, endpoints):
    service = dataclasses.replace(cfg.services[0], endpoints=endpoints)
    return dataclasses.replace(cfg, number=cfg.number + 1, services=(service,))


def test_all_units_are_granted_after_a_start():
    """Guards against a unit that is never granted after the first start."""
    world = World(swaps_configuration())
    world.run_until(world.all_served, RECOVERY_TARGET_SECONDS)
    assert set(world.proofs()) == {Proof.NEVER_OWNED.value}
    counts = world.platform.table().counts().values()
    assert max(counts) - min(counts) <= 1


@pytest.mark.parametrize("checks_tokens", [True, False])
def test_units_of_an_exited_endpoint_move(checks_tokens):
    world = settled_world(checks_tokens=checks_tokens)
    world.endpoints["e0"].exit()
    world.run(0.4)
    world.run_until(world.all_served, RECOVERY_TARGET_SECONDS - 0.4)
    assert set(world.proofs()) == {Proof.PROCESS_EXITED.value}
    assert world.platform.record("e0").incarnation == ""


def test_units_of_a_frozen_endpoint_move_and_it_refuses_requests_when_resumed():
    """Guards against two owners when a frozen endpoint resumes."""
    world = settled_world()
    held = dict(world.endpoints["e0"].lease.held)
    world.endpoints["e0"].freeze()
    world.run(0.4)
    world.run_until(world.all_served, RECOVERY_TARGET_SECONDS - 0.4)
    assert set(world.proofs()) == {Proof.LEASE_EXPIRED.value}
    world.endpoints["e0"].resume()
    assert not any(world.would_accept("e0", unit) for unit in held)
    world.run(5)
    assert world.all_served()
    assert world.platform.table().units_of("e0")


def test_units_of_a_frozen_endpoint_without_token_check_do_not_move():
    """Guards against a second owner while the first one cannot be fenced."""
    world = settled_world(checks_tokens=False)
    before = world.platform.table().units_of("e0")
    world.endpoints["e0"].freeze()
    world.run(60)
    assert world.platform.table().units_of("e0") == before
    assert world.proofs() == []


@pytest.mark.parametrize(
    ("checks_tokens", "fault", "served"),
    [
        (True, "exit", True),
        (True, "pause", True),
        (False, "exit", True),
        (False, "pause", False),
    ],
)
def test_loss_of_a_coordinator(checks_tokens, fault, served):
    world = settled_world(checks_tokens=checks_tokens)
    lost = world.coordinator("e0")
    getattr(world, fault)(lost)
    world.run(RECOVERY_TARGET_SECONDS)
    owned = [u for u in world.units() if u in world.platform.table().units_of("e0")]
    assert all(world.served_by(unit) for unit in owned) is served
    assert world.proofs() == []
    if fault == "pause":
        world.resume(lost)
        world.run(RECOVERY_TARGET_SECONDS)
        assert world.all_served()


def test_units_of_a_draining_endpoint_move():
    world = settled_world()
    world.configure(with_state(world.cfg, "e0", EndpointState.DRAINING))
    world.run_until(lambda: not world.platform.table().units_of("e0"), 3)
    assert set(world.proofs()) == {Proof.REVOKED.value}
    world.run(0.5)
    assert world.all_served()
    assert world.endpoints["e0"].lease.held == {}


def test_units_of_an_endpoint_that_announces_draining_move():
    world = settled_world()
    world.endpoints["e0"].draining = True
    world.run_until(lambda: not world.platform.table().units_of("e0"), 3)
    assert set(world.proofs()) == {Proof.REVOKED.value}


@pytest.mark.parametrize("endpoint", ["e0", "e1", "e2", "e3"])
def test_endpoint_that_announces_draining_gets_no_units(endpoint):
    """Guards against planners that ignore a notice that only its coordinator got."""
    world = settled_world(endpoints=4, partitions=16)
    world.endpoints[endpoint].draining = True
    world.run(6)
    assert not world.platform.table().units_of(endpoint)
    moves = [decision.what for decision in world.decisions]
    assert not [move for move in moves if move.endswith(f" to {endpoint}")]


def test_units_of_a_removed_endpoint_move():
    """Guards against units without a coordinator after a configuration change."""
    world = settled_world()
    remaining = world.cfg.services[0].endpoints[1:]
    world.configure(with_endpoints(world.cfg, remaining))
    world.run_until(lambda: not world.platform.table().units_of("e0"), 3)
    assert set(world.proofs()) == {Proof.REVOKED.value}
    world.run(1)
    assert not any(i.core.is_coordinating("e0") for i in world.instances.values())


def test_planned_stop_hands_over_without_a_gap():
    """A unit may wait for a few round trips, but not for a tick or a lease."""
    world = settled_world()
    stopping = world.coordinator("e0")
    world.stop(stopping)
    gap = 0.0
    for _ in range(200):
        world.run(0.01)
        gap += 0.0 if world.all_served() else 0.01
    assert world.instances[stopping].core.is_handover_finished()
    assert world.proofs() == []
    assert gap < 0.1  # One tick.


def test_planned_stop_without_token_check_hands_over():
    world = settled_world(checks_tokens=False)
    stopping = world.coordinator("e0")
    world.stop(stopping)
    world.run(1)
    assert world.instances[stopping].core.is_handover_finished()
    assert world.all_served()


def test_planned_stop_without_token_check_during_a_platform_outage():
    """Guards against an endpoint that has no coordinator until the outage ends."""
    world = settled_world(checks_tokens=False)
    stopping = world.coordinator("e0")
    world.platform.up = False
    world.stop(stopping)
    for _ in range(20):
        world.run(0.1)
        assert world.all_served()
    world.run_until(world.instances[stopping].core.is_handover_finished, 1)
    world.platform.up = True
    world.run(1)
    assert world.all_served()
    assert world.coordinator("e0") != stopping


def test_last_instance_can_stop():
    """Guards against a stop that waits for a successor when there is none."""
    world = World(swaps_configuration(), instances=("i0",))
    world.settle()
    world.stop("i0")
    world.run(0.5)
    assert world.instances["i0"].core.is_handover_finished()


def stop_and_exit(world, name):
    world.stop(name)
    world.run_until(world.instances[name].core.is_handover_finished, 3)
    world.exit(name)


@pytest.mark.parametrize(
    ("fault", "moves"),
    [
        (lambda world: world.endpoints["e0"].exit(), True),
        (lambda world: world.endpoints["e0"].freeze(), True),
        (lambda world: world.exit(world.coordinator("e0")), False),
        (lambda world: world.pause(world.coordinator("e0")), False),
        (lambda world: stop_and_exit(world, world.coordinator("e0")), False),
    ],
    ids=[
        "endpoint exits",
        "endpoint freezes",
        "instance exits",
        "instance pauses",
        "stop",
    ],
)
def test_fault_in_a_platform_outage(fault, moves):
    """Leases and takeovers work in an outage; units of lost endpoints do not move."""
    world = settled_world()
    world.platform.up = False
    fault(world)
    writes = world.platform.writes
    world.run(6)
    assert world.platform.writes == writes
    assert world.all_served() is not moves
    world.platform.up = True
    world.run(RECOVERY_TARGET_SECONDS)
    assert world.all_served()
    assert bool(world.proofs()) is moves


def test_writes_with_lost_responses_are_resolved_by_reading_back():
    """Guards against a write that blocks its object or takes effect twice."""
    world = World(swaps_configuration())
    world.platform.loses_answers = True
    world.run_until(world.all_served, 10)
    assert world.platform.table().row(0).sequence == 1


def test_write_that_did_not_reach_the_platform_is_resent():
    """Guards against an object that stays blocked after a lost request."""
    world = settled_world()
    world.endpoints["e0"].exit()
    world.platform.up = False
    world.run(1)
    world.platform.up = True
    world.run_until(world.all_served, RECOVERY_TARGET_SECONDS)


def test_lost_write_of_a_new_object_is_resent():
    """Guards against waiting forever for an object that does not exist yet."""
    core = OwnershipCore.from_config("i0", "a", swaps_configuration())
    core.handle(RecordChanged("endpoint/e0", 0, None), 1.0)
    write = next(a for a in core.handle(Tick(), 1.0) if isinstance(a, WriteRecord))
    core.handle(WriteOutcomeUnknown(write.name, write.operation), 1.3)
    core.handle(RecordChanged(write.name, 0, None), 1.4)
    actions = core.handle(Tick(), 1.6)
    assert write.record in [getattr(action, "record", None) for action in actions]


def test_concurrent_planners_do_not_overwrite_each_other():
    world = World(swaps_configuration())
    for name in world.instances:
        for other in world.instances:
            if name != other:
                world.false_suspicions.add((name, other))
    world.run(3)
    world.false_suspicions.clear()
    world.settle()
    assert {world.platform.table().row(u).sequence for u in world.units()} == {1}


@pytest.mark.parametrize("platform_up", [True, False])
def test_all_instances_restart(platform_up):
    """Guards against an instance that reuses a term of its previous process."""
    world = settled_world()
    terms = {name: world.platform.record(name).term for name in world.endpoints}
    world.platform.up = platform_up
    for name in world.instances:
        world.exit(name)
        world.start(name)
    world.run(5)
    assert world.all_served() is platform_up
    world.platform.up = True
    world.run(RECOVERY_TARGET_SECONDS)
    assert world.all_served()
    assert all(world.platform.record(n).term > terms[n] for n in terms)
    assert world.proofs() == []


def test_restarted_instance_accounts_for_renewals_of_its_previous_process():
    """Guards against a failover while a lease of the previous process is valid."""
    world = settled_world()
    coordinator = world.coordinator("e0")
    successor = world.platform.record("e0").successors[0]
    world.cut(coordinator, "e0")
    world.false_suspicions.add((successor, coordinator))
    world.run(0.45)
    world.false_suspicions.clear()
    world.exit(successor)
    world.endpoints["e0"].freeze()
    world.start(successor)
    world.run(8)
    world.heal()
    world.endpoints["e0"].resume()
    world.run(2)
    assert world.all_served()


def test_paused_coordinator_dispatches_only_after_a_renewal():
    """Guards against dispatch by a process that cannot tell how long it was paused."""
    world = settled_world()
    name = world.coordinator("e0")
    core = world.instances[name].core
    unit = next(iter(world.platform.table().units_of("e0")))
    assert core.dispatch_token("e0", SERVICE, unit, world.now)
    world.pause(name)
    world.run(0.52)
    # By the clock alone, the lease is still valid.
    assert core._state.coordination("e0").dispatch_until > world.now
    assert core.dispatch_token("e0", SERVICE, unit, world.now) is None
    world.cut(name, "e0")
    world.resume(name)
    world.run(0.1)
    assert core._state.coordination("e0").dispatch_until > world.now
    assert core.dispatch_token("e0", SERVICE, unit, world.now) is None
    world.heal()
    world.run(0.8)
    assert core.dispatch_token("e0", SERVICE, unit, world.now)


@pytest.mark.parametrize("proof", [Proof.OPERATOR_DECLARED, Proof.PLATFORM_GONE])
def test_units_of_an_endpoint_declared_lost_move(proof):
    world = settled_world(checks_tokens=False)
    world.endpoints["e0"].freeze()
    world.run(2)
    # The declaration is true: the frozen process ends without any instance noticing.
    world.endpoints["e0"].running = False
    world.cut("e0", world.coordinator("e0"))
    world.declare_lost("e0", proof)
    world.run_until(world.all_served, RECOVERY_TARGET_SECONDS)
    assert set(world.proofs()) == {proof.value}


def test_units_of_a_responsive_endpoint_declared_lost_do_not_move():
    world = settled_world()
    world.declare_lost("e0", Proof.OPERATOR_DECLARED)
    world.run(3)
    assert world.proofs() == []


def test_stale_coordinator_does_not_overwrite_a_later_fence():
    """Guards against a failover by an instance that gets tables but no records."""
    world = settled_world()
    stale = world.coordinator("e0")
    core = world.instances[stale].core
    table = world.platform.get(f"table/{SERVICE}")
    fenced = world.platform.table().with_epochs({"e0": 2}).encode("other#1")
    core.handle(TableChanged(f"table/{SERVICE}", table[0] + 1, fenced), world.now)
    core._state.coordination("e0").exited = True
    actions = core.handle(Tick(), world.now + 0.1)
    assert not any(hasattr(action, "table") for action in actions)


def test_endpoint_that_holds_an_unknown_unit_has_to_drop_it():
    """Guards against an error after a service was recreated with fewer partitions."""
    world = settled_world()
    world.endpoints["e0"].lease.held[99] = 1
    assert world.instances["i0"].core.owner_of(SERVICE, 99) is None
    world.run(1)
    assert 99 not in world.endpoints["e0"].lease.held


def test_joining_endpoint_gets_its_share_within_the_churn_budget():
    world = settled_world(partitions=32)
    item = dataclasses.replace(world.cfg.services[0].endpoints[0], name="e9", port=9)
    endpoints = (*world.cfg.services[0].endpoints, item)
    world.configure(with_endpoints(world.cfg, endpoints))
    world.run(20)
    counts = world.platform.table().counts()
    assert max(counts.values()) - min(counts.values()) <= 1
    assert set(world.proofs()) == {Proof.REVOKED.value}
    assert len(world.proofs()) == counts["e9"]
    assert world.all_served()
