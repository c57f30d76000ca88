"""Membership core, its task and its measurement."""

import asyncio
import itertools

import msgspec
import pytest
from hypothesis import given, settings, strategies as st

from arbutusflow.domain.errors import SettingsError
from arbutusflow.domain.membership import (
    PLATFORM_LIST_LAG_SECONDS,
    TICK_SECONDS,
    TOMBSTONES,
    MembershipCore,
    platform_watchers,
)
from arbutusflow.domain.membership_messages import (
    MAX_DATAGRAM_BYTES,
    MAX_INCARNATION,
    Ack,
    Address,
    ConnectionRefused,
    DatagramReceived,
    InstancesListed,
    Leave,
    LeaveRequested,
    ListedInstance,
    ListedState,
    Member,
    MemberState,
    MemberUpdate,
    Message,
    OtherIdentityFound,
    Ping,
    PingRequest,
    SendDatagram,
    Status,
    Tick,
    View,
    ZoneDeclaredLost,
)
from arbutusflow.domain.records import Proof
from arbutusflow.measure.membership import (
    SimulatedNetwork,
    build_network,
    measure_membership,
)
from arbutusflow.runtime.membership_task import MembershipTask

PROPERTY = settings(derandomize=True, deadline=None, database=None, max_examples=60)
OWN = Address("10.0.0.1", 7000)
OTHER = Address("10.0.0.2", 7000)
THIRD = Address("10.0.0.3", 7000)
ALIVE, SUSPECTED, LEFT, GONE = MemberState
EXITED, LISTED, DECLARED = (
    Proof.PROCESS_EXITED,
    Proof.PLATFORM_GONE,
    Proof.OPERATOR_DECLARED,
)


def lone_core(seeds=()):
    return MembershipCore.from_config("own", "zone-a", OWN, seeds, 1)


def update(status=Status.ALIVE, incarnation=0, age=0, proof=None, name="other"):
    address = THIRD if name == "third" else OTHER
    return MemberUpdate(name, "zone-b", address, incarnation, status, age, proof)


def receive(core, *updates, now=0.0):
    """Deliver updates by a sender that is not a member; return what follows."""
    return deliver(core, Leave("carrier", updates), now, Address("10.0.0.9", 7000))


def deliver(core, message, now=0.0, source=OTHER):
    return core.handle(DatagramReceived(message, source), now)


def listed(state, name="other"):
    return InstancesListed((ListedInstance(name, "zone-b", OTHER, state),))


def member(core, name="other"):
    return core.view.members[name]


def ticked(core, ticks):
    """What follows from the ticks with these numbers."""
    return [a for tick in ticks for a in core.handle(Tick(), tick * TICK_SECONDS)]


def sent(actions, kind=Message):
    sends = [action for action in actions if isinstance(action, SendDatagram)]
    return [action.message for action in sends if isinstance(action.message, kind)]


def started(count, seed=1):
    """Instances that know nothing but two seeds."""
    addresses = [Address(f"10.0.0.{index + 1}", 7000) for index in range(count)]
    return SimulatedNetwork(
        {
            address: MembershipCore.from_config(
                f"i{index}", f"zone-{index % 2}", address, addresses[:2], seed
            )
            for index, address in enumerate(addresses)
        }
    )


def states(network):
    return {
        frozenset((name, item.state) for name, item in core.view.members.items())
        for core in network.cores.values()
    }


SUSPECT = Status.SUSPECTED
GONE_UPDATE = update(Status.GONE, proof=EXITED)


@pytest.mark.parametrize(
    ("updates", "state", "proof"),
    [
        ([update()], ALIVE, None),
        ([update(), update(SUSPECT, age=9)], ALIVE, None),
        ([update(), update(SUSPECT, age=10)], SUSPECTED, None),
        ([update(SUSPECT, age=10), update()], SUSPECTED, None),
        ([update(SUSPECT, age=10), update(incarnation=1)], ALIVE, None),
        ([update(incarnation=2), update(SUSPECT, 1, age=10)], ALIVE, None),
        ([update(Status.LEFT), update(incarnation=9)], LEFT, None),
        ([update(incarnation=9), update(Status.LEFT)], LEFT, None),
        ([update(Status.LEFT), GONE_UPDATE], GONE, EXITED),
        ([GONE_UPDATE, update(Status.LEFT), update(incarnation=9)], GONE, EXITED),
        ([GONE_UPDATE, update(Status.GONE, proof=LISTED)], GONE, EXITED),
        ([update(), update(Status.GONE)], ALIVE, None),
        ([update(), update(Status.GONE, proof=Proof.LEASE_EXPIRED)], ALIVE, None),
    ],
)
def test_updates_supersede_each_other_in_one_order(updates, state, proof):
    # Guards against stale news that revives a member or ends it without proof.
    core = lone_core()
    receive(core, *updates)
    assert member(core) == Member("zone-b", OTHER, state, proof)


def test_suspicion_ends_at_the_age_that_the_update_carries():
    # Guards against suspicions that start anew at each instance that hears of them,
    # and against keeping to the later of two starts.
    core = lone_core()
    receive(core, update(), update(SUSPECT, age=1), update(SUSPECT, age=6))
    for tick in range(1, 6):
        assert member(core).state is (SUSPECTED if tick > 4 else ALIVE)
        core.handle(Tick(), tick * TICK_SECONDS)


@pytest.mark.parametrize("heard", [True, False])
@pytest.mark.parametrize(
    ("event", "proof"),
    [
        (ConnectionRefused("other"), EXITED),
        (OtherIdentityFound("other"), EXITED),
        (ZoneDeclaredLost("zone-b"), DECLARED),
        (ZoneDeclaredLost("zone-a"), None),
        (ConnectionRefused("unknown"), None),
    ],
)
def test_proof_makes_a_member_gone_and_travels_with_it(event, proof, heard):
    # Guards against peers that are told of an end but not of its proof, or not at
    # all where only the platform listed the instance.
    core = lone_core()
    core.handle(listed(ListedState.LIVE), 0.0)
    receive(core, *([update()] if heard else []), update(name="third"))
    core.handle(event, 0.1)
    assert member(core).proof is proof
    ping = Ping(1, "third", 0, "own")
    (ack,) = sent(deliver(core, ping, 0.2), Ack)
    assert (update(Status.GONE, proof=proof) in ack.updates) == (proof is not None)


@pytest.mark.parametrize(
    ("lists", "expected"),
    [
        ([(0, ListedState.GONE), (29, ListedState.GONE)], GONE),
        ([(0, ListedState.LEAVING)], ALIVE),
        ([(0, ListedState.GONE), (9, ListedState.LIVE)], ALIVE),
        ([(0, ListedState.GONE), (9, None), (10, ListedState.GONE)], ALIVE),
    ],
)
def test_platform_list_proves_the_end_only_after_its_lag(lists, expected):
    # Guards against acting on a list entry that the platform corrects later.
    core = lone_core()
    receive(core, update())
    waiting = dict(lists)
    for tick in range(round((PLATFORM_LIST_LAG_SECONDS + 1) / TICK_SECONDS)):
        now = tick * TICK_SECONDS
        if tick % 10 == 0 and tick // 10 in waiting:
            state = waiting[tick // 10]
            core.handle(listed(state) if state else InstancesListed(()), now)
        receive(core, update(incarnation=tick))  # It refutes every suspicion.
        core.handle(Tick(), now)
        if now <= PLATFORM_LIST_LAG_SECONDS:
            assert member(core).state is ALIVE
    assert member(core).state is expected


def test_pause_does_not_count_as_lag_of_the_platform_list():
    # Guards against a paused instance that never saw the corrected list.
    core = lone_core()
    core.handle(listed(ListedState.GONE), 0.0)
    core.handle(Tick(), 100.0)
    assert "other" not in core.view.members


def test_listed_instance_is_suspected_and_not_announced_until_it_answers():
    # Guards against news about a process that no instance has heard of.
    core = lone_core()
    core.handle(listed(ListedState.LIVE), 0.0)
    assert member(core).state is SUSPECTED
    pings = sent(ticked(core, range(30)), Ping)
    assert pings
    assert all(item.instance == "own" for ping in pings for item in ping.updates)
    ack = Ack(pings[-1].sequence, "other", 0, 0)
    deliver(core, ack, 3.0)
    assert member(core).state is ALIVE


def test_number_of_ended_members_is_bounded():
    # Guards against memory that grows with every restart.
    core = lone_core()
    for index in range(TOMBSTONES + 50):
        receive(core, update(Status.GONE, proof=EXITED, name=f"m{index}"))
    assert len(core.view.members) == TOMBSTONES + 1
    assert "m0" not in core.view.members


@pytest.mark.parametrize(
    ("suspected", "raised"), [(0, 1), (4, 5), (MAX_INCARNATION, 0)]
)
def test_suspected_instance_raises_its_incarnation(suspected, raised):
    # Guards against a false suspicion that nothing can clear, and against a corrupt
    # one after which all others reject what the instance sends.
    core = lone_core()
    suspicion = MemberUpdate("own", "zone-a", OWN, suspected, SUSPECT)
    ping = Ping(1, "other", 0, "own", updates=(update(), suspicion))
    (ack,) = sent(deliver(core, ping, 0.0), Ack)
    assert ack.incarnation == raised
    assert MemberUpdate("own", "zone-a", OWN, raised, Status.ALIVE) in ack.updates


def test_instance_that_is_gone_for_others_learns_it():
    # Guards against an instance that acts on after its zone was declared lost.
    network = started(3)
    network.run(3)
    first, second, _ = network.cores
    network.feed(first, ZoneDeclaredLost("zone-1"))
    network.run(3)
    assert network.views[second].members["i1"].state is GONE


def test_new_identity_at_an_address_proves_the_end_of_the_old_one():
    # Guards against waiting for the platform's list after a restart.
    network = started(4)
    network.run(3)
    address = list(network.cores)[2]
    network.cores[address] = MembershipCore.from_config(
        "new", "zone-0", address, list(network.cores)[:2], 1
    )
    network.run(3)
    for core in network.cores.values():
        assert member(core, "i2").proof is EXITED
        assert member(core, "new").state is ALIVE


def test_late_datagram_of_an_old_process_does_not_end_the_new_one():
    # Guards against proofs that rest on the order in which datagrams arrive.
    core = lone_core()
    receive(core, update(name="new"))
    late = Ping(7, "old", 0, "own", updates=(update(name="old"),))
    pings = sent(deliver(core, late, 0.1), Ping)
    assert member(core, "new").state is member(core, "old").state is ALIVE
    for ping in pings:
        answer = Ack(ping.sequence, "new", 0, 0)
        deliver(core, answer, 0.2)
    assert member(core, "new").state is ALIVE
    assert member(core, "old").proof is EXITED


def test_answer_from_another_address_or_relay_proves_nothing():
    # Guards against an end that is concluded from somebody else's address.
    core = lone_core()
    receive(core, update())
    probes = sent(ticked(core, range(10)), Ping)
    for ping, relayed in itertools.product(probes, ("", "third")):
        answer = Ack(ping.sequence, "third", 0, 0, relayed_for=relayed)
        source = OTHER if relayed else Address("10.0.0.7", 7000)
        deliver(core, answer, 1.0, source)
    assert member(core).proof is None


def test_paused_instance_suspects_nobody_and_repeats_its_probe():
    # Guards against a resumed process that takes its own pause for others' silence.
    core = lone_core()
    receive(core, update(), update(SUSPECT, age=0, name="third"))
    ticked(core, range(7))  # The answers to the pings of these ticks are lost.
    for tick in range(600, 630):
        if tick < 609:
            assert member(core, "third").state is ALIVE
        for ping in sent(ticked(core, [tick]), Ping):
            if ping.target == "other":
                answer = Ack(ping.sequence, "other", 0, 0)
                deliver(core, answer, tick * TICK_SECONDS)
        assert member(core).state is ALIVE


def test_suspected_member_is_told_at_once():
    # Guards against a refutation that comes too late because the news was slow.
    core = lone_core()
    receive(core, update())
    suspicion = update(SUSPECT)
    told = [
        ping.target
        for ping in sent(ticked(core, range(20)), Ping)
        if ping.updates[:1] == (suspicion,)
    ]
    assert told[0] == "other"
    assert len(told) > 1  # One at the verdict, one as the next probe.


def test_earlier_process_at_the_own_address_is_gone():
    # Guards against waiting for proof of an end that this process itself is.
    core = lone_core()
    receive(core, MemberUpdate("older", "zone-a", OWN, 3, Status.ALIVE))
    assert member(core, "older").proof is EXITED


def test_instance_introduces_itself_where_it_is_unknown():
    # Guards against members that ping each other without ever being listed.
    core = lone_core()
    for number in range(9):  # Uses up the transmissions of the own update.
        deliver(core, Ping(number, "third", 0, "own"))
    (ping,) = sent(deliver(core, Ack(1, "third", 0, 0, knows_you=False)), Ping)
    (other_target,) = sent(deliver(core, Ping(99, "third", 0, "older")), Ack)
    for message in (ping, other_target):
        assert [item.instance for item in message.updates] == ["own"]
    ticked(core, range(2))
    core.handle(LeaveRequested(), 0.2)
    for number in range(9):
        (ack,) = sent(deliver(core, Ping(number, "third", 0, "own"), 0.2), Ack)
        assert ack.updates[0].status is Status.LEFT


def test_later_sync_asks_one_part_per_period():
    # Guards against a long list whose parts after the first are never asked for.
    core = lone_core()
    request = Ping(1, "other", 0, "own", cursor="", exchange=True)
    (ping,) = sent(deliver(core, request), Ping)
    deliver(core, Ack(ping.sequence, "other", 0, 0, next_cursor="m"))
    asked = [(p.cursor, p.target) for p in sent(ticked(core, range(6)), Ping)]
    assert asked == [("m", "")]


def test_news_of_one_side_reaches_the_other_after_a_partition():
    # Guards against a proof that only one instance holds, after it used up its
    # transmissions while it was cut off.
    network = started(5)
    network.run(3)
    first, *_, last = network.cores
    network.delay = lambda a, b: None if first in (a, b) else 0.001
    network.feed(first, ConnectionRefused("i4"))
    del network.cores[last]
    network.run(20)
    network.delay = lambda _a, _b: 0.001
    network.run(20)
    assert {member(core, "i4").proof for core in network.cores.values()} == {EXITED}


def test_paused_member_is_suspected_with_its_zone_and_returns():
    # Guards against views that lose a silent member, or keep it out for good.
    network = started(5)
    network.run(3)
    addresses = list(network.cores)
    network.paused.add(addresses[3])
    network.run(4)
    expected = Member("zone-1", addresses[3], SUSPECTED)
    assert network.views[addresses[0]].members["i3"] == expected
    network.paused.clear()
    network.run(10)
    assert len(states(network)) == 1
    assert SUSPECTED not in {state for _, state in states(network).pop()}


def test_indirect_probes_replace_a_broken_path():
    # Guards against suspicion of a member that only one instance cannot reach.
    network = started(5)
    network.run(3)
    broken = set(list(network.cores)[3:])
    network.delay = lambda a, b: None if {a, b} == broken else 0.001
    network.run(20)
    for core in network.cores.values():
        (ack,) = sent(deliver(core, Ping(0, "i0", 0, ""), network.now), Ack)
        assert ack.incarnation == 0  # Nobody had to refute a suspicion.


def test_joiner_takes_a_long_list_in_parts():
    # Guards against lists that do not fit into a datagram, and lost parts of them.
    network = build_network(300, seed=1)
    network.run(5)
    joiner = Address("10.9.0.1", 7000)
    seeds = list(network.cores)[:2]
    network.cores[joiner] = MembershipCore.from_config("new", "z", joiner, seeds, 1)
    numbers = itertools.count()
    network.delay = lambda _a, b: None if b == joiner and next(numbers) == 3 else 0.001
    network.run(3)
    assert len(network.views[joiner].members) == 301
    assert all("new" in view.members for view in network.views.values())
    assert network.largest_bytes <= MAX_DATAGRAM_BYTES


def test_leave_is_shown_as_left_and_never_as_suspected():
    # Guards against take-overs by suspicion during a planned stop.
    network = started(6)
    network.run(3)
    leaver = list(network.cores)[4]
    network.feed(leaver, LeaveRequested())
    network.run(0.5)
    del network.cores[leaver]
    network.run(10)
    assert {member(core, "i4").state for core in network.cores.values()} == {LEFT}


FAULTS = st.lists(
    st.tuples(
        st.sampled_from(["partition", "pause", "one-way", "loss"]),
        st.integers(1, 2**5 - 2),
        st.integers(1, 6),
    ),
    max_size=4,
)


def apply_fault(network, kind, mask, seconds):
    addresses = list(network.cores)
    chosen = {item for index, item in enumerate(addresses) if mask >> index & 1}
    numbers = itertools.count()

    def delay(source, target):
        lost = {
            "partition": (source in chosen) != (target in chosen),
            "one-way": source in chosen and target not in chosen,
            "loss": next(numbers) * mask % 7 < 3,
            "pause": False,
        }[kind]
        return None if lost else 0.001

    network.delay = delay
    network.paused = chosen if kind == "pause" else set()
    network.run(seconds)


@PROPERTY
@given(faults=FAULTS, events=st.sets(st.sampled_from(["exit", "leave"])))
def test_views_converge_after_faults_and_nobody_is_gone_without_proof(faults, events):
    # Guards against instances that stay apart after a partition heals, and against
    # an end that is concluded from silence.
    network = started(5)
    network.run(3)
    addresses = list(network.cores)
    expected = {f"i{index}": ALIVE for index in range(5)}
    for number, fault in enumerate(faults):
        if number == 1 and "exit" in events:
            del network.cores[addresses[4]]
            network.feed(addresses[0], ConnectionRefused("i4"))
            expected["i4"] = GONE
        if number == 2 and "leave" in events:
            network.feed(addresses[3], LeaveRequested())
            expected["i3"] = LEFT
        apply_fault(network, *fault)
        for view in network.views.values():
            gone = {name for name, item in view.members.items() if item.state is GONE}
            assert gone <= {name for name, state in expected.items() if state is GONE}
    network.delay, network.paused = (lambda _a, _b: 0.001), set()
    network.run(30)
    if expected["i3"] is LEFT:
        del network.cores[addresses[3]]  # It probes no more, so its view may be old.
    assert states(network) == {frozenset(expected.items())}
    assert len({core.digest for core in network.cores.values()}) == 1


NAMES = st.text(st.characters(min_codepoint=33, max_codepoint=126), min_size=40)
LONG_HOST = "fe80:0000:0000:0000:0000:0000:192.168.100.10"


@PROPERTY
@given(
    updates=st.lists(
        st.builds(
            MemberUpdate,
            NAMES.map(lambda name: name[:64]),
            NAMES.map(lambda name: name[:63]),
            st.builds(Address, st.just(LONG_HOST), st.integers(60_000, 65_535)),
            st.integers(2**31, 2**32 - 1),
            st.sampled_from([Status.ALIVE, Status.SUSPECTED, Status.LEFT]),
            st.integers(0, 10),
        ),
        max_size=40,
    ),
    own=NAMES,
)
def test_no_datagram_exceeds_its_size_bound(updates, own):
    # Guards against fragmented or truncated datagrams with long names.
    core = MembershipCore.from_config(own[:64], "z" * 63, OWN, [OTHER], 1)
    source = Address(LONG_HOST, 65_535)
    actions = core.handle(Tick(), 0.0)
    for item in updates:
        actions += receive(core, item)
    long_name = "n" * 64
    for message in (
        Ping(1, long_name, 0, long_name),
        Ping(1, long_name, 0, "", cursor=""),
        PingRequest(1, long_name, 0, long_name, source),
        Ack(1, long_name, 0, 0, knows_you=False),
    ):
        actions += deliver(core, message, source=source)
    actions += ticked(core, range(20))
    actions += core.handle(LeaveRequested(), 2.0)
    for message in sent(actions):
        data = msgspec.msgpack.encode(message)
        assert len(data) <= MAX_DATAGRAM_BYTES
        assert msgspec.msgpack.decode(data, type=Message) == message


def test_cost_per_instance_does_not_grow_and_detection_is_in_time():
    # Guards against costs or delays that grow with the number of members.
    costs = measure_membership([10, 40, 160], seconds=30, seed=1)
    for cost in costs:
        # Half of the 3 KB/s for all control, for what is sent and received.
        assert 2 * cost.bytes_per_second < 1_500
        # A key is to be served again within 3 s of the loss of an instance.
        assert cost.detection_seconds < 3
    for figure in ("messages_per_second", "bytes_per_second"):
        values = [getattr(cost, figure) for cost in costs]
        assert max(values) <= 1.05 * min(values)


@pytest.mark.parametrize("name", ["", "x" * 65, "é", "two words"])
def test_names_that_do_not_fit_are_refused(name):
    # Guards against an instance whose datagrams all others reject.
    with pytest.raises(SettingsError, match="correct the settings"):
        MembershipCore.from_config(name, "zone-a", OWN, [], 1)


@pytest.mark.parametrize(
    ("changed", "expected"),
    [({}, 1), ({0: SUSPECTED}, 2), ({0: SUSPECTED, 1: SUSPECTED}, 2), ({0: GONE}, 1)],
)
def test_second_watcher_while_the_first_is_suspected(changed, expected):
    # Guards against a zone without a watcher, and against needless watches.
    members = {f"i{n}": Member("zone-a", OWN, ALIVE) for n in range(6)}
    members["far"] = Member("zone-b", OWN, ALIVE)
    order = []
    while len(order) < 6:
        rest = {name: item for name, item in members.items() if name not in order}
        order += platform_watchers("zone-a", View("i0", rest))
    for place, state in changed.items():
        members[order[place]] = Member("zone-a", OWN, state)
    found = platform_watchers("zone-a", View("i0", members))
    assert len(found) == expected
    assert members[found[-1]].state is ALIVE
    assert found[0] == order[1 if changed.get(0) is GONE else 0]
    assert platform_watchers("zone-c", View("i0", members)) == ()


class ManualTimers:
    """Timer that the test fires."""

    def __init__(self):
        self.callbacks = []

    def subscribe(self, period_seconds, callback):
        self.callbacks.append(callback)
        return lambda: self.callbacks.remove(callback)


class Recorder(asyncio.DatagramProtocol):
    """Socket whose datagrams the test reads."""

    def __init__(self):
        self.received = asyncio.Queue()

    def datagram_received(self, data, addr):
        self.received.put_nowait(msgspec.msgpack.decode(data, type=Message))


def test_task_serves_its_socket_and_ignores_malformed_datagrams():
    # Guards against a task that stops on bad input or outlives its context.
    async def scenario():
        loop = asyncio.get_running_loop()
        peer, recorder = await loop.create_datagram_endpoint(
            Recorder, local_addr=("127.0.0.1", 0)
        )
        seed = Address(*peer.get_extra_info("sockname"))
        timers, views = ManualTimers(), []
        local = Address("127.0.0.1", 0)
        core = MembershipCore.from_config("own", "zone-a", local, [seed], 1)
        async with MembershipTask.opened(
            core, local, timers, lambda: 0.0, views.append
        ) as task:
            timers.callbacks[0]()
            asked = await asyncio.wait_for(recorder.received.get(), 30)
            assert asked.cursor == ""
            valid = msgspec.msgpack.encode(Ping(9, "other", 0, "own"))
            long = msgspec.msgpack.encode(Leave("other", (update(),) * 60))
            bad = [b"\x00", b"\xc1", valid[:-1], long]
            for data in (*bad, valid):
                peer.sendto(data, (task.bound.host, task.bound.port))
            answer = await asyncio.wait_for(recorder.received.get(), 30)
            assert (answer.sequence, answer.knows_you) == (9, False)
            assert task.malformed_datagrams == len(bad)
            task.submit(listed(ListedState.LIVE))
            assert set(views[-1].members) == {"own", "other"}
        assert timers.callbacks == []
        with pytest.raises(RuntimeError, match="not open"):
            await asyncio.sleep(0)
            _ = task.bound
        peer.close()

    asyncio.run(scenario())


@PROPERTY
@given(data=st.binary(max_size=64))
def test_task_survives_any_bytes(data):
    # Guards against an exception of the decoder that is not counted.
    task = MembershipTask(lone_core(), lambda: 0.0, lambda _view: None)
    task.datagram_received(data, ("127.0.0.1", 1))
    task.error_received(OSError())
    assert task.malformed_datagrams in (0, 1)
    assert task.socket_errors == 1
