"""Both rules on endpoints' statements hold in any order of events.

Hypothesis mixes statements with restarts and freezes of instances, reads of the store
that lag, late writes, addresses and identifiers that are used again, reports between
instances and new configurations. The audit of the soak test applies the rules.

Guards against requests that reach an endpoint although it said that it leaves or wants
none, and against services that stay refused after all statements have ended.
"""

import asyncio

from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from arbutusflow.gateway.model import Address
from tests.gateway.statement_world import StatementWorld
from tests.gateway.virtual_time import VirtualTimeLoop

INSTANCES = ("n0", "n1")
ENDPOINTS = {"e0": "b", "e1": "b", "k0": "a", "k1": "a"}
PATHS = {"b": (b"/safe/1", b"/once/1"), "a": (b"/keyed/1",)}
instances = st.sampled_from(INSTANCES)
endpoints = st.sampled_from(sorted(ENDPOINTS))
RECOVERY_SECONDS = 8.0


class StatementMachine(RuleBasedStateMachine):
    """Plays endpoints that make statements, beside faults."""

    def __init__(self):
        super().__init__()
        self.runner = asyncio.Runner(loop_factory=VirtualTimeLoop)
        self.runner.run(self._start())

    async def _start(self):
        self.world = world = StatementWorld(INSTANCES)
        for number, (name, service) in enumerate(ENDPOINTS.items()):
            world.start_endpoint(name, Address("h", 1 + number), service)
            world.publish(name)

    def act(self, action, *args):
        """Call a method within the event loop."""

        async def main():
            return action(*args)

        return self.runner.run(main())

    @rule(seconds=st.sampled_from([0.01, 0.3, 0.6, 1.1, 2.1, 5.0]))
    def run(self, seconds):
        self.runner.run(self.world.run(seconds))

    @rule(
        instance=instances,
        path=st.sampled_from([b"/safe/1", b"/once/1", b"/keyed/1"]),
        owner=st.sampled_from(["k0", "k1"]),
        count=st.integers(1, 4),
    )
    def send(self, instance, path, owner, count):
        for _ in range(count):
            self.act(self.world.send, instance, path, owner)

    @rule(endpoint=endpoints, published=st.booleans())
    def say_leaving(self, endpoint, published):
        self.world.processes[endpoint].leaving = True
        if published:
            self.act(self.world.publish, endpoint, "draining")

    @rule(endpoint=endpoints, seconds=st.sampled_from([0.2, 0.8, 2.5, 6.0, 3600.0]))
    def ask_to_wait(self, endpoint, seconds):
        process = self.world.processes[endpoint]
        process.wait_until = max(process.wait_until, self.act(self._now) + seconds)

    def _now(self):
        return self.world.now

    @rule(endpoint=endpoints, seconds=st.sampled_from([0.02, 0.4, 1.5]))
    def change_speed(self, endpoint, seconds):
        self.world.processes[endpoint].work_seconds = seconds

    @rule(endpoint=endpoints, published=st.booleans())
    def start_again(self, endpoint, published):
        """Start an endpoint under its identifier and address."""
        address = self.world.processes[endpoint].address
        self.act(self.world.start_endpoint, endpoint, address, ENDPOINTS[endpoint])
        if published:
            self.act(self.world.publish, endpoint)

    @rule(endpoint=endpoints, other=endpoints, published=st.booleans())
    def use_address_again(self, endpoint, other, published):
        """Start an endpoint at the address of another one, which moves."""
        if endpoint == other:
            return
        world = self.world
        address, free = (
            world.processes[other].address,
            world.processes[endpoint].address,
        )
        self.act(world.start_endpoint, endpoint, address, ENDPOINTS[endpoint])
        self.act(world.start_endpoint, other, free, ENDPOINTS[other])
        if published:
            self.act(world.publish, endpoint)
            self.act(world.publish, other)

    @rule(endpoint=endpoints, state=st.sampled_from(["ready", "draining"]))
    def write_entry(self, endpoint, state):
        """Write an entry, late or not: it may say what is no longer so."""
        self.act(self.world.publish, endpoint, state)

    @rule(endpoint=endpoints)
    def unlist(self, endpoint):
        self.act(self.world.unlist, endpoint)

    @rule(instance=instances, reads_store=st.booleans())
    def change_reading(self, instance, reads_store):
        self.act(self.world.set_reading, instance, reads_store)

    @rule(instance=instances, fault=st.sampled_from(["restart", "freeze", "thaw"]))
    def disturb(self, instance, fault):
        self.act(getattr(self.world, fault), instance)

    @rule(one=instances, other=instances)
    def report(self, one, other):
        self.act(self.world.report, one, other)

    @rule(max_attempts=st.integers(1, 3))
    def configure(self, max_attempts):
        self.act(self.world.configure, max_attempts)

    @invariant()
    def rules_hold(self):
        assert self.world.violations == []

    def teardown(self):
        try:
            self.rules_hold()
            self._recover()
            self.rules_hold()
        finally:
            self.act(self.world.close)
            self.runner.close()

    def _recover(self):
        """Start all endpoints anew, and check that each path is served again."""
        world = self.world
        for name in INSTANCES:
            self.act(world.thaw, name)
            self.act(world.set_reading, name, True)
        for name, process in list(world.processes.items()):
            self.act(world.start_endpoint, name, process.address, ENDPOINTS[name])
            self.act(world.publish, name)
        self.runner.run(world.run(RECOVERY_SECONDS))
        for name in INSTANCES:
            for path in (b"/safe/1", b"/once/1", b"/keyed/1"):
                assert self.runner.run(self._answer(name, path)) == 200

    async def _answer(self, name, path):
        return await self.world.send(name, path, "k0")


TestStatementMachine = StatementMachine.TestCase
TestStatementMachine.settings = settings(
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=100,
    stateful_step_count=40,
)
