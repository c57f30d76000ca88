"""Faults planted in the core or at an endpoint must be found by the checks.

Each fault takes away one rule of the design page. The scenario passes with the
rule and fails without it, so it shows that `World.check` sees what the rule
prevents.
"""

import dataclasses
import math

import msgspec
import pytest
from fakes import SERVICE, World, swaps

from arbutusflow.domain import coordination, ownership_state
from arbutusflow.domain.configuration import EndpointState
from arbutusflow.domain.coordination import Coordinator
from arbutusflow.domain.object_writes import ObjectWriter
from arbutusflow.domain.ownership import OwnershipCore
from arbutusflow.domain.ownership_state import OwnershipState
from arbutusflow.domain.records import LeaseRefusal
from arbutusflow.domain.succession import Succession
from arbutusflow.standins.endpoint_gate import EndpointGate


def started(**config):
    world = World(swaps(**config))
    world.settle()
    world.run(1)
    return world


def drain(world, name, state=EndpointState.DRAINING):
    service = world.cfg.services[0]
    items = tuple(
        dataclasses.replace(e, state=state) if e.name == name else e
        for e in service.endpoints
    )
    service = dataclasses.replace(service, endpoints=items)
    number = world.cfg.number + 1
    world.configure(dataclasses.replace(world.cfg, number=number, services=(service,)))


def endpoint_applies_renewals_but_its_answers_are_lost():
    world = started()
    world.endpoints["e0"].loses_answers = True
    world.run_until(lambda: not world.platform.table().units_of("e0"), 4)
    world.run(2)


def replaced_coordinator_goes_on_granting():
    world = started()
    stale = world.coordinator("e0")
    world.isolate(stale)
    world.run_until(lambda: world.coordinator("e0") != stale, 4)
    world.run(1)
    drain(world, "e0")
    world.run_until(lambda: not world.platform.table().units_of("e0"), 4)
    world.run(2)


def renewal_arrives_after_a_later_one():
    world = started()
    drain(world, "e0")
    world.run_until(lambda: not world.platform.table().units_of("e0"), 4)
    world.run(1)
    drain(world, "e0", EndpointState.ACTIVE)
    world.endpoints["e0"].delay = 2.0
    world.run_until(lambda: world.platform.table().units_of("e0"), 4)
    world.run(0.5)
    world.endpoints["e0"].delay = 0.0
    world.run(0.8)
    assert world.endpoints["e0"].gate.held
    drain(world, "e0")
    world.run(4)


def loss_move_takes_effect_late():
    """The endpoint restarts while the answer of the loss move is outstanding."""
    world = started()
    world.platform.write_delay, world.platform.delayed = 4.0, "table/"
    world.endpoints["e0"].exit()
    world.run(0.6)
    world.endpoints["e0"].start()
    world.run(5)
    world.platform.write_delay = 0.0
    world.run(2)
    assert world.all_served()


def loss_move_of_an_exited_coordinator_takes_effect_late():
    world = started()
    world.platform.write_delay = 6.0
    world.endpoints["e0"].exit()
    world.run(0.6)
    world.platform.write_delay = 0.0
    world.exit(world.coordinator("e0"))
    world.endpoints["e0"].start()
    world.run(8)
    assert world.all_served()


def successor_goes_on_renewing_what_the_coordinator_finds_lost():
    world = started()
    name = world.coordinator("e0")
    successor = world.platform.record("e0").successors[0]
    world.cut(name, "e0")
    world.cut(successor, "platform")
    world.suspicions.add((successor, name))
    world.run(6)


def coordinator_dispatches_after_a_pause_before_a_renewal():
    world = started()
    name = world.coordinator("e0")
    core = world.instances[name].core
    unit = next(iter(world.platform.table().units_of("e0")))
    world.cut(name, "e0")
    world.pause(name)
    world.run(0.52)
    world.resume(name)
    assert core.dispatch_token("e0", SERVICE, unit, world.now) is None


def replaced_coordinator_alone_reaches_the_endpoint():
    world = started()
    old = world.coordinator("e0")
    world.isolate(old)
    for other in world.instances.keys() - {old}:
        world.cut(other, "e0")
    world.run(8)
    assert world.coordinator("e0") != old


def lease_move_takes_effect_late(world, delay=6.0):
    world.platform.write_delay, world.platform.delayed = delay, "table/"
    name = world.coordinator("e0")
    world.cut(name, "e0")
    world.run(3.4)
    assert world.instances[name].core._writer.has_pending_write("table/swaps")


def successor_takes_over_during_a_loss_move():
    world = started()
    lease_move_takes_effect_late(world)
    world.exit(world.coordinator("e0"))
    world.run(8)


def second_successor_takes_over_during_a_loss_move():
    world = started()
    lease_move_takes_effect_late(world, delay=9.0)
    first = world.coordinator("e0")
    world.exit(first)
    world.run_until(lambda: world.coordinator("e0") != first, 3)
    world.exit(world.coordinator("e0"))
    world.run(8)


def endpoint_returns_during_a_loss_move_and_its_coordinator_is_suspected():
    world = started()
    name = world.coordinator("e0")
    successor = world.platform.record("e0").successors[0]
    lease_move_takes_effect_late(world, delay=5.0)
    world.heal()
    world.run(1)
    world.suspicions.add((successor, name))
    world.cut(successor, "platform")
    world.run(6)


def stopping_coordinator_without_token_check_loses_all_links():
    world = started(checks_tokens=False)
    name = world.coordinator("e0")
    world.stop(name)
    pending = world.instances[name].core._writer._pending

    def heir_asked_for():
        write = pending.get("endpoint/e0")
        return write is not None and write.action.record.coordinator != name

    for _ in range(200):
        if heir_asked_for():
            break
        world.run(0.001)
    assert heir_asked_for()
    world.isolate(name)
    world.cut(name, "e0")
    world.run(2)


def endpoint_drains_while_a_grant_is_not_acknowledged():
    world = started()
    drain(world, "e0")
    world.run_until(lambda: not world.platform.table().units_of("e0"), 4)
    world.run(1)
    drain(world, "e0", EndpointState.ACTIVE)
    world.endpoints["e0"].loses_answers = True
    world.run_until(lambda: world.endpoints["e0"].gate.held, 1)
    world.endpoints["e0"].delay = 0.3
    drain(world, "e0")
    world.run(0.5)
    world.endpoints["e0"].delay = 0.0
    world.endpoints["e0"].loses_answers = False
    world.run(3)


def rival_renews_until_it_ends(restarts=False):
    world = started()
    world.suspicion = 0.1
    name = world.coordinator("e0")
    rival = world.platform.record("e0").successors[0]
    world.cut(name, "e0")
    world.cut(rival, "platform")
    world.suspicions.add((rival, name))
    world.run(5)
    assert world.endpoints["e0"].gate.term == 17
    world.exit(rival)
    if restarts:
        world.heal()
        world.cut(name, "e0")
        world.start(rival)
    world.run(4)


def rival_renews_until_it_restarts():
    rival_renews_until_it_ends(restarts=True)


def plant_no_former_instances(monkeypatch):
    rule = Succession._write_epoch

    def without(succession, *arguments):
        rule(succession, *arguments)
        for pending in succession._writer._pending.values():
            record = getattr(pending.action, "record", None)
            if record is not None:
                changed = msgspec.structs.replace(record, former=())
                object.__setattr__(pending.action, "record", changed)

    monkeypatch.setattr(Succession, "_write_epoch", without)


def plant_no_fence_before_renewal(monkeypatch):
    rule = Succession.begin
    monkeypatch.setattr(
        Succession,
        "begin",
        lambda self, name, term, now, must_fence=False: rule(self, name, term, now),
    )


def plant_no_fence_for_successors(monkeypatch):
    rule = OwnershipState.fenced
    monkeypatch.setattr(
        OwnershipState,
        "fenced",
        lambda self, service, name: (
            not self.is_recorded_coordinator(name) or rule(self, service, name)
        ),
    )


def plant_new_record_version_during_a_loss_move(monkeypatch):
    monkeypatch.setattr(
        "arbutusflow.domain.object_writes.ObjectWriter.units_moving_away",
        lambda self, service, endpoint: set(),
    )


def plant_no_end_before_the_heir(monkeypatch):
    rule = Succession.stop

    def without(succession, endpoint, why):
        if not why.startswith("handing over"):
            rule(succession, endpoint, why)

    monkeypatch.setattr(Succession, "stop", without)


def plant_no_note_of_offered_units(monkeypatch):
    rule = Coordinator._renewal

    def without(coordinator, service, endpoint, known, now):
        renewal = rule(coordinator, service, endpoint, known, now)
        known.unacknowledged_units.clear()
        return renewal

    monkeypatch.setattr(Coordinator, "_renewal", without)


def plant_no_wait_after_the_end_of_a_rival(monkeypatch):
    rule = OwnershipState.apply_members

    def without(state, members, now):
        rule(state, members, now)
        state.gone_at = dict.fromkeys(state.gone_at, -math.inf)

    monkeypatch.setattr(OwnershipState, "apply_members", without)


def plant_no_renewals_before_the_start(monkeypatch):
    rule = OwnershipCore.handle

    def without(core, event, now):
        core._state.started_at = -math.inf
        return rule(core, event, now)

    monkeypatch.setattr(OwnershipCore, "handle", without)


def plant_no_wait_for_lease_expiry(monkeypatch):
    monkeypatch.setattr(coordination, "LEASE_BOUND_SECONDS", -math.inf)


def plant_no_refusal(monkeypatch, refusal):
    rule = EndpointGate._refusal

    def without(gate, renewal):
        found = rule(gate, renewal)
        return None if found is refusal else found

    monkeypatch.setattr(EndpointGate, "_refusal", without)
    # The endpoint's own check would find the fault before the owners do.
    monkeypatch.setattr(
        "fakes.FakeEndpoint.renew",
        lambda self, renewal, now: self.gate.renew(renewal, self.clock(now), 0, False),
    )


def plant_no_term_check(monkeypatch):
    plant_no_refusal(monkeypatch, LeaseRefusal.LOWER_TERM)


def plant_no_order_check(monkeypatch):
    plant_no_refusal(monkeypatch, LeaseRefusal.OLDER_RENEWAL)


def plant_no_read_back(monkeypatch):
    def forget(writer, name, operation, now):
        writer._pending.pop(name, None)

    monkeypatch.setattr(ObjectWriter, "read_back", forget)


def plant_no_fence(monkeypatch):
    def always(state, service, endpoint):
        return service in state.tables and endpoint in state.records

    monkeypatch.setattr(OwnershipState, "fenced", always)


def plant_no_renouncement(monkeypatch):
    def presume(coordinator, endpoint, known, instances, now):
        known.renouncements.update(dict.fromkeys(instances, -math.inf))

    monkeypatch.setattr(Coordinator, "_ask_renounce", presume)


def plant_no_clock_gap_check(monkeypatch):
    monkeypatch.setattr(ownership_state, "MAX_TICK_GAP_SECONDS", math.inf)


@pytest.mark.parametrize(
    ("scenario", "plant"),
    [
        (
            endpoint_applies_renewals_but_its_answers_are_lost,
            plant_no_wait_for_lease_expiry,
        ),
        (replaced_coordinator_goes_on_granting, plant_no_term_check),
        (renewal_arrives_after_a_later_one, plant_no_order_check),
        (loss_move_takes_effect_late, plant_no_read_back),
        (loss_move_of_an_exited_coordinator_takes_effect_late, plant_no_fence),
        (
            successor_goes_on_renewing_what_the_coordinator_finds_lost,
            plant_no_renouncement,
        ),
        (replaced_coordinator_alone_reaches_the_endpoint, plant_no_former_instances),
        (successor_takes_over_during_a_loss_move, plant_no_fence_before_renewal),
        (
            second_successor_takes_over_during_a_loss_move,
            plant_no_fence_for_successors,
        ),
        (
            endpoint_returns_during_a_loss_move_and_its_coordinator_is_suspected,
            plant_new_record_version_during_a_loss_move,
        ),
        (
            stopping_coordinator_without_token_check_loses_all_links,
            plant_no_end_before_the_heir,
        ),
        (
            endpoint_drains_while_a_grant_is_not_acknowledged,
            plant_no_note_of_offered_units,
        ),
        (rival_renews_until_it_ends, plant_no_wait_after_the_end_of_a_rival),
        (rival_renews_until_it_restarts, plant_no_renewals_before_the_start),
        (
            coordinator_dispatches_after_a_pause_before_a_renewal,
            plant_no_clock_gap_check,
        ),
    ],
    ids=lambda item: item.__name__,
)
def test_planted_fault_is_found(scenario, plant, monkeypatch):
    scenario()
    plant(monkeypatch)
    with pytest.raises(AssertionError, match=" owns |unit |Token|dispatch to"):
        scenario()
