"""Cost of the membership protocol per instance, on a simulated network.

Time is simulated, so message counts and detection times depend only on the
arguments. Processor time depends on the host, heap memory on the Python
build.
"""

import collections
import dataclasses
import heapq
import time
import tracemalloc
from collections.abc import Callable, Iterable, Sequence

import msgspec

from arbutusflow.domain.membership import TICK_SECONDS, MembershipCore
from arbutusflow.domain.membership_messages import (
    Ack,
    Address,
    DatagramReceived,
    Event,
    MemberState,
    MemberUpdate,
    Message,
    SendDatagram,
    Status,
    Tick,
    View,
    ViewChanged,
)

DATAGRAM_DELAY_SECONDS = 0.0015
IP_UDP_HEADER_BYTES = 28  # IPv4 and UDP headers, counted as traffic.
ZONES = 18
DETECTION_LIMIT_SECONDS = 60.0
STOPPED_INSTANCES = 5


@dataclasses.dataclass(frozen=True, slots=True)
class MembershipCost:
    """Cost of the membership protocol among `members` instances without changes.

    Messages and bytes are those that an instance sends, with IP and UDP headers.
    Processor time covers the core and the codec, not the socket. Heap bytes are those
    of one instance, divided by `members`. Detection lasts until all other
    instances suspect one that stopped; it is the longest of several stopped in turn.
    """

    members: int
    messages_per_second: float
    bytes_per_second: float
    processor_microseconds_per_second: float
    heap_bytes_per_member: float
    detection_seconds: float


class SimulatedNetwork:
    """Delivers datagrams between membership cores in simulated time.

    `delay` gives the seconds that a datagram from one address to another takes,
    or `None` if it is lost.
    """

    def __init__(
        self,
        cores: dict[Address, MembershipCore],
        delay: Callable[[Address, Address], float | None] = lambda _a, _b: (
            DATAGRAM_DELAY_SECONDS
        ),
    ) -> None:
        self.cores = cores
        self.delay = delay
        self.now = 0.0
        self.views: dict[Address, View] = {}
        self.paused: set[Address] = set()
        self.sent: collections.Counter[Address] = collections.Counter()
        self.sent_bytes: collections.Counter[Address] = collections.Counter()
        self.largest_bytes = 0
        self._encode = msgspec.msgpack.Encoder().encode
        self._decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(
            Message
        )
        self._queue: list[tuple[float, int, Address, Address, bytes]] = []
        self._datagram_number = 0
        self._ticks = 0

    def run(self, seconds: float) -> None:
        """Advance the clock by `seconds`, ticking all cores that are not paused."""
        for _ in range(round(seconds / TICK_SECONDS)):
            self._ticks += 1
            until = self._ticks * TICK_SECONDS
            while self._queue and self._queue[0][0] <= until:
                self.now, _, target, source, data = heapq.heappop(self._queue)
                if target in self.cores and target not in self.paused:
                    message = self._decoder.decode(data)
                    self.feed(target, DatagramReceived(message, source))
            self.now = until
            for address in list(self.cores):
                if address not in self.paused:
                    self.feed(address, Tick())

    def feed(self, address: Address, event: Event) -> None:
        """Let the core at `address` handle `event` and queue the datagrams it sends."""
        for action in self.cores[address].handle(event, self.now):
            match action:
                case SendDatagram(target, message):
                    self._transmit(address, target, message)
                case ViewChanged(view):
                    self.views[address] = view

    def _transmit(self, source: Address, target: Address, message: Message) -> None:
        data = self._encode(message)
        self.sent[source] += 1
        self.sent_bytes[source] += len(data) + IP_UDP_HEADER_BYTES
        self.largest_bytes = max(self.largest_bytes, len(data))
        delay = self.delay(source, target)
        if delay is not None:
            self._datagram_number += 1
            datagram = (self.now + delay, self._datagram_number, target, source, data)
            heapq.heappush(self._queue, datagram)


def build_network(size: int, seed: int) -> SimulatedNetwork:
    """Return a network of `size` instances that already know each other."""
    updates = [
        MemberUpdate(
            f"{index:016x}",
            f"region-{index % ZONES}",
            Address(f"10.0.{index // 250}.{index % 250 + 1}", 7_000),
            0,
            Status.ALIVE,
        )
        for index in range(size)
    ]
    network = SimulatedNetwork({})
    for update in updates:
        core = MembershipCore.from_config(
            update.instance,
            update.zone,
            update.address,
            [updates[0].address, updates[-1].address],
            seed,
        )
        _answer_join(core, updates)
        network.cores[update.address] = core
    return network


def measure_membership(
    sizes: Iterable[int], seconds: float, seed: int
) -> list[MembershipCost]:
    """Return the cost for each number of members over `seconds` of simulated time."""
    return [_measure(size, seconds, seed) for size in sizes]


def _answer_join(core: MembershipCore, updates: Sequence[MemberUpdate]) -> None:
    """Answer the first request of a joining core with the complete member list."""
    for action in core.handle(Tick(), 0.0):
        if (
            isinstance(action, SendDatagram)
            and getattr(action.message, "cursor", None) is not None
        ):
            answer = Ack(
                action.message.sequence,  # type: ignore[union-attr]
                updates[0].instance,
                0,
                0,
                next_cursor="",
                updates=tuple(updates),
            )
            core.handle(DatagramReceived(answer, action.address), 0.0)


def _measure(size: int, seconds: float, seed: int) -> MembershipCost:
    network = build_network(size, seed)
    network.run(10.0)  # Until the updates of the start are no longer sent.
    network.sent.clear()
    network.sent_bytes.clear()
    started = time.process_time()
    network.run(seconds)
    processor_seconds = time.process_time() - started
    instance_seconds = size * seconds
    messages = network.sent.total() / instance_seconds
    sent_bytes = network.sent_bytes.total() / instance_seconds
    return MembershipCost(
        members=size,
        messages_per_second=messages,
        bytes_per_second=sent_bytes,
        processor_microseconds_per_second=processor_seconds * 1e6 / instance_seconds,
        heap_bytes_per_member=_heap_bytes(size, seed) / size,
        detection_seconds=max(
            detection_seconds(network) for _ in range(min(STOPPED_INSTANCES, size // 2))
        ),
    )


def detection_seconds(network: SimulatedNetwork) -> float:
    """Stop one instance and return the seconds until all others suspect it."""
    stopped_address = list(network.cores)[len(network.cores) // 2]
    stopped_instance = network.cores.pop(stopped_address).view.instance
    started = network.now
    while network.now - started < DETECTION_LIMIT_SECONDS:
        network.run(TICK_SECONDS)
        if all(
            address in network.views
            and network.views[address].members[stopped_instance].state
            is MemberState.SUSPECTED
            for address in network.cores
        ):
            return network.now - started
    return float("inf")


def _heap_bytes(size: int, seed: int) -> int:
    """Return the heap bytes of one instance that knows `size` members."""
    encoded = msgspec.msgpack.encode(
        [
            MemberUpdate(
                f"{index:016x}",
                f"region-{index % ZONES}",
                Address(f"10.0.{index // 250}.{index % 250 + 1}", 7_000),
                0,
                Status.ALIVE,
            )
            for index in range(size)
        ]
    )
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        core = MembershipCore.from_config(
            "f" * 16,
            "region-0",
            Address("10.9.9.9", 7_000),
            [Address("10.0.0.1", 7_000)],
            seed,
        )
        # Decoded updates have strings of their own, like those from real datagrams.
        _answer_join(core, msgspec.msgpack.decode(encoded, type=list[MemberUpdate]))
        core.handle(Tick(), TICK_SECONDS)
        after, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    return after - before
