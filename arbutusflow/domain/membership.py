"""Membership between entry instances: failure detection and dissemination.

Follows SWIM, except that a silent instance stays suspected until its end is
proven. Invariants: an instance becomes `gone` only with a proof, and stays so;
only an instance itself raises its incarnation; work per tick and per datagram
does not grow with the number of members.
"""

import bisect
import collections
import dataclasses
import math
from collections.abc import Iterable, Sequence
from typing import Self

import msgspec
import xxhash

from arbutusflow.domain.errors import SettingsError
from arbutusflow.domain.membership_messages import (
    GONE_PROOFS,
    MAX_DATAGRAM_BYTES,
    MAX_INCARNATION,
    Ack,
    Action,
    Address,
    ConnectionRefused,
    DatagramReceived,
    Event,
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
    ViewChanged,
    ZoneDeclaredLost,
)
from arbutusflow.domain.placement import rendezvous_score
from arbutusflow.domain.records import Proof

TICK_SECONDS = 0.1
PROBE_SECONDS = 0.5
DIRECT_ANSWER_SECONDS = 0.2  # Leaves 0.3 s for the indirect probes.
INDIRECT_PROBES = 2
SUSPICION_SECONDS = 1.0
CLOCK_GAP_SECONDS = 0.5
PLATFORM_LIST_LAG_SECONDS = 30.0
# Transmissions of an update per doubling of the member count. SWIM needs more
# than one; two also cover lost datagrams.
TRANSMISSIONS_PER_DOUBLING = 2
# News is also pushed to a few members at the next ticks, so that it reaches all
# members within the suspicion time instead of a probe period per hop.
PUSH_FANOUT = 2
PUSH_TICKS = 2
LEAVE_FANOUT = 4
# One probe in this many goes to a suspected member, to notice its return.
SUSPECT_PROBE_INTERVAL = 4
NEIGHBOUR_SEARCH = 64  # Identifiers to skip at most when many have ended.
TOMBSTONES = 1_024  # Five days of the 194 stops a day that are designed for.
OUTSTANDING_SECONDS = 2.0
SYNC_ANSWER_SECONDS = 0.5
# A sync starts when this many answers in a row show another member list.
DIFFERING_DIGESTS = 8
SYNC_PAUSE_SECONDS = 10.0
# Incarnation of an instance that the platform lists and that was never heard of.
# It loses to every update of the instance and is never sent.
NEVER_HEARD = -1
_CURSOR_BYTES = 66
_ARRAY_HEADER_BYTES = 2
_FINAL = frozenset((Status.LEFT, Status.GONE))


@dataclasses.dataclass(slots=True)
class _Outstanding:
    """A ping without an answer.

    `occupants` are the members known at `address` when the ping was sent. An
    answer by another instance proves that they ended, because it was given after
    they had the address.
    """

    address: Address
    sent_at: float
    occupants: tuple[str, ...]
    target: str
    requester: Address | None = None
    requester_sequence: int = 0


@dataclasses.dataclass(slots=True)
class _Probe:
    target: str
    sequence: int
    started: float
    indirect: bool = False
    answered: bool = False


@dataclasses.dataclass(slots=True)
class _Sync:
    """Transfer of the member list from `address`, part by part."""

    address: Address
    cursor: str
    sequence: int
    asked_at: float
    waiting: bool = True


class MembershipCore:
    """State machine of one instance's membership."""

    def __init__(
        self, own: MemberUpdate, seeds: Sequence[Address], seed: int, lag_seconds: float
    ) -> None:
        self._instance = own.instance
        self._seeds = tuple(item for item in seeds if item != own.address)
        self._lag_seconds = lag_seconds
        self._seed = seed
        self._draws = 0
        self._sequence = xxhash.xxh3_64_intdigest(own.instance.encode(), seed) % 2**32
        self._records: dict[str, MemberUpdate] = {}
        self._members: dict[str, Member] = {}
        self._ids: list[str] = []
        self._by_address: dict[Address, tuple[str, ...]] = {}
        self._tombstones: dict[str, None] = {}
        self._digest = 0
        self._view_changed = False
        self._ring: list[str] = []
        self._ring_position = 0
        self._rounds = 0
        self._probe: _Probe | None = None
        self._next_probe_at: float | None = None
        self._outstanding: dict[int, _Outstanding] = {}
        self._suspected_since: dict[str, float] = {}
        self._suspects: dict[str, None] = {}
        self._listed_gone: dict[str, tuple[ListedInstance, float | None]] = {}
        self._gossip: collections.deque[str] = collections.deque()
        self._transmissions: dict[str, int] = {}
        self._push_ticks = 0
        self._joined = not self._seeds
        self._sync: _Sync | None = None
        self._next_sync_at = 0.0
        self._next_seed_at = 0.0
        self._seed_index = 0
        self._differing = 0
        self._last_tick: float | None = None
        self._actions: list[Action] = []
        self._store(own, 0.0)

    @classmethod
    def from_config(
        cls,
        instance: str,
        zone: str,
        address: Address,
        seeds: Sequence[Address],
        seed: int,
        platform_list_lag_seconds: float = PLATFORM_LIST_LAG_SECONDS,
    ) -> Self:
        """Return the membership of a process that starts as `instance`.

        `seed` feeds every random choice. Raises `SettingsError` for a name or
        address that does not fit into a datagram.
        """
        own = MemberUpdate(instance, zone, address, 0, Status.ALIVE)
        try:
            own = msgspec.convert(msgspec.to_builtins(own), MemberUpdate)
        except msgspec.ValidationError as exc:
            raise SettingsError(
                f"instance {instance!r}, zone {zone!r} or address {address} cannot "
                f"be announced; correct the settings: {exc}"
            ) from exc
        return cls(own, seeds, seed, platform_list_lag_seconds)

    @property
    def view(self) -> View:
        """Current view of all known instances."""
        return View(self._instance, dict(self._members))

    @property
    def digest(self) -> int:
        """Digest of the members that have neither left nor gone."""
        return self._digest

    def handle(self, event: Event, now: float) -> list[Action]:
        """Return what follows from `event` at `now` seconds of a monotonic clock."""
        if self._last_tick is None:
            self._last_tick = now
        elif now - self._last_tick > CLOCK_GAP_SECONDS:
            self._restart_after_gap(now - self._last_tick, now)
        match event:
            case Tick():
                self._on_tick(now)
            case DatagramReceived(message, source):
                self._on_datagram(message, source, now)
            case InstancesListed(instances):
                self._on_listed(instances, now)
            case ConnectionRefused(instance) | OtherIdentityFound(instance):
                self._declare_gone(instance, Proof.PROCESS_EXITED, now)
            case ZoneDeclaredLost(zone):
                for record in list(self._records.values()):
                    if record.zone == zone:
                        self._declare_gone(
                            record.instance, Proof.OPERATOR_DECLARED, now
                        )
            case LeaveRequested():
                self._on_leave_asked(now)
        # Datagrams come in bursts, so the views that they change wait for the tick.
        if self._view_changed and not isinstance(event, DatagramReceived):
            self._view_changed = False
            self._actions.append(ViewChanged(self.view))
        actions, self._actions = self._actions, []
        return actions

    # Time

    def _restart_after_gap(self, gap: float, now: float) -> None:
        """Forget what a pause of this process might have made look overdue."""
        self._last_tick = now
        self._suspected_since = dict.fromkeys(self._suspected_since, now)
        self._listed_gone = {
            name: (item, since if since is None else since + gap)
            for name, (item, since) in self._listed_gone.items()
        }
        if self._sync is not None:
            self._sync.asked_at = now
        if self._probe is not None and not self._probe.answered:
            self._start_probe(self._probe.target, now)
        self._next_probe_at = now + PROBE_SECONDS

    def _on_tick(self, now: float) -> None:
        self._last_tick = now
        self._expire(now)
        if self._own.status not in _FINAL:
            self._run_sync(now)
            self._run_probe(now)
        if self._push_ticks:
            self._push_ticks -= 1
            # Pushes count as no transmission. Else an update is used up within a few
            # ticks, and a member that no push reached hears of it seconds later.
            for name in self._choose_alive(PUSH_FANOUT):
                self._ping(name, now, counted=False)

    def _expire(self, now: float) -> None:
        while self._outstanding:
            sequence, ping = next(iter(self._outstanding.items()))
            if now - ping.sent_at < OUTSTANDING_SECONDS:
                break
            del self._outstanding[sequence]
        for name, since in list(self._suspected_since.items()):
            if now - since >= SUSPICION_SECONDS:
                del self._suspected_since[name]
                self._suspects[name] = None
                self._show(self._records[name])
        for name, (item, listed_at) in list(self._listed_gone.items()):
            if listed_at is not None and now - listed_at > self._lag_seconds:
                self._listed_gone[name] = (item, None)
                self._declare_gone(name, Proof.PLATFORM_GONE, now, item)

    # Probes

    def _run_probe(self, now: float) -> None:
        if self._next_probe_at is None:
            # Instances that start together spread their probes over the period.
            self._next_probe_at = now + PROBE_SECONDS * self._draw(5) / 5
        probe = self._probe
        if probe is not None and not probe.answered and not probe.indirect:
            self._ask_indirect(probe, now)
        if now < self._next_probe_at:
            return
        self._next_probe_at = max(
            self._next_probe_at + PROBE_SECONDS, now + PROBE_SECONDS / 2
        )
        if probe is not None and not probe.answered:
            self._suspect(probe.target, now)
        self._probe = None
        target = self._next_target()
        if target is not None:
            self._start_probe(target, now)

    def _ask_indirect(self, probe: _Probe, now: float) -> None:
        record = self._records.get(probe.target)
        if now - probe.started < DIRECT_ANSWER_SECONDS or record is None:
            return
        probe.indirect = True
        for name in self._choose_alive(INDIRECT_PROBES, probe.target):
            message = PingRequest(
                probe.sequence,
                self._instance,
                self._own.incarnation,
                probe.target,
                record.address,
            )
            self._send(self._records[name].address, message, now)

    def _start_probe(self, target: str, now: float) -> None:
        if target in self._records:
            self._probe = _Probe(target, self._ping(target, now), now)

    def _suspect(self, name: str, now: float) -> None:
        record = self._records.get(name)
        if record is None or record.status is not Status.ALIVE:
            return
        self._apply(msgspec.structs.replace(record, status=Status.SUSPECTED), now)
        # Tells the member at once, so that it can refute within the suspicion.
        self._ping(name, now)

    def _next_target(self) -> str | None:
        self._rounds += 1
        if self._suspects and self._rounds % SUSPECT_PROBE_INTERVAL == 0:
            return self._next_suspect()
        if self._rounds % 2:
            neighbour = self._next_neighbour()
            if neighbour is not None:
                return neighbour
        for _ in range(2):
            while self._ring_position < len(self._ring):
                name = self._ring[self._ring_position]
                self._ring_position += 1
                if self._is_running(name) and name not in self._suspects:
                    return name
            self._shuffle_ring()
        return self._next_suspect() if self._suspects else None

    def _next_neighbour(self) -> str | None:
        """Return the running member whose identifier follows the own one.

        Random probes alone miss a member for several seconds now and then. As the
        neighbour of some instance, each member is probed once a second.
        """
        start = bisect.bisect_right(self._ids, self._instance)
        for offset in range(min(NEIGHBOUR_SEARCH, len(self._ids) - 1)):
            name = self._ids[(start + offset) % len(self._ids)]
            if self._is_running(name) and name not in self._suspects:
                return name
        return None

    def _next_suspect(self) -> str:
        # Random, so that the members do not all probe the same suspected member.
        for _ in range(16):
            name = self._ring[self._draw(len(self._ring))]
            if name in self._suspects:
                return name
        name = next(iter(self._suspects))
        del self._suspects[name]
        self._suspects[name] = None
        return name

    def _shuffle_ring(self) -> None:
        self._ring = [name for name in self._ring if self._is_running(name)]
        self._ring_position = 0
        for last in range(len(self._ring) - 1, 0, -1):
            other = self._draw(last + 1)
            self._ring[last], self._ring[other] = self._ring[other], self._ring[last]

    def _is_running(self, name: str) -> bool:
        record = self._records.get(name)
        return record is not None and record.status not in _FINAL

    def _choose_alive(self, count: int, excluded: str = "") -> list[str]:
        """Return up to `count` random members that are not suspected."""
        chosen: list[str] = []
        # A bounded number of draws keeps the cost independent of the members.
        for _ in range(8 * count):
            if len(chosen) == count or not self._ring:
                break
            name = self._ring[self._draw(len(self._ring))]
            record = self._records.get(name)
            if record is None or record.status is not Status.ALIVE:
                continue
            if name != excluded and name not in chosen:
                chosen.append(name)
        return chosen

    def _draw(self, bound: int) -> int:
        """Return a pseudo-random number from 0 to `bound - 1`."""
        self._draws += 1
        data = f"{self._instance}\0{self._draws}".encode()
        return xxhash.xxh3_64_intdigest(data, self._seed) % bound

    # Sync of the member list

    def _run_sync(self, now: float) -> None:
        sync = self._sync
        if sync is not None:
            if now - sync.asked_at < SYNC_ANSWER_SECONDS:
                return
            if not sync.waiting:
                self._ask_part(sync.address, sync.cursor, now)
                return
            self._sync = None
        if not self._joined or now >= self._next_seed_at:
            self._contact_seed(sync.cursor if sync and not self._joined else "", now)

    def _contact_seed(self, cursor: str, now: float) -> None:
        """Ask a seed for its member list.

        After joining, only seeds without a live member are asked: they may belong
        to a group that started apart from this one.
        """
        self._next_seed_at = now + SYNC_PAUSE_SECONDS
        for _ in self._seeds:
            address = self._seeds[self._seed_index % len(self._seeds)]
            self._seed_index += 1
            occupants = self._by_address.get(address, ())
            if self._joined and any(
                self._records[name].status is Status.ALIVE for name in occupants
            ):
                continue
            self._ask_part(address, cursor, now, exchange=self._joined)
            return

    def _ask_part(
        self, address: Address, cursor: str, now: float, exchange: bool = False
    ) -> None:
        sequence = self._next_sequence()
        message = Ping(
            sequence,
            self._instance,
            self._own.incarnation,
            "",
            cursor=cursor,
            exchange=exchange,
        )
        self._track(sequence, address, "", now)
        self._sync = _Sync(address, cursor, sequence, now)
        self._send(address, message, now, (self._instance,))

    def _on_part(self, ack: Ack, now: float) -> None:
        sync = self._sync
        if sync is None or ack.sequence != sync.sequence:
            return
        if not ack.next_cursor:
            self._sync = None
            self._joined = True
            self._next_sync_at = now + SYNC_PAUSE_SECONDS
        elif self._joined:
            # Later syncs keep a slow pace, to stay within the byte budget.
            sync.cursor, sync.waiting = ack.next_cursor, False
        else:
            self._ask_part(sync.address, ack.next_cursor, now)

    def _compare_digest(self, ack: Ack, source: Address, now: float) -> None:
        if ack.digest == self._digest:
            self._differing = 0
            return
        self._differing += 1
        if (
            self._differing >= DIFFERING_DIGESTS
            and self._sync is None
            and now >= self._next_sync_at
        ):
            self._differing = 0
            # If this instance alone has the news, only an exchange spreads it: the
            # others mostly probe each other and see equal digests.
            self._ask_part(source, "", now, exchange=True)

    # Datagrams

    def _on_datagram(self, message: Message, source: Address, now: float) -> None:
        if isinstance(message, Ack) and message.next_cursor is not None:
            # Everyone else knows the list already, so a joiner does not repeat it.
            spread = self._joined
        else:
            spread = True
        for update in message.updates:
            self._apply(update, now, spread)
        match message:
            case Ping():
                self._heard(message.sender, message.incarnation, now)
                self._on_ping(message, source, now)
            case Ack():
                self._heard(message.sender, message.incarnation, now)
                self._on_ack(message, source, now)
            case PingRequest():
                self._heard(message.sender, message.incarnation, now)
                self._on_ping_request(message, source, now)
            case Leave():
                pass  # The sender's own update says it all.

    def _heard(self, sender: str, incarnation: int, now: float) -> None:
        record = self._records.get(sender)
        if record is None or sender == self._instance or record.status in _FINAL:
            return
        if incarnation > record.incarnation:
            self._apply(
                msgspec.structs.replace(
                    record, incarnation=incarnation, status=Status.ALIVE
                ),
                now,
            )

    def _on_ping(self, ping: Ping, source: Address, now: float) -> None:
        record = self._records.get(ping.sender)
        first = []
        if record is not None and record.status is not Status.ALIVE:
            first.append(ping.sender)
        if self._own.status in _FINAL or ping.target != self._instance:
            first.append(self._instance)
        message = Ack(
            ping.sequence,
            self._instance,
            self._own.incarnation,
            self._digest,
            knows_you=record is not None,
        )
        if ping.cursor is None:
            self._send(source, message, now, first)
        else:
            self._send_part(source, message, ping.cursor, now)
            if ping.exchange and self._sync is None and self._joined:
                self._ask_part(source, "", now)

    def _on_ack(self, ack: Ack, source: Address, now: float) -> None:
        ping = self._outstanding.get(ack.sequence)
        direct = ping is not None and source == ping.address and not ack.relayed_for
        if ping is not None and direct:
            del self._outstanding[ack.sequence]
            for name in ping.occupants:
                if name != ack.sender:
                    self._declare_gone(name, Proof.PROCESS_EXITED, now)
            if ping.requester is not None and ping.target == ack.sender:
                message = Ack(
                    ping.requester_sequence,
                    self._instance,
                    self._own.incarnation,
                    self._digest,
                    relayed_for=ping.target,
                )
                self._send(ping.requester, message, now, (ping.target,))
        probe = self._probe
        if probe is not None and ack.sequence == probe.sequence:
            answered_by = ack.relayed_for or ack.sender
            probe.answered = probe.answered or answered_by == probe.target
            if direct:
                self._compare_digest(ack, source, now)
        if not ack.knows_you:
            self._ping_address(source, "", now, (self._instance,))
        if ack.next_cursor is not None and direct:
            self._on_part(ack, now)

    def _on_ping_request(
        self, request: PingRequest, source: Address, now: float
    ) -> None:
        sequence = self._ping_address(request.address, request.target, now)
        ping = self._outstanding[sequence]
        ping.requester, ping.requester_sequence = source, request.sequence

    # Events from outside the group

    def _on_listed(self, instances: Iterable[ListedInstance], now: float) -> None:
        listed_gone = {}
        for item in instances:
            if item.state is ListedState.GONE:
                listed_gone[item.instance] = self._listed_gone.get(
                    item.instance, (item, now)
                )
            elif item.instance not in self._records:
                self._store(
                    MemberUpdate(
                        item.instance,
                        item.zone,
                        item.address,
                        NEVER_HEARD,
                        Status.SUSPECTED,
                        age=10,
                    ),
                    now,
                )
        self._listed_gone = listed_gone

    def _on_leave_asked(self, now: float) -> None:
        if self._own.status is Status.GONE:
            return
        if self._own.status is not Status.LEFT:
            self._store(
                msgspec.structs.replace(self._own, status=Status.LEFT), now, spread=True
            )
        for name in self._choose_alive(LEAVE_FANOUT):
            self._send(
                self._records[name].address,
                Leave(self._instance),
                now,
                (self._instance,),
            )

    def _declare_gone(
        self, name: str, proof: Proof, now: float, listed: ListedInstance | None = None
    ) -> None:
        record = self._records.get(name)
        if record is None and listed is not None:
            record = MemberUpdate(
                name, listed.zone, listed.address, 0, Status.SUSPECTED, age=10
            )
        if record is None or record.status is Status.GONE:
            return
        update = msgspec.structs.replace(
            record,
            incarnation=max(record.incarnation, 0),
            status=Status.GONE,
            age=0,
            proof=proof,
        )
        self._store(update, now, spread=True)

    # Member records

    @property
    def _own(self) -> MemberUpdate:
        return self._records[self._instance]

    def _apply(self, update: MemberUpdate, now: float, spread: bool = True) -> None:
        """Take over `update` if it is newer than what is known."""
        if (update.status is Status.GONE) != (update.proof in GONE_PROOFS):
            return
        if update.instance == self._instance:
            self._apply_to_self(update, now)
            return
        record = self._records.get(update.instance)
        if record is None or _supersedes(update, record):
            self._store(update, now, spread)
        elif (
            update.status is Status.SUSPECTED
            and update.incarnation == record.incarnation
            and update.instance in self._suspected_since
        ):
            since = self._suspected_since[update.instance]
            self._suspected_since[update.instance] = min(since, now - update.age / 10)

    def _apply_to_self(self, update: MemberUpdate, now: float) -> None:
        own = self._own
        if own.status is Status.GONE:
            return
        if update.status is Status.GONE:
            # The identifier cannot be used again; the process has to start anew.
            self._store(update, now, spread=True)
        elif (
            update.status is Status.SUSPECTED
            and own.status is Status.ALIVE
            # A corrupt maximum must not push the own updates out of range.
            and own.incarnation <= update.incarnation < MAX_INCARNATION
        ):
            refuted = msgspec.structs.replace(own, incarnation=update.incarnation + 1)
            self._store(refuted, now, spread=True)

    def _store(self, update: MemberUpdate, now: float, spread: bool = False) -> None:
        name = update.instance
        previous = self._records.get(name)
        if previous is None:
            bisect.insort(self._ids, name)
            if name != self._instance:
                self._add_to_ring(name)
        else:
            self._digest ^= _digest_of(previous)
            self._leave_address(previous)
        self._digest ^= _digest_of(update)
        self._records[name] = msgspec.structs.replace(update, age=0)
        self._suspected_since.pop(name, None)
        self._suspects.pop(name, None)
        if update.status in _FINAL:
            self._tombstones.pop(name, None)
            self._tombstones[name] = None
        else:
            self._take_address(update)
        if update.status is Status.SUSPECTED:
            if update.age / 10 < SUSPICION_SECONDS:
                self._suspected_since[name] = now - update.age / 10
            else:
                self._suspects[name] = None
        self._show(update)
        if spread or name == self._instance:
            self._spread(name)
        if len(self._tombstones) > TOMBSTONES:
            self._forget_oldest()
        if update.status not in _FINAL and update.address == self._own.address:
            # This process has the address now, so an earlier one has ended.
            if name != self._instance:
                self._declare_gone(name, Proof.PROCESS_EXITED, now)
        elif len(self._by_address.get(update.address, ())) > 1:
            # Whoever answers a ping that is sent from now on has replaced the rest.
            self._ping_address(update.address, "", now)

    def _take_address(self, update: MemberUpdate) -> None:
        occupants = self._by_address.get(update.address, ())
        self._by_address[update.address] = (*occupants, update.instance)

    def _leave_address(self, record: MemberUpdate) -> None:
        occupants = self._by_address.get(record.address, ())
        rest = tuple(name for name in occupants if name != record.instance)
        if rest:
            self._by_address[record.address] = rest
        else:
            self._by_address.pop(record.address, None)

    def _add_to_ring(self, name: str) -> None:
        # A random place among the members still to be probed in this pass.
        self._ring.append(name)
        span = len(self._ring) - self._ring_position
        if span > 0:
            other = self._ring_position + self._draw(span)
            self._ring[-1], self._ring[other] = self._ring[other], self._ring[-1]

    def _show(self, record: MemberUpdate) -> None:
        match record.status:
            case Status.ALIVE:
                state = MemberState.ALIVE
            case Status.SUSPECTED:
                unrefuted = record.instance in self._suspects
                state = MemberState.SUSPECTED if unrefuted else MemberState.ALIVE
            case Status.LEFT:
                state = MemberState.LEFT
            case Status.GONE:
                state = MemberState.GONE
        member = Member(record.zone, record.address, state, record.proof)
        if self._members.get(record.instance) != member:
            self._members[record.instance] = member
            self._view_changed = True

    def _forget_oldest(self) -> None:
        name = next((item for item in self._tombstones if item != self._instance), None)
        if name is None:
            return
        del self._tombstones[name], self._records[name], self._members[name]
        del self._ids[bisect.bisect_left(self._ids, name)]
        self._transmissions.pop(name, None)
        self._view_changed = True

    # Sending

    def _spread(self, name: str) -> None:
        if name not in self._transmissions:
            self._gossip.appendleft(name)
        doublings = math.ceil(math.log2(len(self._records) + 1))
        self._transmissions[name] = TRANSMISSIONS_PER_DOUBLING * doublings
        self._push_ticks = PUSH_TICKS

    def _next_sequence(self) -> int:
        self._sequence = (self._sequence + 1) % 2**32
        return self._sequence

    def _track(self, sequence: int, address: Address, target: str, now: float) -> None:
        occupants = self._by_address.get(address, ())
        self._outstanding[sequence] = _Outstanding(address, now, occupants, target)

    def _ping(self, name: str, now: float, counted: bool = True) -> int:
        record = self._records[name]
        # A suspected member is told, so that it can refute.
        first = () if record.status is Status.ALIVE else (name,)
        return self._ping_address(record.address, name, now, first, counted)

    def _ping_address(
        self,
        address: Address,
        target: str,
        now: float,
        first: Sequence[str] = (),
        counted: bool = True,
    ) -> int:
        sequence = self._next_sequence()
        self._track(sequence, address, target, now)
        message = Ping(sequence, self._instance, self._own.incarnation, target)
        self._send(address, message, now, first, counted)
        return sequence

    def _send(
        self,
        address: Address,
        message: Message,
        now: float,
        first: Sequence[str] = (),
        counted: bool = True,
    ) -> None:
        """Send `message` with the updates of `first` and then waiting news.

        `counted` tells if it uses up transmissions of the news.
        """
        room = MAX_DATAGRAM_BYTES - _ARRAY_HEADER_BYTES
        room -= len(msgspec.msgpack.encode(message))
        updates: list[MemberUpdate] = []
        for name in first:
            update, size = self._encodable(name, now)
            if update is not None and size <= room:
                updates.append(update)
                room -= size
        for _ in range(len(self._gossip)):
            name = self._gossip.popleft()
            if name not in self._transmissions:
                continue
            update, size = self._encodable(name, now)
            if size > room:
                self._gossip.appendleft(name)
                break
            if update is not None and name not in first:
                updates.append(update)
                room -= size
            if counted:
                self._count_transmission(name)
            else:
                self._gossip.append(name)
        message = msgspec.structs.replace(message, updates=tuple(updates))
        self._actions.append(SendDatagram(address, message))

    def _count_transmission(self, name: str) -> None:
        self._transmissions[name] -= 1
        if self._transmissions[name] > 0:
            self._gossip.append(name)
        else:
            del self._transmissions[name]

    def _send_part(
        self, address: Address, message: Ack, cursor: str, now: float
    ) -> None:
        room = MAX_DATAGRAM_BYTES - _ARRAY_HEADER_BYTES - _CURSOR_BYTES
        room -= len(msgspec.msgpack.encode(message))
        updates = []
        next_cursor = ""
        for index in range(bisect.bisect_right(self._ids, cursor), len(self._ids)):
            name = self._ids[index]
            update, size = self._encodable(name, now)
            if size > room:
                next_cursor = self._ids[index - 1]
                break
            if update is not None:
                updates.append(update)
                room -= size
        message = msgspec.structs.replace(
            message, next_cursor=next_cursor, updates=tuple(updates)
        )
        self._actions.append(SendDatagram(address, message))

    def _encodable(self, name: str, now: float) -> tuple[MemberUpdate | None, int]:
        """Return the update to send for a member and its encoded size in bytes."""
        record = self._records.get(name)
        if record is None or record.incarnation == NEVER_HEARD:
            return None, 0
        if record.status is Status.SUSPECTED:
            since = self._suspected_since.get(name, now - SUSPICION_SECONDS)
            age = min(10, max(0, int((now - since) * 10)))
            record = msgspec.structs.replace(record, age=age)
        return record, len(msgspec.msgpack.encode(record))


def _supersedes(update: MemberUpdate, record: MemberUpdate) -> bool:
    """Tell if `update` is newer than `record` of the same instance."""
    if record.status in _FINAL or update.status in _FINAL:
        # An identifier is used by one process only, so its end is final.
        return update.status > record.status
    if update.incarnation != record.incarnation:
        return update.incarnation > record.incarnation
    return update.status > record.status


def _digest_of(record: MemberUpdate) -> int:
    if record.status in _FINAL or record.incarnation == NEVER_HEARD:
        return 0
    return xxhash.xxh3_64_intdigest(
        f"{record.instance}\0{record.incarnation}\0{record.status}".encode()
    )


def platform_watchers(zone: str, view: View) -> tuple[str, ...]:
    """Return the instances that watch the platform for `zone`.

    The instance with the lowest score watches. While it is suspected, the next
    one that is alive watches too.
    """
    running = [
        name
        for name, member in view.members.items()
        if member.zone == zone
        and member.state in (MemberState.ALIVE, MemberState.SUSPECTED)
    ]
    running.sort(key=lambda name: (rendezvous_score(zone, name), name))
    if not running or view.members[running[0]].state is MemberState.ALIVE:
        return tuple(running[:1])
    alive = (n for n in running if view.members[n].state is MemberState.ALIVE)
    return (running[0], *list(alive)[:1])
