"""The sum of requests that all instances send to a cold endpoint in any second.

The load: each instance has more requests for a cold endpoint than it may send. Guards
against instances that count themselves as senders by lists of granters that differ, as
after cuts, kills, suspensions and changes of the records.
"""

import itertools
import random

import pytest
from hypothesis import given, settings, strategies as st

from arbutusflow.gateway.fleet import CONTACT_SLACK_SECONDS, CONTACT_TIMEOUT_SECONDS
from arbutusflow.gateway.load import cold_rate
from arbutusflow.gateway.load.cold_rate import ColdSends, sender_count, senders
from arbutusflow.gateway.load.endpoint_load import EndpointTable
from arbutusflow.gateway.model import Address, Endpoint

STEP_SECONDS = 0.5
ACTIONS = ("cut", "freeze", "kill", "restart", "record")
SETTLED_STEPS = 10


def settle(sends, names, now):
    """Let an instance know the same granters for long enough."""
    for step in range(SETTLED_STEPS, -1, -1):
        sends.observe(names, now - step * STEP_SECONDS)


class World:
    """Instances that send to cold endpoints whenever they may; two requests each."""

    def __init__(self, instances, count):
        self.count, self.now, self.sent = count, 0.0, []
        self.names = [f"n{number}" for number in range(instances)]
        self.records = set(self.names[:-1])
        self.known = dict.fromkeys(self.names, (frozenset(), -1e9))
        self.off = {action: set() for action in ACTIONS}
        for name in self.names:
            self.start(name)

    def start(self, name):
        limit = 2.0 * self.count
        right = lambda now: now - self.known[name][1] < CONTACT_TIMEOUT_SECONDS  # noqa: E731
        sends = ColdSends(name, 1.0, 0.0, right)
        sends.set_rates({"s": limit})
        self.__dict__.setdefault("sends", {})[name] = sends

    def act(self, action, name):
        if action in ("kill", "restart"):
            self.start(name)
        if action == "freeze":  # What arrived meanwhile seems to be new.
            self.known[name] = self.known[name][0], self.now
        changed = self.records if action == "record" else self.off[action]
        if action != "restart":
            changed ^= {name}

    def step(self):
        for name, sends in self.sends.items():
            if name in self.off["freeze"] | self.off["kill"]:
                continue
            self.send(name)  # Before the process notes how long it was suspended.
            if name not in self.off["cut"]:
                self.known[name] = frozenset(self.records), self.now
            names, _ = self.known[name]
            has_right = name in names and sends._has_right(self.now)
            sends.observe(names if has_right else None, self.now)
            self.send(name)
        self.now += STEP_SECONDS

    def send(self, name):
        for endpoint in ("e0", "e1"):
            if self.sends[name].may_send("s", endpoint, self.now):
                self.sends[name].note_send("s", endpoint, self.now, cold=True)
                self.sent.append((self.now, endpoint))

    def play(self, events, steps):
        for step in range(steps):
            for _, action, name in (e for e in events if e[0] == step):
                self.act(action, name)
            self.step()
        for at, endpoint in self.sent:
            same = [t for t, e in self.sent if e == endpoint and at <= t <= at + 1.0]
            assert len(same) <= self.count, (events, at, endpoint)
        return self


def test_no_interleaving_of_faults_exceeds_half_of_the_limit():
    """Two endpoints, four instances, a limit of 4; up to three faults or repairs."""
    names = [f"n{number}" for number in range(4)]
    first, second, third = (
        list(itertools.product((step,), ACTIONS, names)) for step in (11, 13, 18)
    )
    pairs = itertools.combinations(first + second + third, 2)
    for chosen in (*pairs, *itertools.product(first, second, third)):
        assert World(4, 2).play(chosen, 30).sent


@settings(max_examples=150, deadline=None)
@given(st.integers(0, 10**9), st.integers(1, 5), st.integers(2, 30))
def test_long_runs_of_faults_do_not_exceed_half_of_the_limit(seed, count, faults):
    rng = random.Random(seed)
    world = World(12, count)
    choices = [(rng.randrange(60), rng.choice(ACTIONS), n) for n in world.names]
    choices += rng.choices(choices, k=faults)
    world.play([(rng.randrange(60), a, n) for _, a, n in choices], 75)


@given(st.floats(0.1, 50), st.floats(0.5, 3), st.floats(0, 20), st.sets(st.text("ab")))
def test_the_senders_by_two_lists_are_within_the_limit(rate, overshoot, slack, names):
    count = sender_count(rate, overshoot, slack)
    assert 2 * count <= max(rate * overshoot + slack, 1.9)
    first = senders(names, "e", count)
    assert len(first) == min(count, len(names))
    assert len(senders(names | {"new"}, "e", count) - first) <= 1


@pytest.mark.parametrize(
    ("rate", "count"), [(7.2, 9), (4.1, 7), (0.0, 0), (-1.0, 0), (float("nan"), 0)]
)
def test_instances_that_learn_of_an_endpoint_at_once_send_within_the_limit(rate, count):
    """Guards against 25 instances of a zone that each send it a first request."""
    names, sent = [f"n{number}" for number in range(25)], []
    cold = {"e": Endpoint("e", "s", Address("e", 1), "z", 2, False, 9.0, 1)}
    for name in names:
        sends = ColdSends(name, 1.5, 8.0)
        table = EndpointTable("z", 2.0, random.Random(1), sends)
        table.set_cold_rates({"s": rate}, 10.0)
        settle(sends, names, 10.0)
        table.update(cold, 10.0)
        for now in (10.0, 10.4, 10.8, 11.04, 11.06):
            sends.observe(names, now)
            if (state := table.choose("s", set(), now)) is not None:
                table.note_send(state, now)
                sent.append(now)
    assert sent == [10.0, 11.06] * count


def test_a_list_is_used_only_after_all_older_ones_are_out_of_use():
    """Guards against a change of the right to grant that the limit does not know."""
    assert cold_rate.MAX_LIST_AGE_SECONDS >= (
        CONTACT_TIMEOUT_SECONDS + CONTACT_SLACK_SECONDS
    )
