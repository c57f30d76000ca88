"""Keys keep one owner when the store goes back to an earlier copy, in any order.

Hypothesis mixes returns of the store with instances that notice them late, answers of
an earlier era that arrive late, grants that are applied late, ends and freezes of
instances, and endpoints that come and go. The product's own modules run in virtual
time; `SimFleet` checks every grant and every table that comes into force.

Guards against two owners of a key, a key that goes to another endpoint with a token
that is not higher, a table of an earlier era that replaces one of a later era, and keys
that stay without an owner.
"""

import asyncio
import os
import random

import pytest
from hypothesis import Phase, settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from arbutusflow.gateway import key_leases, key_planner, key_table
from arbutusflow.gateway.fleet import Fleet
from arbutusflow.gateway.model import StorePoint
from tests.gateway.sim_fleet import SAMPLED_KEYS, SimFleet, SimStore, SimStoreClient
from tests.gateway.virtual_time import VirtualTimeLoop

INSTANCES = ("n0", "n1", "n2")
ENDPOINTS = ("e0", "e1", "e2", "e3")
START_SECONDS = 8.0
RECOVERY_SECONDS = 20.0
MOVE_SECONDS = 9.0  # For the keys of an endpoint that is lost.
COPY_AGES = (0.3, 1.0, 2.5, 6.0)
AWAY_SECONDS = (0.1, 0.6, 2.5)
LOST_PART_SECONDS = (0.5, 1.5, 5.8)
WAYS_TO_LEAVE = ("drain", "crash", "restart")
RESTARTED = ((), INSTANCES[:1], INSTANCES)  # Instances, right after the store is back.
# Between returns in a row: without a first table, with one, and with moves.
ERA_SECONDS = (0.3, 0.9, 1.4, 3.0, 9.0)
ISOLATED_SECONDS = 12.0  # Longer than any grant of an earlier era is waited for.
instances = st.sampled_from(INSTANCES)


class StoreEraMachine(RuleBasedStateMachine):
    """Plays a fleet whose store goes back, beside faults."""

    unlisted_at_start = ()  # Endpoints.

    def __init__(self):
        super().__init__()
        self.runner = asyncio.Runner(loop_factory=VirtualTimeLoop)
        self.runner.run(self._start())

    async def _start(self):
        self._log_fd = os.open(os.devnull, os.O_WRONLY)
        self.sim = SimFleet(1, self._log_fd, len(INSTANCES))
        self.sim.unlisted = set(self.unlisted_at_start)
        # Grants are lost or late by the rules below only.
        self.sim.datagram_loss = 0.0
        await asyncio.sleep(START_SECONDS)

    @rule(seconds=st.sampled_from([0.05, 0.3, 1.0, 2.0, 4.5]))
    def run(self, seconds):
        self.runner.run(asyncio.sleep(seconds))

    @rule(age=st.sampled_from(COPY_AGES), away=st.sampled_from(AWAY_SECONDS))
    def store_goes_back(self, age, away):
        self.runner.run(self.sim.store_goes_back(age, away))

    @rule(instance=instances)
    def cut_off(self, instance):
        """Let an instance miss what the store does, and other instances, too."""
        self.sim.store.unreachable_for.add(instance)
        for other in INSTANCES:
            self.sim.blocked_datagrams |= {(instance, other), (other, instance)}

    @rule(instance=instances)
    def lose_store(self, instance):
        self.sim.store.unreachable_for.add(instance)

    @rule(instance=instances)
    def notice(self, instance):
        self.sim.store.unreachable_for.discard(instance)
        self.sim.blocked_datagrams = {
            pair for pair in self.sim.blocked_datagrams if instance not in pair
        }

    @rule(instance=instances, seconds=st.sampled_from([0.0, 0.4, 1.5]))
    def answer_late(self, instance, seconds):
        self.sim.store.late_seconds[instance] = seconds

    @rule(share=st.sampled_from([0.0, 0.3, 1.0]))
    def apply_grants_late(self, share):
        self.sim.late_grant_share = share

    @rule(lost=st.booleans())
    def lose_answers(self, lost):
        self.sim.store.lose_answers = lost

    @rule(instance=instances)
    def restart(self, instance):
        async def main():
            self.sim.restart(instance)

        self.runner.run(main())

    @rule(instance=instances, suspended=st.booleans())
    def suspend(self, instance, suspended):
        self.sim.instances[instance].suspended = suspended

    @rule(endpoint=st.sampled_from(ENDPOINTS), listed=st.booleans())
    def list_endpoint(self, endpoint, listed):
        if listed or len(self.sim.unlisted) < len(ENDPOINTS) - 1:
            change = self.sim.unlisted.discard if listed else self.sim.unlisted.add
            change(endpoint)

    @rule(
        endpoint=st.sampled_from(ENDPOINTS),
        other=st.sampled_from(ENDPOINTS),
        seconds=st.sampled_from(LOST_PART_SECONDS),
        restarted=st.sampled_from(RESTARTED),
        way=st.sampled_from(WAYS_TO_LEAVE),
    )
    def lose_move(self, endpoint, other, seconds, restarted, way):
        """Move the keys of an endpoint in the part that is lost, and then once more.

        The second time, they go to other endpoints if `other` is missing.
        """
        self.leave(endpoint, way)
        self.run(seconds)
        self.come_back(endpoint)
        self.store_goes_back(seconds + 0.1, AWAY_SECONDS[0])
        for instance in restarted:
            self.restart(instance)
        self.run(0.5)
        self.leave(endpoint, way)
        self.list_endpoint(other, listed=False)
        self.run(1.0)
        self.come_back(endpoint)
        self.come_back(other)

    @rule(instance=instances, endpoint=st.sampled_from(ENDPOINTS))
    def outlive_lost_part(self, instance, endpoint):
        """Move keys while an instance is suspended; all others end with the store."""
        self.suspend(instance, suspended=True)
        self.leave(endpoint, "drain")
        self.run(6.0)
        self.come_back(endpoint)
        self.store_goes_back(6.5, AWAY_SECONDS[0])
        for other in INSTANCES:
            if other != instance:
                self.restart(other)
        self.suspend(instance, suspended=False)
        self.run(2.0)

    @rule(instance=instances, endpoint=st.sampled_from(ENDPOINTS))
    def isolate_after_return(self, instance, endpoint):
        """Cut an instance off that knows the era; the others move keys meanwhile."""
        self.store_goes_back(COPY_AGES[0], AWAY_SECONDS[0])
        self.run(0.3)
        self.cut_off(instance)
        entry = self.sim.endpoints[endpoint].endpoint

        async def show():
            self.sim.show_outdated_entry(instance, entry, ISOLATED_SECONDS)

        self.runner.run(show())
        self.leave(endpoint, "drain")
        self.run(ISOLATED_SECONDS)
        self.notice(instance)
        self.come_back(endpoint)

    @rule(
        instance=instances,
        endpoint=st.sampled_from(ENDPOINTS),
        seconds=st.lists(st.sampled_from(ERA_SECONDS), min_size=2, max_size=5),
        missed=st.sampled_from((0, 1, 2)),
        way=st.sampled_from(WAYS_TO_LEAVE),
        late=st.booleans(),
    )
    def eras_in_a_row(self, instance, endpoint, seconds, missed, way, late):
        """Let the store go back several times, while an endpoint leaves.

        An instance is cut off in every other era, from an odd or an even one on, or in
        none. The others end with the last era.
        """
        self.apply_grants_late(0.3 if late else 0.0)
        self.leave(endpoint, way)
        for number, lasted in enumerate(seconds):
            self.store_goes_back(COPY_AGES[0], AWAY_SECONDS[0])
            self.run(0.2)  # It may learn of the era, and hold the right in it.
            if missed and (number + missed) % 2:
                self.cut_off(instance)
            self.run(lasted)
            if missed and not (number + missed) % 2:
                self.notice(instance)
        self.store_goes_back(COPY_AGES[0], AWAY_SECONDS[0])
        for other in INSTANCES:
            if other != instance:
                self.restart(other)
        self.notice(instance)
        self.run(1.0)
        self.come_back(endpoint)

    def leave(self, endpoint, way):
        """Let an endpoint leave; it releases its keys unless it crashes or starts."""
        if way == "crash":
            self.close_port(endpoint, closed=True)
        if way == "restart":
            self.sim.restart_endpoint(endpoint, {})
        else:
            self.list_endpoint(endpoint, listed=False)

    def come_back(self, endpoint):
        """List an endpoint, and open its port."""
        self.close_port(endpoint, closed=False)
        self.list_endpoint(endpoint, listed=True)

    @rule(endpoint=st.sampled_from(ENDPOINTS), closed=st.booleans())
    def close_port(self, endpoint, closed):
        ports = self.sim.closed_ports
        (ports.add if closed else ports.discard)(endpoint)

    @rule(key=st.sampled_from(SAMPLED_KEYS))
    def press_keys(self, key):
        self.sim.busy_keys = [key + i for i in range(4)] * 5

    @invariant()
    def rules_hold(self):
        assert self.sim.violations == []

    def recover(self):
        """End all faults, and lose an endpoint.

        Return the share of the keys that have an owner some time after each.
        """
        for name in INSTANCES:
            self.notice(name)
            self.suspend(name, suspended=False)
        for name in ENDPOINTS:
            self.come_back(name)
        self.sim.store.late_seconds.clear()
        self.sim.store.lose_answers = False
        self.sim.late_grant_share = 0.0
        self.sim.busy_keys = []
        self.run(RECOVERY_SECONDS)
        share = self.sim_share()
        self.leave(ENDPOINTS[0], "crash")
        self.run(MOVE_SECONDS)
        return share, self.sim_share()

    def sim_share(self):
        async def main():
            return self.sim.held_key_share()

        return self.runner.run(main())

    def teardown(self):
        try:
            self.rules_hold()
            shares = self.recover()
            self.rules_hold()
            assert shares == (1.0, 1.0)
        finally:
            self.close()

    def close(self):
        async def main():
            for instance in self.sim.instances.values():
                instance.kill()

        self.runner.run(main())
        self.runner.close()
        os.close(self._log_fd)


TestStoreEraMachine = StoreEraMachine.TestCase
TestStoreEraMachine.settings = settings(
    max_examples=20,
    stateful_step_count=12,
    deadline=None,
    derandomize=True,
    database=None,
    # To shrink a failure takes minutes; the long runs show what happens, too.
    phases=(Phase.generate,),
)


# Long runs of random steps. They find faults that need many of them.
STEPS = 40
SEEDS = (0, 1, 2, 4)


def random_step(machine, rng):
    """Play one step, drawn from `rng`."""
    instance, flag = rng.choice(INSTANCES), rng.random() < 0.5
    arguments = {
        "run": (rng.choice([0.05, 0.3, 1.0, 2.0, 4.5]),),
        "store_goes_back": (rng.choice(COPY_AGES), rng.choice(AWAY_SECONDS)),
        "cut_off": (instance,),
        "lose_store": (instance,),
        "notice": (instance,),
        "answer_late": (instance, rng.choice([0.0, 0.4, 1.5])),
        "apply_grants_late": (rng.choice([0.0, 0.0, 0.3, 1.0]),),
        "lose_answers": (rng.random() < 0.3,),
        "restart": (instance,),
        "suspend": (instance, rng.random() < 0.3),
        "list_endpoint": (rng.choice(ENDPOINTS), flag),
        "lose_move": (
            rng.choice(ENDPOINTS),
            rng.choice(ENDPOINTS),
            rng.choice(LOST_PART_SECONDS),
            rng.choice(RESTARTED),
            rng.choice(WAYS_TO_LEAVE),
        ),
        "outlive_lost_part": (instance, rng.choice(ENDPOINTS)),
        "isolate_after_return": (instance, rng.choice(ENDPOINTS)),
        "eras_in_a_row": (
            instance,
            rng.choice(ENDPOINTS),
            rng.choices(ERA_SECONDS, k=rng.randint(2, 5)),
            rng.choice((0, 1, 2)),
            rng.choice(WAYS_TO_LEAVE),
            rng.random() < 0.3,
        ),
        "close_port": (rng.choice(ENDPOINTS), rng.random() < 0.3),
        "press_keys": (rng.choice(SAMPLED_KEYS),),
    }
    weights = {
        "run": 5,
        "store_goes_back": 3,
        "notice": 4,
        "lose_move": 3,
        "eras_in_a_row": 3,
    }
    names = list(arguments)
    name = rng.choices(names, [weights.get(name, 1) for name in names])[0]
    getattr(machine, name)(*arguments[name])


def find_violations(seed):
    """Return the rules that broke in a long run, and keys that stay without owner."""
    rng, machine = random.Random(seed), StoreEraMachine()
    try:
        for _ in range(STEPS):
            random_step(machine, rng)
            if machine.sim.violations:
                return machine.sim.violations
        shares = machine.recover()
        if shares != (1.0, 1.0):
            machine.sim.violations.append(f"keys with an owner: {shares}")
        return machine.sim.violations
    finally:
        machine.close()


@pytest.mark.parametrize("seed", SEEDS)
def test_keys_keep_one_owner_in_long_runs(seed):
    assert find_violations(seed) == []


class _AnyEra:
    """Equal to each era."""

    def __eq__(self, other):
        return True

    def __hash__(self):
        return 0


def _order_by_revision_only(monkeypatch):
    """Let the instances see a store without eras."""
    monkeypatch.setattr(
        SimStore, "point", property(lambda s: StorePoint(0, s.revision))
    )
    monkeypatch.setattr(SimStore, "_in_era", lambda self, item: item)
    monkeypatch.setattr(SimStoreClient, "_accept", lambda self, era: None)
    monkeypatch.setattr(SimStoreClient, "_accept_write", lambda self, *eras: None)


def _keep_tokens(monkeypatch):
    """Let a later era give out the tokens of the lost part again."""
    for module in (key_planner, key_table):
        monkeypatch.setattr(module, "first_token", lambda era: 0)


def _use_restored_tables(monkeypatch):
    """Put a table of an earlier era in force when it is read in a later one."""
    parse = key_leases.parse_table_name

    def parse_for_any_era(name):
        parsed = parse(name)
        return None if parsed is None else (parsed[0], _AnyEra())

    monkeypatch.setattr(key_leases, "parse_table_name", parse_for_any_era)


def _wait_for_no_grants(monkeypatch):
    """Assign keys at once, while grants of the lost part may be valid."""
    monkeypatch.setattr(Fleet, "earlier_grants_until", lambda *args: -1e9)


def _keep_owners_without_proof(monkeypatch):
    """Keep the owners of a table that keys may have moved away from since."""
    first_table = key_planner.first_table_of_era
    monkeypatch.setattr(
        key_planner,
        "first_table_of_era",
        lambda earlier, before, era, proved, **options: first_table(
            earlier, before, era, proved=True, **options
        ),
    )


def _grant_on_by_earlier_tables(monkeypatch):
    """Keep the right to grant by tables of an earlier era."""
    monkeypatch.setattr(Fleet, "_right_until", lambda self, now: now + 60.0)


@pytest.mark.parametrize(
    "break_rule",
    [
        _order_by_revision_only,
        _keep_tokens,
        _use_restored_tables,
        _wait_for_no_grants,
        _keep_owners_without_proof,
        _grant_on_by_earlier_tables,
    ],
)
def test_a_broken_rule_is_detected(break_rule, monkeypatch):
    """Shows that the long runs fail if one of the rules is broken."""
    break_rule(monkeypatch)
    assert any(find_violations(seed) for seed in range(20))
