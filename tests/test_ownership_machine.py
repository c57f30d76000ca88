"""Stateful test of the ownership core under arbitrary sequences of faults.

`World.check` runs after every message. It checks that each endpoint that would run
requests for a unit is the recorded owner of the unit, that at most one instance
dispatches to an endpoint that does not check tokens, and that epochs, sequences,
fences and terms never decrease. A move without a valid proof fails the first check,
because the previous owner would still accept requests for the unit. At the end, all
faults are repaired and every unit must be served again.
"""

import dataclasses

from fakes import World, swaps_configuration
from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from arbutusflow.domain.configuration import EndpointState
from arbutusflow.domain.records import Proof

INSTANCES = ("i0", "i1", "i2")
ENDPOINTS = ("e0", "e1", "e2")
instances = st.sampled_from(INSTANCES)
endpoints = st.sampled_from(ENDPOINTS)
# Recovery takes the detection time, a lease and a few platform calls. The limit is
# several times that, so only a recovery that never completes exceeds it.
RECOVERY_TIMEOUT_SECONDS = 15.0


def mixed_configuration():
    """Return a configuration with one endpoint that does not check tokens."""
    cfg = swaps_configuration(endpoints=3, partitions=4)
    service = cfg.services[0]
    last = dataclasses.replace(service.endpoints[-1], checks_tokens=False)
    items = (*service.endpoints[:-1], last)
    return dataclasses.replace(
        cfg, services=(dataclasses.replace(service, endpoints=items),)
    )


class OwnershipMachine(RuleBasedStateMachine):
    """Injects faults into instances, endpoints, the network and the platform."""

    world_type = World

    def __init__(self):
        super().__init__()
        self.world = self.world_type(mixed_configuration(), INSTANCES)
        self.world.settle()

    @rule(seconds=st.sampled_from([0.05, 0.2, 0.5, 1.1, 1.6, 3.0]))
    def run(self, seconds):
        self.world.run(seconds)

    @rule(name=instances, fault=st.sampled_from(["pause", "exit", "stop"]))
    def fail_instance(self, name, fault):
        getattr(self.world, fault)(name)

    @rule(name=instances, restart=st.booleans())
    def restore_instance(self, name, restart):
        if restart or not self.world.instances[name].running:
            self.world.exit(name)
            self.world.start(name)
        elif self.world.instances[name].paused:
            self.world.resume(name)

    @rule(
        name=endpoints,
        fault=st.sampled_from(["freeze", "exit", "resume", "restart"]),
        delay=st.sampled_from([0.0, 0.0, 0.3, 0.5, 1.3]),
        loses_answers=st.booleans(),
    )
    def change_endpoint(self, name, fault, delay, loses_answers):
        endpoint = self.world.endpoints[name]
        endpoint.delay, endpoint.loses_answers = delay, loses_answers
        if fault == "restart":
            endpoint.exit()
            endpoint.start()
        else:
            getattr(endpoint, fault)()

    @rule(one=instances, other=st.sampled_from([*INSTANCES, *ENDPOINTS, "platform"]))
    def cut(self, one, other):
        if one != other:
            self.world.cut(one, other)

    @rule(name=instances, seconds=st.sampled_from([0.2, 1.1, 3.0]))
    def isolate(self, name, seconds):
        self.world.isolate(name)
        self.world.run(seconds)

    @rule(viewer=instances, suspect=instances)
    def add_false_suspicion(self, viewer, suspect):
        if viewer != suspect:
            self.world.false_suspicions.add((viewer, suspect))

    @rule()
    def heal(self):
        self.world.heal()

    @rule(
        up=st.booleans(),
        loses_answers=st.booleans(),
        delay=st.sampled_from([0.0, 0.0, 0.2, 1.0, 3.0]),
    )
    def change_platform(self, up, loses_answers, delay):
        platform = self.world.platform
        platform.up, platform.loses_answers = up, loses_answers
        platform.write_delay = delay

    @rule(name=endpoints, state=st.sampled_from(EndpointState))
    def set_endpoint_state(self, name, state):
        cfg = self.world.cfg
        service = cfg.services[0]
        items = tuple(
            dataclasses.replace(e, state=state) if e.name == name else e
            for e in service.endpoints
        )
        service = dataclasses.replace(service, endpoints=items)
        self.world.configure(
            dataclasses.replace(cfg, number=cfg.number + 1, services=(service,))
        )

    @rule(name=endpoints, proof=st.sampled_from(["OPERATOR_DECLARED", "PLATFORM_GONE"]))
    def declare_lost(self, name, proof):
        if not self.world.endpoints[name].running:
            self.world.declare_lost(name, Proof[proof])

    @invariant()
    def ownership_is_exclusive(self):
        self.world.check()

    def repair(self):
        """End all faults."""
        world = self.world
        world.heal()
        platform = world.platform
        platform.up, platform.loses_answers, platform.write_delay = True, False, 0.0
        for name, endpoint in world.endpoints.items():
            endpoint.delay, endpoint.loses_answers = 0.0, False
            endpoint.resume()
            if not endpoint.running:
                endpoint.start()
            self.set_endpoint_state(name, EndpointState.ACTIVE)
        for name, instance in world.instances.items():
            self.restore_instance(name, restart=False)
            # A stop requested during a pause is delivered when the pause ends.
            if instance.core._state.stopping:
                self.restore_instance(name, restart=True)

    def teardown(self):
        self.repair()
        self.world.run_until(self.world.all_served, RECOVERY_TIMEOUT_SECONDS)


TestOwnershipMachine = OwnershipMachine.TestCase
TestOwnershipMachine.settings = settings(
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=100,
    stateful_step_count=40,
)
