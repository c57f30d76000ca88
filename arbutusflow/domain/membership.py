"""Membership of entry instances: failure detection and gossip dissemination.

Follows the SWIM protocol, except that an unresponsive instance stays suspected
until there is proof that its process has ended. Invariants:
- An instance becomes `gone` only with a proof, and never leaves that state.
- Only the instance itself increments its incarnation.
- The work per tick and per datagram does not grow with the number of members.
"""

import bisect
import collections
import dataclasses
import math
from collections.abc import Iterable, Sequence
from typing import Self

import msgspec
import xxhash

from arbutusflow.domain.membership_messages import (
    GONE_PROOFS,
    MAX_DATAGRAM_BYTES,
    MAX_INCARNATION,
    Ack,
    Action,
    Address,
    AddressReused,
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
from arbutusflow.errors import SettingsError

TICK_SECONDS = 0.1
PROBE_PERIOD_SECONDS = 0.5
DIRECT_ACK_TIMEOUT_SECONDS = 0.2  # Leaves 0.3 s of the period for indirect probes.
INDIRECT_PROBES = 2
SUSPICION_TIMEOUT_SECONDS = 1.0
MAX_TICK_GAP_SECONDS = 0.5  # After a longer gap the process counts as paused.
PLATFORM_LIST_LAG_SECONDS = 30.0
# Number of times that each update is piggybacked, per doubling of the member
# count. SWIM needs more than one; two also compensate for lost datagrams.
TRANSMISSIONS_PER_DOUBLING = 2
# A new update is also pushed to a few members at each of the next ticks. It then
# reaches all members within the suspicion timeout; probes alone would take one
# probe period per hop.
PUSH_FANOUT = 2
PUSH_TICKS = 2
LEAVE_FANOUT = 4
# One of every this many probes targets a suspected member, to detect its recovery.
SUSPECT_PROBE_INTERVAL = 4
# Bounds the search for the next running member when many members have ended.
MAX_NEIGHBOUR_CANDIDATES = 64
MAX_TOMBSTONES = 1_024  # Five days at the design load of 194 stops a day.
PENDING_PING_SECONDS = 2.0
SYNC_TIMEOUT_SECONDS = 0.5
# Number of consecutive acks with a differing digest that starts a sync.
SYNC_DIGEST_MISMATCHES = 8
SYNC_INTERVAL_SECONDS = 10.0
# Incarnation of an instance that is known only from the platform's list. Every
# update about the instance supersedes it, and it is never sent.
UNKNOWN_INCARNATION = -1
_CURSOR_BYTES = 66
_ARRAY_HEADER_BYTES = 2
_TERMINAL_STATUSES = frozenset((Status.LEFT, Status.GONE))


@dataclasses.dataclass(slots=True)
class _PendingPing:
    """A ping that has not been acknowledged yet.

    `members_at_address` are the members recorded at `address` when the ping was
    sent. An ack from another instance proves that their processes have ended,
    because it was sent after they had held the address.
    """

    address: Address
    sent_at: float
    members_at_address: tuple[str, ...]
    target: str
    requester: Address | None = None
    requester_sequence: int = 0


@dataclasses.dataclass(slots=True)
class _Probe:
    target: str
    sequence: int
    started_at: float
    indirect_probes_sent: bool = False
    answered: bool = False


@dataclasses.dataclass(slots=True)
class _Sync:
    """Transfer of the member list from `address`, page by page."""

    address: Address
    cursor: str
    sequence: int
    requested_at: float
    awaiting_reply: bool = True


class MembershipCore:
    """Membership state machine of one instance, without I/O."""

    def __init__(
        self,
        own: MemberUpdate,
        seed_addresses: Sequence[Address],
        random_seed: int,
        platform_list_lag_seconds: float,
    ) -> None:
        self._instance = own.instance
        self._seed_addresses = tuple(
            item for item in seed_addresses if item != own.address
        )
        self._platform_list_lag_seconds = platform_list_lag_seconds
        self._random_seed = random_seed
        self._draw_count = 0
        self._sequence = (
            xxhash.xxh3_64_intdigest(own.instance.encode(), random_seed) % 2**32
        )
        self._records: dict[str, MemberUpdate] = {}
        self._members: dict[str, Member] = {}
        self._sorted_ids: list[str] = []
        self._members_by_address: dict[Address, tuple[str, ...]] = {}
        self._tombstones: dict[str, None] = {}
        self._digest = 0
        self._view_changed = False
        self._probe_order: list[str] = []
        self._probe_index = 0
        self._probe_rounds = 0
        self._probe: _Probe | None = None
        self._next_probe_at: float | None = None
        self._pending_pings: dict[int, _PendingPing] = {}
        self._suspected_since: dict[str, float] = {}  # Before the suspicion timeout.
        self._confirmed_suspects: dict[str, None] = {}  # After it, in insertion order.
        # Entries that the platform lists as gone, and since when. The time is None
        # once the instance has been declared gone.
        self._listed_gone: dict[str, tuple[ListedInstance, float | None]] = {}
        self._gossip_queue: collections.deque[str] = collections.deque()
        self._transmissions_left: dict[str, int] = {}
        self._push_ticks_left = 0
        self._joined = not self._seed_addresses
        self._sync: _Sync | None = None
        self._next_sync_at = 0.0
        self._next_seed_at = 0.0
        self._seed_index = 0
        self._digest_mismatches = 0
        self._last_tick: float | None = None
        self._actions: list[Action] = []
        self._store(own, 0.0)

    @classmethod
    def from_config(
        cls,
        instance: str,
        zone: str,
        address: Address,
        seed_addresses: Sequence[Address],
        random_seed: int,
        platform_list_lag_seconds: float = PLATFORM_LIST_LAG_SECONDS,
    ) -> Self:
        """Return the membership of a process that starts as `instance`.

        `random_seed` determines every random choice. Raises `SettingsError` for a
        name or address that does not fit into a datagram.
        """
        own = MemberUpdate(instance, zone, address, 0, Status.ALIVE)
        try:
            own = msgspec.convert(msgspec.to_builtins(own), MemberUpdate)
        except msgspec.ValidationError as exc:
            raise SettingsError(
                f"instance {instance!r}, zone {zone!r} or address {address} cannot "
                f"be encoded in membership datagrams; correct the settings: {exc}"
            ) from exc
        return cls(own, seed_addresses, random_seed, platform_list_lag_seconds)

    @property
    def view(self) -> View:
        """Current view of all known instances."""
        return View(self._instance, dict(self._members))

    @property
    def digest(self) -> int:
        """Digest of the members that are neither `left` nor `gone`."""
        return self._digest

    def handle(self, event: Event, now: float) -> list[Action]:
        """Apply `event` and return the actions to carry out.

        `now` is the time of a monotonic clock in seconds.
        """
        if self._last_tick is None:
            self._last_tick = now
        elif now - self._last_tick > MAX_TICK_GAP_SECONDS:
            self._reset_timers_after_pause(now - self._last_tick, now)
        match event:
            case Tick():
                self._on_tick(now)
            case DatagramReceived(message, source):
                self._on_datagram(message, source, now)
            case InstancesListed(instances):
                self._on_instances_listed(instances, now)
            case ConnectionRefused(instance) | AddressReused(instance):
                self._declare_gone(instance, Proof.PROCESS_EXITED, now)
            case ZoneDeclaredLost(zone):
                for record in list(self._records.values()):
                    if record.zone == zone:
                        self._declare_gone(
                            record.instance, Proof.OPERATOR_DECLARED, now
                        )
            case LeaveRequested():
                self._on_leave_requested(now)
        # Datagrams arrive in bursts, so view changes caused by them are reported
        # together with the next event of another kind, at the latest the next tick.
        if self._view_changed and not isinstance(event, DatagramReceived):
            self._view_changed = False
            self._actions.append(ViewChanged(self.view))
        actions, self._actions = self._actions, []
        return actions

    # Timers

    def _reset_timers_after_pause(self, pause_seconds: float, now: float) -> None:
        """Restart the timers that would expire only because this process paused."""
        self._last_tick = now
        self._suspected_since = dict.fromkeys(self._suspected_since, now)
        self._listed_gone = {
            name: (item, since if since is None else since + pause_seconds)
            for name, (item, since) in self._listed_gone.items()
        }
        if self._sync is not None:
            self._sync.requested_at = now
        if self._probe is not None and not self._probe.answered:
            self._start_probe(self._probe.target, now)
        self._next_probe_at = now + PROBE_PERIOD_SECONDS

    def _on_tick(self, now: float) -> None:
        self._last_tick = now
        self._expire_timers(now)
        if self._own_record.status not in _TERMINAL_STATUSES:
            self._advance_sync(now)
            self._advance_probe(now)
        if self._push_ticks_left:
            self._push_ticks_left -= 1
            # Pushes do not use up transmissions. Otherwise an update would be used up
            # within a few ticks, and a member that no push reached would receive it
            # seconds later.
            for name in self._random_alive_members(PUSH_FANOUT):
                self._ping_member(name, now, uses_transmission=False)

    def _expire_timers(self, now: float) -> None:
        while self._pending_pings:
            sequence, ping = next(iter(self._pending_pings.items()))
            if now - ping.sent_at < PENDING_PING_SECONDS:
                break
            del self._pending_pings[sequence]
        for name, since in list(self._suspected_since.items()):
            if now - since >= SUSPICION_TIMEOUT_SECONDS:
                del self._suspected_since[name]
                self._confirmed_suspects[name] = None
                self._update_view(self._records[name])
        for name, (item, listed_at) in list(self._listed_gone.items()):
            if (
                listed_at is not None
                and now - listed_at > self._platform_list_lag_seconds
            ):
                self._listed_gone[name] = (item, None)
                self._declare_gone(name, Proof.PLATFORM_GONE, now, item)

    # Probes

    def _advance_probe(self, now: float) -> None:
        if self._next_probe_at is None:
            # Randomizes the phase, so that the probes of instances that start together
            # are distributed over the period.
            self._next_probe_at = now + PROBE_PERIOD_SECONDS * self._random_below(5) / 5
        probe = self._probe
        if probe is not None and not probe.answered and not probe.indirect_probes_sent:
            self._request_indirect_probes(probe, now)
        if now < self._next_probe_at:
            return
        self._next_probe_at = max(
            self._next_probe_at + PROBE_PERIOD_SECONDS, now + PROBE_PERIOD_SECONDS / 2
        )
        if probe is not None and not probe.answered:
            self._suspect(probe.target, now)
        self._probe = None
        target = self._next_probe_target()
        if target is not None:
            self._start_probe(target, now)

    def _request_indirect_probes(self, probe: _Probe, now: float) -> None:
        record = self._records.get(probe.target)
        if now - probe.started_at < DIRECT_ACK_TIMEOUT_SECONDS or record is None:
            return
        probe.indirect_probes_sent = True
        for name in self._random_alive_members(INDIRECT_PROBES, probe.target):
            message = PingRequest(
                probe.sequence,
                self._instance,
                self._own_record.incarnation,
                probe.target,
                record.address,
            )
            self._send(self._records[name].address, message, now)

    def _start_probe(self, target: str, now: float) -> None:
        if target in self._records:
            self._probe = _Probe(target, self._ping_member(target, now), now)

    def _suspect(self, name: str, now: float) -> None:
        record = self._records.get(name)
        if record is None or record.status is not Status.ALIVE:
            return
        self._apply(msgspec.structs.replace(record, status=Status.SUSPECTED), now)
        # Notifies the member at once, so that it can refute the suspicion before the
        # suspicion timeout.
        self._ping_member(name, now)

    def _next_probe_target(self) -> str | None:
        self._probe_rounds += 1
        if (
            self._confirmed_suspects
            and self._probe_rounds % SUSPECT_PROBE_INTERVAL == 0
        ):
            return self._next_suspect()
        if self._probe_rounds % 2:
            neighbour = self._next_neighbour()
            if neighbour is not None:
                return neighbour
        for _ in range(2):
            while self._probe_index < len(self._probe_order):
                name = self._probe_order[self._probe_index]
                self._probe_index += 1
                if self._is_running(name) and name not in self._confirmed_suspects:
                    return name
            self._shuffle_probe_order()
        return self._next_suspect() if self._confirmed_suspects else None

    def _next_neighbour(self) -> str | None:
        """Return the running member with the next higher identifier, wrapping around.

        With random targets alone, a member is now and then not probed for several
        seconds. As the neighbour of some instance, each member is probed once a second.
        """
        start = bisect.bisect_right(self._sorted_ids, self._instance)
        for offset in range(min(MAX_NEIGHBOUR_CANDIDATES, len(self._sorted_ids) - 1)):
            name = self._sorted_ids[(start + offset) % len(self._sorted_ids)]
            if self._is_running(name) and name not in self._confirmed_suspects:
                return name
        return None

    def _next_suspect(self) -> str:
        # Random, so that not all instances probe the same suspected member.
        for _ in range(16):
            name = self._probe_order[self._random_below(len(self._probe_order))]
            if name in self._confirmed_suspects:
                return name
        name = next(iter(self._confirmed_suspects))
        del self._confirmed_suspects[name]
        self._confirmed_suspects[name] = None
        return name

    def _shuffle_probe_order(self) -> None:
        self._probe_order = [
            name for name in self._probe_order if self._is_running(name)
        ]
        self._probe_index = 0
        for last in range(len(self._probe_order) - 1, 0, -1):
            other = self._random_below(last + 1)
            self._probe_order[last], self._probe_order[other] = (
                self._probe_order[other],
                self._probe_order[last],
            )

    def _is_running(self, name: str) -> bool:
        record = self._records.get(name)
        return record is not None and record.status not in _TERMINAL_STATUSES

    def _random_alive_members(self, count: int, excluded: str = "") -> list[str]:
        """Return up to `count` random members that are not suspected."""
        chosen: list[str] = []
        # Bounding the number of draws keeps the cost independent of the member count.
        for _ in range(8 * count):
            if len(chosen) == count or not self._probe_order:
                break
            name = self._probe_order[self._random_below(len(self._probe_order))]
            record = self._records.get(name)
            if record is None or record.status is not Status.ALIVE:
                continue
            if name != excluded and name not in chosen:
                chosen.append(name)
        return chosen

    def _random_below(self, bound: int) -> int:
        """Return a pseudo-random number from 0 to `bound - 1`."""
        self._draw_count += 1
        data = f"{self._instance}\0{self._draw_count}".encode()
        return xxhash.xxh3_64_intdigest(data, self._random_seed) % bound

    # Member list sync

    def _advance_sync(self, now: float) -> None:
        sync = self._sync
        if sync is not None:
            if now - sync.requested_at < SYNC_TIMEOUT_SECONDS:
                return
            if not sync.awaiting_reply:
                self._request_page(sync.address, sync.cursor, now)
                return
            self._sync = None
        if not self._joined or now >= self._next_seed_at:
            self._sync_with_seed(sync.cursor if sync and not self._joined else "", now)

    def _sync_with_seed(self, cursor: str, now: float) -> None:
        """Request the member list of a seed.

        After joining, only seed addresses without an alive member are contacted: they
        may belong to a group that formed independently of this one.
        """
        self._next_seed_at = now + SYNC_INTERVAL_SECONDS
        for _ in self._seed_addresses:
            address = self._seed_addresses[self._seed_index % len(self._seed_addresses)]
            self._seed_index += 1
            members_at_address = self._members_by_address.get(address, ())
            if self._joined and any(
                self._records[name].status is Status.ALIVE
                for name in members_at_address
            ):
                continue
            self._request_page(address, cursor, now, exchange=self._joined)
            return

    def _request_page(
        self, address: Address, cursor: str, now: float, exchange: bool = False
    ) -> None:
        sequence = self._next_sequence()
        message = Ping(
            sequence,
            self._instance,
            self._own_record.incarnation,
            "",
            cursor=cursor,
            exchange=exchange,
        )
        self._track_ping(sequence, address, "", now)
        self._sync = _Sync(address, cursor, sequence, now)
        self._send(address, message, now, (self._instance,))

    def _on_page(self, ack: Ack, now: float) -> None:
        sync = self._sync
        if sync is None or ack.sequence != sync.sequence:
            return
        if not ack.next_cursor:
            self._sync = None
            self._joined = True
            self._next_sync_at = now + SYNC_INTERVAL_SECONDS
        elif self._joined:
            # Syncs after joining request one page per timeout, to stay within the
            # byte budget.
            sync.cursor, sync.awaiting_reply = ack.next_cursor, False
        else:
            self._request_page(sync.address, ack.next_cursor, now)

    def _compare_digest(self, ack: Ack, source: Address, now: float) -> None:
        if ack.digest == self._digest:
            self._digest_mismatches = 0
            return
        self._digest_mismatches += 1
        if (
            self._digest_mismatches >= SYNC_DIGEST_MISMATCHES
            and self._sync is None
            and now >= self._next_sync_at
        ):
            self._digest_mismatches = 0
            # If only this instance has an update, the others mostly probe each other,
            # see equal digests and start no sync. An exchange sends them the update.
            self._request_page(source, "", now, exchange=True)

    # Datagrams

    def _on_datagram(self, message: Message, source: Address, now: float) -> None:
        if isinstance(message, Ack) and message.next_cursor is not None:
            # A joining instance does not gossip the list that it receives, because
            # the other members have it already.
            gossip = self._joined
        else:
            gossip = True
        for update in message.updates:
            self._apply(update, now, gossip)
        match message:
            case Ping():
                self._observe_incarnation(message.sender, message.incarnation, now)
                self._on_ping(message, source, now)
            case Ack():
                self._observe_incarnation(message.sender, message.incarnation, now)
                self._on_ack(message, source, now)
            case PingRequest():
                self._observe_incarnation(message.sender, message.incarnation, now)
                self._on_ping_request(message, source, now)
            case Leave():
                pass  # The sender's own update, applied above, carries the status.

    def _observe_incarnation(self, sender: str, incarnation: int, now: float) -> None:
        record = self._records.get(sender)
        if (
            record is None
            or sender == self._instance
            or record.status in _TERMINAL_STATUSES
        ):
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
        included_first = []
        if record is not None and record.status is not Status.ALIVE:
            included_first.append(ping.sender)
        if (
            self._own_record.status in _TERMINAL_STATUSES
            or ping.target != self._instance
        ):
            included_first.append(self._instance)
        message = Ack(
            ping.sequence,
            self._instance,
            self._own_record.incarnation,
            self._digest,
            knows_you=record is not None,
        )
        if ping.cursor is None:
            self._send(source, message, now, included_first)
        else:
            self._send_page(source, message, ping.cursor, now)
            if ping.exchange and self._sync is None and self._joined:
                self._request_page(source, "", now)

    def _on_ack(self, ack: Ack, source: Address, now: float) -> None:
        ping = self._pending_pings.get(ack.sequence)
        direct = ping is not None and source == ping.address and not ack.relayed_for
        if ping is not None and direct:
            del self._pending_pings[ack.sequence]
            for name in ping.members_at_address:
                if name != ack.sender:
                    self._declare_gone(name, Proof.PROCESS_EXITED, now)
            if ping.requester is not None and ping.target == ack.sender:
                message = Ack(
                    ping.requester_sequence,
                    self._instance,
                    self._own_record.incarnation,
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
            self._on_page(ack, now)

    def _on_ping_request(
        self, request: PingRequest, source: Address, now: float
    ) -> None:
        sequence = self._ping_address(request.address, request.target, now)
        ping = self._pending_pings[sequence]
        ping.requester, ping.requester_sequence = source, request.sequence

    # Events other than ticks and datagrams

    def _on_instances_listed(
        self, instances: Iterable[ListedInstance], now: float
    ) -> None:
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
                        UNKNOWN_INCARNATION,
                        Status.SUSPECTED,
                        age=10,
                    ),
                    now,
                )
        self._listed_gone = listed_gone

    def _on_leave_requested(self, now: float) -> None:
        if self._own_record.status is Status.GONE:
            return
        if self._own_record.status is not Status.LEFT:
            self._store(
                msgspec.structs.replace(self._own_record, status=Status.LEFT),
                now,
                gossip=True,
            )
        for name in self._random_alive_members(LEAVE_FANOUT):
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
        self._store(update, now, gossip=True)

    # Member records

    @property
    def _own_record(self) -> MemberUpdate:
        return self._records[self._instance]

    def _apply(self, update: MemberUpdate, now: float, gossip: bool = True) -> None:
        """Store `update` if it supersedes the record of the same instance.

        Updates whose proof does not match their status are ignored.
        """
        if (update.status is Status.GONE) != (update.proof in GONE_PROOFS):
            return
        if update.instance == self._instance:
            self._apply_to_self(update, now)
            return
        record = self._records.get(update.instance)
        if record is None or _supersedes(update, record):
            self._store(update, now, gossip)
        elif (
            update.status is Status.SUSPECTED
            and update.incarnation == record.incarnation
            and update.instance in self._suspected_since
        ):
            since = self._suspected_since[update.instance]
            self._suspected_since[update.instance] = min(since, now - update.age / 10)

    def _apply_to_self(self, update: MemberUpdate, now: float) -> None:
        own = self._own_record
        if own.status is Status.GONE:
            return
        if update.status is Status.GONE:
            # The identifier cannot be reused; the process has to restart with another.
            self._store(update, now, gossip=True)
        elif (
            update.status is Status.SUSPECTED
            and own.status is Status.ALIVE
            # A corrupt update with the maximum incarnation must not push the
            # incarnation of this instance out of range.
            and own.incarnation <= update.incarnation < MAX_INCARNATION
        ):
            refutation = msgspec.structs.replace(
                own, incarnation=update.incarnation + 1
            )
            self._store(refutation, now, gossip=True)

    def _store(self, update: MemberUpdate, now: float, gossip: bool = False) -> None:
        name = update.instance
        previous = self._records.get(name)
        if previous is None:
            bisect.insort(self._sorted_ids, name)
            if name != self._instance:
                self._insert_in_probe_order(name)
        else:
            self._digest ^= _record_digest(previous)
            self._unindex_address(previous)
        self._digest ^= _record_digest(update)
        self._records[name] = msgspec.structs.replace(update, age=0)
        self._suspected_since.pop(name, None)
        self._confirmed_suspects.pop(name, None)
        if update.status in _TERMINAL_STATUSES:
            self._tombstones.pop(name, None)
            self._tombstones[name] = None
        else:
            self._index_address(update)
        if update.status is Status.SUSPECTED:
            if update.age / 10 < SUSPICION_TIMEOUT_SECONDS:
                self._suspected_since[name] = now - update.age / 10
            else:
                self._confirmed_suspects[name] = None
        self._update_view(update)
        if gossip or name == self._instance:
            self._enqueue_gossip(name)
        if len(self._tombstones) > MAX_TOMBSTONES:
            self._evict_oldest_tombstone()
        if (
            update.status not in _TERMINAL_STATUSES
            and update.address == self._own_record.address
        ):
            # This process is bound to the address, so the earlier one has ended.
            if name != self._instance:
                self._declare_gone(name, Proof.PROCESS_EXITED, now)
        elif len(self._members_by_address.get(update.address, ())) > 1:
            # The instance that acknowledges a ping sent from now on has replaced the
            # other members at this address.
            self._ping_address(update.address, "", now)

    def _index_address(self, update: MemberUpdate) -> None:
        members_at_address = self._members_by_address.get(update.address, ())
        self._members_by_address[update.address] = (
            *members_at_address,
            update.instance,
        )

    def _unindex_address(self, record: MemberUpdate) -> None:
        members_at_address = self._members_by_address.get(record.address, ())
        rest = tuple(name for name in members_at_address if name != record.instance)
        if rest:
            self._members_by_address[record.address] = rest
        else:
            self._members_by_address.pop(record.address, None)

    def _insert_in_probe_order(self, name: str) -> None:
        # Inserts at a random position among the members not yet probed in this pass.
        self._probe_order.append(name)
        span = len(self._probe_order) - self._probe_index
        if span > 0:
            other = self._probe_index + self._random_below(span)
            self._probe_order[-1], self._probe_order[other] = (
                self._probe_order[other],
                self._probe_order[-1],
            )

    def _update_view(self, record: MemberUpdate) -> None:
        match record.status:
            case Status.ALIVE:
                state = MemberState.ALIVE
            case Status.SUSPECTED:
                confirmed = record.instance in self._confirmed_suspects
                state = MemberState.SUSPECTED if confirmed else MemberState.ALIVE
            case Status.LEFT:
                state = MemberState.LEFT
            case Status.GONE:
                state = MemberState.GONE
        member = Member(record.zone, record.address, state, record.proof)
        if self._members.get(record.instance) != member:
            self._members[record.instance] = member
            self._view_changed = True

    def _evict_oldest_tombstone(self) -> None:
        name = next((item for item in self._tombstones if item != self._instance), None)
        if name is None:
            return
        del self._tombstones[name], self._records[name], self._members[name]
        del self._sorted_ids[bisect.bisect_left(self._sorted_ids, name)]
        self._transmissions_left.pop(name, None)
        self._view_changed = True

    # Sending

    def _enqueue_gossip(self, name: str) -> None:
        if name not in self._transmissions_left:
            self._gossip_queue.appendleft(name)
        doublings = math.ceil(math.log2(len(self._records) + 1))
        self._transmissions_left[name] = TRANSMISSIONS_PER_DOUBLING * doublings
        self._push_ticks_left = PUSH_TICKS

    def _next_sequence(self) -> int:
        self._sequence = (self._sequence + 1) % 2**32
        return self._sequence

    def _track_ping(
        self, sequence: int, address: Address, target: str, now: float
    ) -> None:
        members_at_address = self._members_by_address.get(address, ())
        self._pending_pings[sequence] = _PendingPing(
            address, now, members_at_address, target
        )

    def _ping_member(
        self, name: str, now: float, uses_transmission: bool = True
    ) -> int:
        record = self._records[name]
        # Includes the target's own status, so that it can refute a suspicion.
        included_first = () if record.status is Status.ALIVE else (name,)
        return self._ping_address(
            record.address, name, now, included_first, uses_transmission
        )

    def _ping_address(
        self,
        address: Address,
        target: str,
        now: float,
        included_first: Sequence[str] = (),
        uses_transmission: bool = True,
    ) -> int:
        sequence = self._next_sequence()
        self._track_ping(sequence, address, target, now)
        message = Ping(sequence, self._instance, self._own_record.incarnation, target)
        self._send(address, message, now, included_first, uses_transmission)
        return sequence

    def _send(
        self,
        address: Address,
        message: Message,
        now: float,
        included_first: Sequence[str] = (),
        uses_transmission: bool = True,
    ) -> None:
        """Send `message` with the updates of `included_first`, then queued gossip.

        `uses_transmission` tells whether the datagram counts towards the transmissions
        of the queued updates.
        """
        free_bytes = MAX_DATAGRAM_BYTES - _ARRAY_HEADER_BYTES
        free_bytes -= len(msgspec.msgpack.encode(message))
        updates: list[MemberUpdate] = []
        for name in included_first:
            update, size = self._wire_update(name, now)
            if update is not None and size <= free_bytes:
                updates.append(update)
                free_bytes -= size
        for _ in range(len(self._gossip_queue)):
            name = self._gossip_queue.popleft()
            if name not in self._transmissions_left:
                continue
            update, size = self._wire_update(name, now)
            if size > free_bytes:
                self._gossip_queue.appendleft(name)
                break
            if update is not None and name not in included_first:
                updates.append(update)
                free_bytes -= size
            if uses_transmission:
                self._count_transmission(name)
            else:
                self._gossip_queue.append(name)
        message = msgspec.structs.replace(message, updates=tuple(updates))
        self._actions.append(SendDatagram(address, message))

    def _count_transmission(self, name: str) -> None:
        self._transmissions_left[name] -= 1
        if self._transmissions_left[name] > 0:
            self._gossip_queue.append(name)
        else:
            del self._transmissions_left[name]

    def _send_page(
        self, address: Address, message: Ack, cursor: str, now: float
    ) -> None:
        free_bytes = MAX_DATAGRAM_BYTES - _ARRAY_HEADER_BYTES - _CURSOR_BYTES
        free_bytes -= len(msgspec.msgpack.encode(message))
        updates = []
        next_cursor = ""
        for index in range(
            bisect.bisect_right(self._sorted_ids, cursor), len(self._sorted_ids)
        ):
            name = self._sorted_ids[index]
            update, size = self._wire_update(name, now)
            if size > free_bytes:
                next_cursor = self._sorted_ids[index - 1]
                break
            if update is not None:
                updates.append(update)
                free_bytes -= size
        message = msgspec.structs.replace(
            message, next_cursor=next_cursor, updates=tuple(updates)
        )
        self._actions.append(SendDatagram(address, message))

    def _wire_update(self, name: str, now: float) -> tuple[MemberUpdate | None, int]:
        """Return the update to send about a member, and its encoded size in bytes."""
        record = self._records.get(name)
        if record is None or record.incarnation == UNKNOWN_INCARNATION:
            return None, 0
        if record.status is Status.SUSPECTED:
            since = self._suspected_since.get(name, now - SUSPICION_TIMEOUT_SECONDS)
            age = min(10, max(0, int((now - since) * 10)))
            record = msgspec.structs.replace(record, age=age)
        return record, len(msgspec.msgpack.encode(record))


def _supersedes(update: MemberUpdate, record: MemberUpdate) -> bool:
    """Return whether `update` takes precedence over `record` of the same instance."""
    if record.status in _TERMINAL_STATUSES or update.status in _TERMINAL_STATUSES:
        # Only one process ever uses an identifier, so a terminal status is final.
        return update.status > record.status
    if update.incarnation != record.incarnation:
        return update.incarnation > record.incarnation
    return update.status > record.status


def _record_digest(record: MemberUpdate) -> int:
    if record.status in _TERMINAL_STATUSES or record.incarnation == UNKNOWN_INCARNATION:
        return 0
    return xxhash.xxh3_64_intdigest(
        f"{record.instance}\0{record.incarnation}\0{record.status}".encode()
    )


def platform_watchers(zone: str, view: View) -> tuple[str, ...]:
    """Return the instances that watch the platform on behalf of `zone`.

    The running instance with the lowest rendezvous score is the watcher. While it is
    suspected, the alive instance with the next lowest score watches as well.
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
