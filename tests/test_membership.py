"""Tests of the membership core and the membership measurement."""

import itertools

import msgspec
import pytest
from hypothesis import given, settings, strategies as st

from arbutusflow.domain.membership import (
    MAX_TOMBSTONES,
    PLATFORM_LIST_LAG_SECONDS,
    TICK_SECONDS,
    MembershipCore,
    platform_watchers,
)
from arbutusflow.domain.membership_messages import (
    MAX_DATAGRAM_BYTES,
    MAX_INCARNATION,
    Ack,
    Address,
    AddressReused,
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
    Ping,
    PingRequest,
    SendDatagram,
    Status,
    Tick,
    View,
    ZoneDeclaredLost,
)
from arbutusflow.domain.records import Proof
from arbutusflow.errors import SettingsError
from arbutusflow.measure.membership import (
    SimulatedNetwork,
    build_network,
    measure_membership,
)

PROPERTY_SETTINGS = settings(
    derandomize=True, deadline=None, database=None, max_examples=60
)
OWN = Address("10.0.0.1", 7000)
OTHER = Address("10.0.0.2", 7000)
THIRD = Address("10.0.0.3", 7000)
ALIVE, SUSPECTED, LEFT, GONE = MemberState
PROCESS_EXITED, PLATFORM_GONE, OPERATOR_DECLARED = (
    Proof.PROCESS_EXITED,
    Proof.PLATFORM_GONE,
    Proof.OPERATOR_DECLARED,
)


def make_core(seeds=()):
    return MembershipCore.from_config("own", "zone-a", OWN, seeds, 1)


def update(status=Status.ALIVE, incarnation=0, age=0, proof=None, name="other"):
    address = THIRD if name == "third" else OTHER
    return MemberUpdate(name, "zone-b", address, incarnation, status, age, proof)


def deliver_updates(core, *updates, now=0.0):
    """Deliver updates from a sender that is not a member; return the actions."""
    return deliver(core, Leave("carrier", updates), now, Address("10.0.0.9", 7000))


def deliver(core, message, now=0.0, source=OTHER):
    return core.handle(DatagramReceived(message, source), now)


def platform_list(state, name="other"):
    return InstancesListed((ListedInstance(name, "zone-b", OTHER, state),))


def member(core, name="other"):
    return core.view.members[name]


def run_ticks(core, ticks):
    """Return the actions of the ticks with these numbers."""
    return [a for tick in ticks for a in core.handle(Tick(), tick * TICK_SECONDS)]


def sent_messages(actions, kind=Message):
    sends = [action for action in actions if isinstance(action, SendDatagram)]
    return [action.message for action in sends if isinstance(action.message, kind)]


def start_network(count, seed=1):
    """Return a network of instances that know only two seed addresses."""
    addresses = [Address(f"10.0.0.{index + 1}", 7000) for index in range(count)]
    return SimulatedNetwork(
        {
            address: MembershipCore.from_config(
                f"i{index}", f"zone-{index % 2}", address, addresses[:2], seed
            )
            for index, address in enumerate(addresses)
        }
    )


def member_states(network):
    return {
        frozenset((name, item.state) for name, item in core.view.members.items())
        for core in network.cores.values()
    }


SUSPECT = Status.SUSPECTED
GONE_UPDATE = update(Status.GONE, proof=PROCESS_EXITED)


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
        ([update(Status.LEFT), GONE_UPDATE], GONE, PROCESS_EXITED),
        (
            [GONE_UPDATE, update(Status.LEFT), update(incarnation=9)],
            GONE,
            PROCESS_EXITED,
        ),
        ([GONE_UPDATE, update(Status.GONE, proof=PLATFORM_GONE)], GONE, PROCESS_EXITED),
        ([update(), update(Status.GONE)], ALIVE, None),
        ([update(), update(Status.GONE, proof=Proof.LEASE_EXPIRED)], ALIVE, None),
    ],
)
def test_updates_supersede_each_other_in_one_order(updates, state, proof):
    # Guards against stale updates that revive a member, and updates that make it
    # gone without proof.
    core = make_core()
    deliver_updates(core, *updates)
    assert member(core) == Member("zone-b", OTHER, state, proof)


def test_suspicion_timeout_counts_from_the_age_in_the_update():
    # Guards against a suspicion timeout that restarts on each instance that receives
    # the update, and against using the later of two start times.
    core = make_core()
    deliver_updates(core, update(), update(SUSPECT, age=1), update(SUSPECT, age=6))
    for tick in range(1, 6):
        assert member(core).state is (SUSPECTED if tick > 4 else ALIVE)
        core.handle(Tick(), tick * TICK_SECONDS)


@pytest.mark.parametrize("has_update", [True, False])
@pytest.mark.parametrize(
    ("event", "proof"),
    [
        (ConnectionRefused("other"), PROCESS_EXITED),
        (AddressReused("other"), PROCESS_EXITED),
        (ZoneDeclaredLost("zone-b"), OPERATOR_DECLARED),
        (ZoneDeclaredLost("zone-a"), None),
        (ConnectionRefused("unknown"), None),
    ],
)
def test_proof_makes_a_member_gone_and_is_disseminated(event, proof, has_update):
    # Guards against peers that receive `gone` without its proof, or receive nothing
    # because the instance was known only from the platform's list.
    core = make_core()
    core.handle(platform_list(ListedState.LIVE), 0.0)
    deliver_updates(core, *([update()] if has_update else []), update(name="third"))
    core.handle(event, 0.1)
    assert member(core).proof is proof
    ping = Ping(1, "third", 0, "own")
    (ack,) = sent_messages(deliver(core, ping, 0.2), Ack)
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
def test_platform_list_is_a_proof_only_after_its_lag(lists, expected):
    # Guards against trusting a list entry that the platform corrects later.
    core = make_core()
    deliver_updates(core, update())
    lists_by_second = dict(lists)
    for tick in range(round((PLATFORM_LIST_LAG_SECONDS + 1) / TICK_SECONDS)):
        now = tick * TICK_SECONDS
        if tick % 10 == 0 and tick // 10 in lists_by_second:
            state = lists_by_second[tick // 10]
            core.handle(platform_list(state) if state else InstancesListed(()), now)
        deliver_updates(core, update(incarnation=tick))  # Refutes every suspicion.
        core.handle(Tick(), now)
        if now <= PLATFORM_LIST_LAG_SECONDS:
            assert member(core).state is ALIVE
    assert member(core).state is expected


def test_pause_does_not_count_towards_the_platform_list_lag():
    # Guards against a false `gone` from an instance that was paused when the
    # platform corrected its list.
    core = make_core()
    core.handle(platform_list(ListedState.GONE), 0.0)
    core.handle(Tick(), 100.0)
    assert "other" not in core.view.members


def test_platform_listed_instance_is_suspected_and_not_gossiped_until_it_answers():
    # Guards against gossip about a process that no instance has heard from.
    core = make_core()
    core.handle(platform_list(ListedState.LIVE), 0.0)
    assert member(core).state is SUSPECTED
    pings = sent_messages(run_ticks(core, range(30)), Ping)
    assert pings
    assert all(item.instance == "own" for ping in pings for item in ping.updates)
    ack = Ack(pings[-1].sequence, "other", 0, 0)
    deliver(core, ack, 3.0)
    assert member(core).state is ALIVE


def test_number_of_tombstones_is_bounded():
    # Guards against memory that grows with every restart.
    core = make_core()
    for index in range(MAX_TOMBSTONES + 50):
        deliver_updates(
            core, update(Status.GONE, proof=PROCESS_EXITED, name=f"m{index}")
        )
    assert len(core.view.members) == MAX_TOMBSTONES + 1
    assert "m0" not in core.view.members


@pytest.mark.parametrize(
    ("suspected", "raised"), [(0, 1), (4, 5), (MAX_INCARNATION, 0)]
)
def test_suspected_instance_refutes_with_a_higher_incarnation(suspected, raised):
    # Guards against a false suspicion that cannot be cleared, and against a corrupt
    # suspicion that makes the instance send an incarnation out of range, so that all
    # others reject its datagrams.
    core = make_core()
    suspicion = MemberUpdate("own", "zone-a", OWN, suspected, SUSPECT)
    ping = Ping(1, "other", 0, "own", updates=(update(), suspicion))
    (ack,) = sent_messages(deliver(core, ping, 0.0), Ack)
    assert ack.incarnation == raised
    assert MemberUpdate("own", "zone-a", OWN, raised, Status.ALIVE) in ack.updates


def test_instance_declared_gone_is_notified():
    # Guards against an instance that keeps working after its zone was declared lost.
    network = start_network(3)
    network.run(3)
    first, second, _ = network.cores
    network.feed(first, ZoneDeclaredLost("zone-1"))
    network.run(3)
    assert network.views[second].members["i1"].state is GONE


def test_new_instance_at_an_address_proves_that_the_old_one_ended():
    # Guards against a restart that is noticed only once the platform's list shows it.
    network = start_network(4)
    network.run(3)
    address = list(network.cores)[2]
    network.cores[address] = MembershipCore.from_config(
        "new", "zone-0", address, list(network.cores)[:2], 1
    )
    network.run(3)
    for core in network.cores.values():
        assert member(core, "i2").proof is PROCESS_EXITED
        assert member(core, "new").state is ALIVE


def test_late_datagram_of_an_old_process_does_not_make_the_new_one_gone():
    # Guards against proofs that depend on the order in which datagrams arrive.
    core = make_core()
    deliver_updates(core, update(name="new"))
    late = Ping(7, "old", 0, "own", updates=(update(name="old"),))
    pings = sent_messages(deliver(core, late, 0.1), Ping)
    assert member(core, "new").state is member(core, "old").state is ALIVE
    for ping in pings:
        answer = Ack(ping.sequence, "new", 0, 0)
        deliver(core, answer, 0.2)
    assert member(core, "new").state is ALIVE
    assert member(core, "old").proof is PROCESS_EXITED


def test_ack_from_another_address_or_a_relay_is_no_proof():
    # Guards against declaring a member gone because of an ack that did not come from
    # the member's address.
    core = make_core()
    deliver_updates(core, update())
    probes = sent_messages(run_ticks(core, range(10)), Ping)
    for ping, relayed in itertools.product(probes, ("", "third")):
        answer = Ack(ping.sequence, "third", 0, 0, relayed_for=relayed)
        source = OTHER if relayed else Address("10.0.0.7", 7000)
        deliver(core, answer, 1.0, source)
    assert member(core).proof is None


def test_paused_instance_suspects_no_member_and_repeats_its_probe():
    # Guards against a resumed process that mistakes its own pause for unresponsive
    # members.
    core = make_core()
    deliver_updates(core, update(), update(SUSPECT, age=0, name="third"))
    run_ticks(core, range(7))  # The answers to the pings of these ticks are lost.
    for tick in range(600, 630):
        if tick < 609:
            assert member(core, "third").state is ALIVE
        for ping in sent_messages(run_ticks(core, [tick]), Ping):
            if ping.target == "other":
                answer = Ack(ping.sequence, "other", 0, 0)
                deliver(core, answer, tick * TICK_SECONDS)
        assert member(core).state is ALIVE


def test_suspected_member_is_notified_immediately():
    # Guards against a refutation that arrives too late because the suspicion reached
    # the member only by gossip.
    core = make_core()
    deliver_updates(core, update())
    suspicion = update(SUSPECT)
    notified = [
        ping.target
        for ping in sent_messages(run_ticks(core, range(20)), Ping)
        if ping.updates[:1] == (suspicion,)
    ]
    assert notified[0] == "other"
    assert len(notified) > 1  # Once when the suspicion starts, once as the next probe.


def test_earlier_process_at_the_own_address_is_gone():
    # Guards against waiting for another proof that the earlier process has ended,
    # when this process is bound to its address.
    core = make_core()
    deliver_updates(core, MemberUpdate("older", "zone-a", OWN, 3, Status.ALIVE))
    assert member(core, "older").proof is PROCESS_EXITED


def test_instance_sends_its_own_update_to_instances_that_lack_it():
    # Guards against members that ping each other but never enter each other's view.
    core = make_core()
    for number in range(9):  # Uses up the transmissions of the own update.
        deliver(core, Ping(number, "third", 0, "own"))
    (ping,) = sent_messages(deliver(core, Ack(1, "third", 0, 0, knows_you=False)), Ping)
    (other_target,) = sent_messages(deliver(core, Ping(99, "third", 0, "older")), Ack)
    for message in (ping, other_target):
        assert [item.instance for item in message.updates] == ["own"]
    run_ticks(core, range(2))
    core.handle(LeaveRequested(), 0.2)
    for number in range(9):
        (ack,) = sent_messages(deliver(core, Ping(number, "third", 0, "own"), 0.2), Ack)
        assert ack.updates[0].status is Status.LEFT


def test_sync_after_joining_requests_one_page_per_timeout():
    # Guards against a long list of which only the first page is ever requested.
    core = make_core()
    request = Ping(1, "other", 0, "own", cursor="", exchange=True)
    (ping,) = sent_messages(deliver(core, request), Ping)
    deliver(core, Ack(ping.sequence, "other", 0, 0, next_cursor="m"))
    asked = [
        (p.cursor, p.target) for p in sent_messages(run_ticks(core, range(6)), Ping)
    ]
    assert asked == [("m", "")]


def test_update_from_one_side_of_a_partition_reaches_the_other_after_healing():
    # Guards against a proof that stays on one instance because its transmissions were
    # used up while the instance was partitioned from the others.
    network = start_network(5)
    network.run(3)
    first, *_, last = network.cores
    network.delay = lambda a, b: None if first in (a, b) else 0.001
    network.feed(first, ConnectionRefused("i4"))
    del network.cores[last]
    network.run(20)
    network.delay = lambda _a, _b: 0.001
    network.run(20)
    assert {member(core, "i4").proof for core in network.cores.values()} == {
        PROCESS_EXITED
    }


def test_paused_member_is_suspected_with_its_zone_and_recovers():
    # Guards against views that drop an unresponsive member, or never show it as alive
    # again.
    network = start_network(5)
    network.run(3)
    addresses = list(network.cores)
    network.paused.add(addresses[3])
    network.run(4)
    expected = Member("zone-1", addresses[3], SUSPECTED)
    assert network.views[addresses[0]].members["i3"] == expected
    network.paused.clear()
    network.run(10)
    assert len(member_states(network)) == 1
    assert SUSPECTED not in {state for _, state in member_states(network).pop()}


def test_indirect_probes_bypass_a_broken_path():
    # Guards against suspicion of a member that only one instance cannot reach.
    network = start_network(5)
    network.run(3)
    broken = set(list(network.cores)[3:])
    network.delay = lambda a, b: None if {a, b} == broken else 0.001
    network.run(20)
    for core in network.cores.values():
        (ack,) = sent_messages(deliver(core, Ping(0, "i0", 0, ""), network.now), Ack)
        assert ack.incarnation == 0  # No member had to refute a suspicion.


def test_joining_instance_receives_a_long_list_in_pages():
    # Guards against member lists that do not fit into a datagram, and against the
    # loss of a page.
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


def test_leaving_member_becomes_left_without_being_suspected():
    # Guards against takeovers triggered by a suspicion during a planned stop.
    network = start_network(6)
    network.run(3)
    leaver = list(network.cores)[4]
    network.feed(leaver, LeaveRequested())
    network.run(0.5)
    del network.cores[leaver]
    network.run(10)
    assert {member(core, "i4").state for core in network.cores.values()} == {LEFT}


FAULT_LISTS = st.lists(
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


@PROPERTY_SETTINGS
@given(faults=FAULT_LISTS, events=st.sets(st.sampled_from(["exit", "leave"])))
def test_views_converge_after_faults_and_no_member_is_gone_without_proof(
    faults, events
):
    # Guards against views that still differ after a partition heals, and against
    # declaring a member gone because it does not answer.
    network = start_network(5)
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
        del network.cores[addresses[3]]  # No longer probes: may have a stale view.
    assert member_states(network) == {frozenset(expected.items())}
    assert len({core.digest for core in network.cores.values()}) == 1


NAMES = st.text(st.characters(min_codepoint=33, max_codepoint=126), min_size=40)
LONG_HOST = "fe80:0000:0000:0000:0000:0000:192.168.100.10"


@PROPERTY_SETTINGS
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
def test_no_datagram_exceeds_the_maximum_size(updates, own):
    # Guards against datagrams that are fragmented or truncated because of long names.
    core = MembershipCore.from_config(own[:64], "z" * 63, OWN, [OTHER], 1)
    source = Address(LONG_HOST, 65_535)
    actions = core.handle(Tick(), 0.0)
    for item in updates:
        actions += deliver_updates(core, item)
    long_name = "n" * 64
    for message in (
        Ping(1, long_name, 0, long_name),
        Ping(1, long_name, 0, "", cursor=""),
        PingRequest(1, long_name, 0, long_name, source),
        Ack(1, long_name, 0, 0, knows_you=False),
    ):
        actions += deliver(core, message, source=source)
    actions += run_ticks(core, range(20))
    actions += core.handle(LeaveRequested(), 2.0)
    for message in sent_messages(actions):
        data = msgspec.msgpack.encode(message)
        assert len(data) <= MAX_DATAGRAM_BYTES
        assert msgspec.msgpack.decode(data, type=Message) == message


def test_cost_per_instance_is_constant_and_detection_is_in_time():
    # Guards against traffic or detection times that grow with the number of members.
    costs = measure_membership([10, 40, 160], seconds=30, seed=1)
    for cost in costs:
        # Sent plus received: half of the 3 KB/s budget for all control traffic.
        assert 2 * cost.bytes_per_second < 1_500
        # After the loss of an instance, keys must be served again within 3 s.
        assert cost.detection_seconds < 3
    for figure in ("messages_per_second", "bytes_per_second"):
        values = [getattr(cost, figure) for cost in costs]
        assert max(values) <= 1.05 * min(values)


@pytest.mark.parametrize("name", ["", "x" * 65, "é", "two words"])
def test_names_that_do_not_fit_into_datagrams_are_rejected(name):
    # Guards against an instance whose datagrams are rejected by all others.
    with pytest.raises(SettingsError, match="correct the settings"):
        MembershipCore.from_config(name, "zone-a", OWN, [], 1)


@pytest.mark.parametrize(
    ("changed", "expected"),
    [({}, 1), ({0: SUSPECTED}, 2), ({0: SUSPECTED, 1: SUSPECTED}, 2), ({0: GONE}, 1)],
)
def test_second_watcher_while_the_first_is_suspected(changed, expected):
    # Guards against a zone without a live watcher, and against unnecessary watchers.
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
