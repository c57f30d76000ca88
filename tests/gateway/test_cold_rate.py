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

ACTIONS = ("cut", "freeze", "kill", "restart", "record")
COLD = {"e": Endpoint("e", "s", Address("e", 1), "z", 2, False, 9.0, 1)}


def settle(sends, names, now):
    """Let an instance know the same granters for long enough."""
    for step in range(10, -1, -1):
        sends.observe(names, now - step * 0.5)


class World:
    """Instances that send to cold endpoints whenever they may, in steps of 0.5 s."""

    def __init__(self, instances, count):
        self.count, self.now, self.sent, self.sends = count, 0.0, [], {}
        self.names = [f"n{number}" for number in range(instances)]
        self.records = set(self.names[:-1])
        self.known = dict.fromkeys(self.names, (frozenset(), -1e9))
        self.off = {action: set() for action in ACTIONS} | {"record": self.records}
        for name in self.names:
            self.act("restart", name)

    def act(self, action, name):
        """Begin a fault of an instance, or end it."""
        if action in ("kill", "restart"):
            self.sends[name] = ColdSends(name, has_right=lambda now: self.right(name))
            self.sends[name].set_rates({"s": 2.0 * self.count})
        if action == "freeze":  # What arrived meanwhile seems to be new.
            self.known[name] = self.known[name][0], self.now
        if action != "restart":
            self.off[action] ^= {name}

    def right(self, name):
        names, evidence_at = self.known[name]
        return name in names and self.now - evidence_at < CONTACT_TIMEOUT_SECONDS

    def step(self):
        for name in self.sends.keys() - self.off["freeze"] - self.off["kill"]:
            self.send(name)  # Before the process notes how long it was suspended.
            if name not in self.off["cut"]:
                self.known[name] = frozenset(self.records), self.now
            names = self.known[name][0] if self.right(name) else None
            self.sends[name].observe(names, self.now)
            self.send(name)
        self.now += 0.5

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
    slots = [list(itertools.product((at,), ACTIONS, names)) for at in (11, 13, 18)]
    pairs = itertools.combinations(itertools.chain(*slots), 2)
    for events in (*pairs, *itertools.product(*slots)):
        assert World(4, 2).play(events, 30).sent


@settings(max_examples=150, deadline=None)
@given(st.randoms(use_true_random=False), st.integers(1, 5), st.integers(2, 30))
def test_long_runs_of_faults_do_not_exceed_half_of_the_limit(rng, count, faults):
    world = World(12, count)
    kinds = [(rng.choice(ACTIONS), name) for name in world.names]
    kinds += rng.choices(kinds, k=faults)  # Faults that end, and begin again.
    world.play([(rng.randrange(60), *kind) for kind in kinds], 75)


@given(st.floats(0.1, 50), st.floats(0.5, 3), st.floats(0, 20), st.sets(st.text("ab")))
def test_the_senders_by_two_lists_are_within_the_limit(rate, overshoot, slack, names):
    count = sender_count(rate, overshoot, slack)
    assert 2 * count <= max(rate * overshoot + slack, 1.9)
    first = senders(names, "e", count)
    assert len(first) == min(count, len(names))
    assert len(senders(names | {"new"}, "e", count) - first) <= 1
    # A list is used only after all older ones are out of use.
    longest_right = CONTACT_TIMEOUT_SECONDS + CONTACT_SLACK_SECONDS
    assert longest_right <= cold_rate.MAX_LIST_AGE_SECONDS


@pytest.mark.parametrize(("rate", "count"), [(7.2, 9), (4.1, 7), (0.0, 0), (-1.0, 0)])
def test_instances_that_learn_of_an_endpoint_at_once_send_within_the_limit(rate, count):
    """Guards against 25 instances of a zone that each send it a first request."""
    names, sent = [f"n{number}" for number in range(25)], []
    for name in names:
        sends = ColdSends(name, 1.5, 8.0)
        table = EndpointTable("z", 2.0, random.Random(1), sends)
        table.set_cold_rates({"s": rate}, 10.0)
        settle(sends, names, 10.0)
        table.update(COLD, 10.0)
        for now in (10.0, 10.4, 10.8, 11.04, 11.06):
            sends.observe(names, now)
            if (state := table.choose("s", set(), now)) is not None:
                table.note_send(state, now)
                sent.append(now)
    assert sent == [10.0, 11.06] * count
