"""What is learned of endpoints, and how much better callers are served with it.

Each load is served twice by the model of several zones, with the same seeds: without
the figures, which is the choice as it is with `learnRoom` off, and with them.
"""

import asyncio
import random
import statistics

import msgspec
import pytest

from arbutusflow.gateway.key_demand import capacities
from arbutusflow.gateway.load.admission import Admission
from arbutusflow.gateway.load.endpoint_load import EndpointTable
from arbutusflow.gateway.load.endpoint_room import (
    MAX_SECONDS,
    NO_SAMPLES,
    BandSum,
    DecayedSums,
    EndpointRoom,
    learn,
)
from arbutusflow.gateway.load.room_reports import (
    FIGURE_EXPIRY_SECONDS,
    MAX_SAMPLED_ENDPOINTS,
    MAX_TOLD_FIGURES,
    RoomExchange,
    RoomFigure,
    to_report,
)
from arbutusflow.gateway.model import Address, Endpoint
from arbutusflow.gateway.peers import (
    FigureDigest,
    FleetDigest,
    FollowerReport,
    PeerReport,
    SampledFollowerReport,
    SampledReport,
)
from tests.gateway.fakes import at
from tests.gateway.sim_fleet import run_fleet
from tests.gateway.zone_load_model import OBJECTIVE_SECONDS, SPEEDS, Work, run_zones

WORK = Work(mean_seconds=0.2, spread=0.5)
SLOTS = 4
SEEDS = (1, 2, 3, 4)
# Of all requests; differences below are not seen by callers.
TOLERANCE = 0.005


def _third(number, now, in_flight):
    return 3.0 if number == 1 else 1.0


def _half_for_six_seconds(number, now, in_flight):
    return 3.0 if number % 2 == 0 and 3.0 <= now < 9.0 else 1.0


def _from_half_full(number, now, in_flight):
    return min(2.0, 1 + 0.5 * max(0, in_flight - 2))


# By load: share of the slots, speeds, slowdown, seconds, and by which part fewer
# requests must miss the objective. Even loads have no such bound: they must not suffer
# from instances that all learn one figure at once, and from few answers. At 0.55,
# endpoints that slow down from half full on get more than they can ever serve.
WIDE = (0.7, 0.95, 1.2, 1.45, 1.7)
LOADS = {
    "even": (0.6, SPEEDS, None, 12.0, None),
    "even and busy": (0.85, SPEEDS, None, 12.0, None),
    "few answers": (0.15, SPEEDS, None, 12.0, None),
    "speeds from 0.7 to 1.7": (0.85, WIDE, None, 12.0, None),
    "one at a third of the speed": (0.85, SPEEDS, _third, 12.0, 0.1),
    "half slow for six seconds": (0.65, SPEEDS, _half_for_six_seconds, 12.0, 0.1),
    "slower from half full on": (0.4, SPEEDS, _from_half_full, 12.0, None),
    "slower, and too much": (0.55, SPEEDS, _from_half_full, 12.0, None),
}


def _run(load, learn):
    utilization, speeds, slowdown, seconds, _ = LOADS[load]
    return [
        run_zones(
            WORK,
            dict.fromkeys(("z0", "z1", "z2"), utilization),
            20,
            12,
            seconds,
            seed,
            speeds=speeds,
            slowdown=slowdown,
            learn=learn,
            admission=True,
        )
        for seed in SEEDS
    ]


def _missed(runs):
    return 1 - statistics.mean(r.share_within(OBJECTIVE_SECONDS) for r in runs)


def _median_error(runs):
    """Return by which part the expected time differs from the mean measured one.

    Median over endpoints and numbers of requests ahead.
    """
    groups = {}
    for seed, run in enumerate(runs):
        for endpoint, ahead, expected, taken in run.answers:
            groups.setdefault((seed, endpoint, ahead), []).append((expected, taken))
    return statistics.median(
        abs(sum(e for e, _ in group) / sum(t for _, t in group) - 1)
        for group in groups.values()
        if len(group) >= 30
    )


@pytest.mark.parametrize("load", LOADS)
def test_callers_are_served_as_well_or_better(load):
    """Guards against instances that gather at the endpoint that looks fastest, and
    against requests for endpoints that slow down.
    """
    without, learned = _run(load, False), _run(load, True)
    fewer, missed, before = LOADS[load][-1], _missed(learned), _missed(without)
    if fewer is None:
        assert missed <= before + TOLERANCE
    else:
        assert missed <= (1 - fewer) * before
    # Callers are refused, and told when to come back, by the expected time.
    error = _median_error(learned)
    if load == "slower, and too much":
        assert error < 0.6 * _median_error(without)
    else:
        assert error < 0.2


# The figure.


def _sums(low=(0, 0.0, 0), middle=(0, 0.0, 0), high=(0, 0.0, 0)):
    bands = [BandSum(n, round(1000 * s * n), k * n) for n, s, k in (low, middle, high)]
    return DecayedSums().plus(tuple(bands))


@pytest.mark.parametrize(
    "sums, seconds, in_flight",
    [
        (_sums(), 0.2, 4.0),
        (_sums(low=(1, 2.0, 1)), 0.65, 4.0),  # Few answers count little.
        (_sums(low=(300, 0.6, 1)), 0.6, 4.0),
        (_sums(low=(300, 0.2, 1), middle=(300, 0.2, 4)), 0.2, 4.0),
        (_sums(low=(300, 0.2, 1), middle=(300, 0.4, 4)), 0.2, 2.0),
        (_sums(low=(300, 0.2, 1), high=(300, 9.0, 5)), 0.2, 1.0),
        (_sums(high=(300, 0.4, 8)), 0.2, 4.0),  # Twice the slots wait for a round.
    ],
)
def test_the_figure_follows_the_answers(sums, seconds, in_flight):
    """Guards against a figure that few answers decide, or that takes waiting for work.

    A figure is at least one request, and at most the slots.
    """
    room = learn(None, sums, SLOTS, 0.2, 0.5, 1.0)
    assert room.seconds == pytest.approx(seconds, rel=0.03)
    assert room.in_flight == pytest.approx(in_flight, rel=0.03)


def test_a_figure_falls_at_once_and_grows_slowly():
    """Guards against a burst to an endpoint that has just begun to recover."""
    slow = _sums(low=(300, 0.2, 1), middle=(300, 0.4, 4))
    known = learn(EndpointRoom(0.2, 4.0), slow, SLOTS, 0.2, 0.5, 1.0)
    grown = learn(known, _sums(low=(300, 0.2, 1)), SLOTS, 0.2, 0.5, 1.5)
    assert known.in_flight < 2.1
    assert grown.in_flight == pytest.approx(known.in_flight + 0.5)
    assert (known.changed_at, grown.changed_at) == (1.0, 1.0)


def test_admission_the_planner_and_the_host_use_the_figure():
    """Guards against requests for an endpoint that is known to be slow, keys for it,
    and a slowdown that its host reports and that is taken for its own.
    """
    table = _table(2)
    table.rooms = exchange = RoomExchange()
    for _ in range(300):
        table.count_answer(table.states["e0"], 0.3, 1, 2.0, 0.0)
    exchange.take_samples(0.0)
    table.learn_rooms(0.0, as_granter=True)
    state = table.states["e0"]
    assert state.room.seconds == pytest.approx(0.15, rel=0.05)
    assert state.expected_seconds(0.1) == pytest.approx(0.3, rel=0.05)
    assert state.expected_seconds(0.3) == pytest.approx(0.15, rel=0.05)
    exchange.rooms["e0"] = state.room = EndpointRoom(1.0, 2.0)
    assert state.learned_fields(0.3) == {
        "room_seconds": 1.0,
        "room_in_flight": 2.0,
        "room_answers": 0.0,
        "admission_seconds": 1.0,
        "choice_seconds": 0.5,  # Half of the figure: this instance saw no slow answer.
    }
    state.own_in_flight = 3
    admission = Admission(table, random.Random(1))
    assert admission.retry_after("s", state, 30.0, 0.3) >= 0.5
    endpoints = [s.endpoint for s in table.states.values()]
    rates = capacities(endpoints, [], exchange.rooms)
    assert rates["e0"] == 2.0 < rates["e1"]


# Its way through the fleet.


def _endpoint(name, started_ms=1):
    return Endpoint(name, "s", Address(name, 1), "z", SLOTS, False, 0.0, started_ms)


def _table(count):
    table = EndpointTable("z", 2.0, random.Random(1))
    table.update({f"e{n}": _endpoint(f"e{n}") for n in range(count)}, 0.0)
    return table


def _samples(count=10, seconds=1.0):
    return BandSum(count, round(1000 * count * seconds), count), *NO_SAMPLES[1:]


def test_messages_are_bounded_and_lost_ones_are_made_up_for():
    """Guards against datagrams that grow with the number of endpoints, and against a
    follower that never learns a figure whose digest was lost.
    """
    granter, names = RoomExchange(), [f"e{n}" for n in range(300)]
    endpoints = {name: _endpoint(name) for name in names}
    for endpoint in endpoints.values():
        granter.count(endpoint, 1, 0.2)
    assert len(granter.take_samples(0.0)) == MAX_SAMPLED_ENDPOINTS
    assert granter.take_samples(0.9) == {}
    assert len(to_report({name: _samples() for name in names}, 57)) == 2
    granter.add_granter({name: _samples() for name in names}, 1.0)
    for step in range(2):  # No more than 200 at once.
        granter.learn(endpoints, 1.0 + step)
    follower = RoomExchange()
    rng = random.Random(1)
    for _ in range(3000):
        figures = granter.figures_to_tell()
        assert len(figures) <= MAX_TOLD_FIGURES
        assert len(msgspec.msgpack.encode(figures)) <= 20 * MAX_TOLD_FIGURES
        if rng.random() < 0.5:
            follower.apply(figures, 2.0)
    assert set(follower.rooms) == set(names)


def test_a_restarted_endpoint_and_one_that_nobody_tells_of_have_no_figure():
    """Guards against the past of an earlier process, and of a granter that is gone."""
    table = _table(2)
    table.rooms = exchange = RoomExchange()
    exchange.apply((RoomFigure("e0", 500, 10, 9), RoomFigure("e1", 500, 10, 9)), 1.0)
    # The next granter tells of one of them only.
    exchange.apply((RoomFigure("e1", 250, 40, 9),), 20.0)
    table.learn_rooms(20.0, as_granter=False)
    assert table.states["e0"].room.seconds == 0.5
    assert table.states["e1"].room.seconds == 0.25
    table.learn_rooms(1.0 + FIGURE_EXPIRY_SECONDS, as_granter=False)
    assert (table.states["e0"].room, len(exchange.rooms)) == (None, 1)
    table.update({"e0": _endpoint("e0"), "e1": _endpoint("e1", 2)}, 32.0)
    table.learn_rooms(32.0, as_granter=False)
    assert table.states["e1"].room is None
    assert exchange.rooms == {}


@pytest.mark.parametrize(
    "band",
    [BandSum(-1, 0, 0), BandSum(1, -1, 1), BandSum(1, 10**9, 1), BandSum(2, 9, 1)],
)
def test_malformed_samples_are_left_out(band):
    """Guards against a figure that one instance's wrong count decides for all."""
    exchange = RoomExchange()
    for use, *at_time in ((exchange.add_follower,), (exchange.add_granter, 0.0)):
        use({"e0": (band, *NO_SAMPLES[1:])}, *at_time)
    assert exchange.take_samples(0.0) == {}
    exchange.learn({"e0": _endpoint("e0")}, 0.0)
    assert exchange.rooms == {}


@pytest.mark.parametrize("value", [0, -5, 10**12])
def test_malformed_figures_are_bounded(value):
    """Guards against an endpoint that gets all requests, or never one again."""
    exchange = RoomExchange()
    exchange.apply((RoomFigure("e0", value, value, value),), 0.0)
    room = exchange.rooms["e0"]
    assert 0 < room.seconds <= MAX_SECONDS
    assert room.in_flight >= 1.0
    assert room.answers >= 0


# Encoded by the code before the setting was added.
REPORT = (
    "dc0017a67265706f7274a16e0101cb000000000000000080cb00000000000000009200019200018080"
    "c3908080018080008000c290"
)
FOLLOWER_REPORT = "9aa6666f6c6c6f77a1660101a17a8090808080"
DIGEST = "9fa6646967657374a16e01018080cb000000000000000080010101c2909080"


@pytest.mark.parametrize(
    "message, encoded",
    [
        (PeerReport("n", 1, 1, 0.0, {}, 0.0, at(1), at(1), {}, {}), REPORT),
        (FollowerReport("f", 1, 1, "z", {}), FOLLOWER_REPORT),
        (FleetDigest("n", 1, 1, {}, {}, 0.0, {}, 1, 1, 1, False), DIGEST),
    ],
)
def test_messages_without_the_setting_are_as_before(message, encoded):
    """Guards against bytes for what is not asked for."""
    assert msgspec.msgpack.encode(message).hex() == encoded


def test_choices_without_the_setting_are_as_before():
    """Guards against a change of the choice where the setting is off."""
    run = run_zones(WORK, dict.fromkeys(("z0", "z1"), 0.8), 10, 6, 5.0, 1)
    # As chosen by the code before the setting was added.
    assert (run.requests, run.left_zone) == (800, 11)
    assert sum(run.response_seconds) == pytest.approx(218.30003548416232)


@pytest.mark.parametrize("learned", [False, True])
def test_each_granter_of_the_zone_counts_an_answer_once(learned):
    """Guards against datagrams that arrive twice, and against messages of another kind
    without the setting.
    """
    kinds = set()

    async def scenario(sim):
        await asyncio.sleep(4.0)
        sim.datagram_loss = 0.0
        for instance in sim.instances.values():
            instance.task.rooms = RoomExchange() if learned else None
            send = instance.task.peers.send

            def send_twice(message, targets, send=send):
                kinds.add(type(message))
                send(message, targets)
                return send(message, targets)

            instance.task.peers.send = send_twice
        granters = [i for i in sim.instances.values() if i.task.fleet.registered]
        follower = next(i for i in sim.instances.values() if i not in granters)
        if learned:
            for _ in range(100):
                follower.task.rooms.count(_endpoint("e0"), 1, 0.3)
        for step in range(60):
            await asyncio.sleep(0.05)
            for instance in sim.instances.values():
                instance.load = {"e0": step + 1}
        if not learned:
            return None, 0
        counts = [
            i.task.rooms._learned["e0"].sums.answers
            for i in granters
            if i.zone == follower.zone
        ]
        for instance in granters:
            instance.task.rooms.learn({"e0": _endpoint("e0")}, sim.now)
        await asyncio.sleep(1.0)
        return counts, follower.task.rooms.rooms["e0"].seconds

    counts, seconds = run_fleet(scenario, instances=12)
    extended = {SampledReport, SampledFollowerReport, FigureDigest}
    if learned:
        assert extended <= kinds
        assert len(counts) > 1
        assert set(counts) == {100}
        assert seconds == pytest.approx(0.3, rel=0.1)
    else:
        assert kinds.isdisjoint(extended)
