"""Changes of any size travel in pieces, of which only the lost ones are sent again.

Guards against changes that no datagram holds or of which one lost fragment costs the
whole, against links that are filled with repeats, and against pieces that take up
memory or are put together to something that the store never held.
"""

import asyncio
import os
import random

import msgspec
import pytest
from hypothesis import given, settings, strategies as st

from arbutusflow.gateway.event_log import EventLog
from arbutusflow.gateway.model import Address, StorePoint
from arbutusflow.gateway.peers import CopyRequest, CopyTransfer, PeerReports
from arbutusflow.gateway.piece_receipt import Receipt
from arbutusflow.gateway.pieces import (
    BURST_BYTES,
    DIGEST_BYTES,
    MAX_BYTES_PER_SECOND,
    MAX_CACHED_BYTES,
    MAX_CACHED_TRANSFERS,
    MAX_TRANSFER_BYTES,
    PIECE_BYTES,
    WINDOW_PIECES,
    OutgoingTransfer,
    PieceRequest,
    SendRate,
    TransferCache,
    TransferPiece,
    piece_count,
)
from arbutusflow.gateway.state_relay import SOURCE_SILENCE_SECONDS, StateRelay
from arbutusflow.gateway.store_watch import ObjectCopy
from arbutusflow.platform.store import Change, StoredObject
from tests.gateway.fakes import FakeLog, FakeStore, at
from tests.gateway.virtual_time import run

KIND = "kind"
SAFE_DATAGRAM_BYTES = 1372  # An MTU of 1,400 bytes without the headers of UDP and IP.
SOURCE = Address("source", 1)
OTHER_SOURCE = Address("other", 1)


def make_transfer(size, seed=1, base=10, revision=11):
    data = random.Random(seed).randbytes(size)
    return OutgoingTransfer.from_data(KIND, at(base), at(revision), data)


def all_pieces(transfer):
    return [transfer._piece(n) for n in range(piece_count(len(transfer.data)))]


def make_item(name, revision, value):
    raw = {"metadata": {"name": name, "revision": revision}, "spec": value}
    return StoredObject(name, at(revision), value, raw)


class Node:
    """A relay with one copy that never calls the store."""

    def __init__(self, name, send, life=1):
        self.address = Address(name, 1)
        self.in_force = []  # Revision and contents, each time they changed.
        log = EventLog(name, fd=os.open(os.devnull, os.O_WRONLY))
        self.copy = ObjectCopy(FakeStore(), KIND, 15.0, self._note, log)
        self.copy.set_parked(True)
        self.peers = PeerReports(name, life, lambda *_: None, self._handle, log)
        self.peers.connection_made(self)
        self._send = send
        self.relay = StateRelay({KIND: self.copy}, self.peers, FakeLog(), self.now)

    @property
    def now(self):
        return asyncio.get_running_loop().time()

    def _note(self):
        contents = {name: item.spec for name, item in self.copy.objects.items()}
        self.in_force.append((self.copy.revision, contents))

    def sendto(self, data, target):
        self._send(self, data, target[0])

    def receive(self, data, source):
        self.peers.datagram_received(data, (source, 1))

    def _handle(self, message, source):
        match message:
            case CopyRequest():
                self.relay.send_changes(message, source, self.now)
            case PieceRequest():
                self.relay.send_pieces(message, source, self.now)
            case TransferPiece():
                self.relay.accept_piece(message, source, self.now)


class Network:
    """Carries datagrams between nodes; loses, repeats and reorders some."""

    def __init__(self, seed=1, loss=0.0, repeats=0.0, jitter=0.0):
        self.rng = random.Random(seed)
        self.loss, self.repeats, self.jitter = loss, repeats, jitter
        self.nodes = {}
        self.silent = set()
        self.sent = []  # Sender, target and message.

    def add(self, name, life=1):
        self.nodes[name] = Node(name, self.carry, life)
        return self.nodes[name]

    def carry(self, sender, data, target):
        self.sent.append((sender.address.host, target, sender.peers.decode(data)))
        assert len(data) <= SAFE_DATAGRAM_BYTES
        if sender.address.host in self.silent or self.rng.random() < self.loss:
            return
        for _ in range(1 + (self.rng.random() < self.repeats)):
            delay = 0.002 + self.rng.random() * self.jitter
            # Distinct times, so that nothing overtakes without jitter.
            delay += len(self.sent) * 1e-9
            loop = asyncio.get_running_loop()
            loop.call_later(delay, self._deliver, sender.address.host, data, target)

    def _deliver(self, sender, data, target):
        if target in self.nodes:
            self.nodes[target].receive(data, sender)

    async def run(self, seconds):
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        while loop.time() < end:
            for node in self.nodes.values():
                node.relay.tick(node.now)
            await asyncio.sleep(0.05)

    def pieces_to(self, name):
        return [
            (sender, message.number)
            for sender, target, message in self.sent
            if target == name and isinstance(message, TransferPiece)
        ]


def two_nodes(network, size):
    """Return a source with a later object of some bytes, and a receiver without it."""
    source, receiver = network.add("source"), network.add("receiver")
    for node in (source, receiver):
        node.copy.use_relayed_objects(at(10), [make_item("a", 10, 0)])
    item = make_item("a", 11, network.rng.randbytes(size // 2).hex())
    source.copy.apply_relayed_changes(at(10), at(11), [Change(item, False)])
    return source, receiver


@pytest.mark.parametrize("size", [10, 5_000, 400_000, 3_000_000])
def test_a_change_of_any_size_arrives_and_no_piece_is_sent_twice(size):
    async def scenario():
        network = Network()
        source, receiver = two_nodes(network, size)
        receiver.relay.request_changes({KIND: at(11)}, source.address, receiver.now)
        await network.run(6.0)
        assert receiver.copy.objects["a"].spec == source.copy.objects["a"].spec
        numbers = [number for _, number in network.pieces_to("receiver")]
        assert len(numbers) == len(set(numbers))
        return receiver.copy.revision

    assert run(scenario()) == at(11)


@pytest.mark.parametrize("seed", range(1, 6))
@pytest.mark.parametrize("loss", [0.05, 0.3])
def test_only_lost_pieces_are_sent_again(loss, seed):
    """Guards against repeats of the whole, which fill a slow link."""

    async def scenario():
        network = Network(seed, loss=loss)
        source, receiver = two_nodes(network, 400_000)
        for _ in range(400):
            receiver.relay.request_changes({KIND: at(11)}, source.address, receiver.now)
            await network.run(0.05)
            if receiver.copy.revision == at(11):
                break
        assert receiver.copy.revision == at(11)
        numbers = [number for _, number in network.pieces_to("receiver")]
        return len(numbers) / len(set(numbers))

    # Lost ones, and a few whose requests were late.
    assert run(scenario()) <= 1.15 / (1 - loss)


def test_a_change_that_is_on_its_way_is_not_requested_again():
    async def scenario():
        network = Network()
        source, receiver = two_nodes(network, 400_000)
        for _ in range(20):
            receiver.relay.request_changes({KIND: at(11)}, source.address, receiver.now)
            await asyncio.sleep(0.001)
        await network.run(1.0)
        return sum(isinstance(m, CopyRequest) for _, _, m in network.sent)

    assert run(scenario()) == 1


def test_a_receipt_goes_on_with_another_source_when_one_falls_silent():
    """Guards against a receipt that begins anew, or ends with its source."""

    async def scenario():
        network = Network()
        source, receiver = two_nodes(network, 400_000)
        other = network.add("other")
        other.copy.use_relayed_objects(at(10), [make_item("a", 10, 0)])
        change = Change(source.copy.objects["a"], False)
        # It read the same change at a later revision of the store.
        other.copy.apply_relayed_changes(at(10), at(11), [change])
        other.copy.apply_relayed_changes(at(11), at(15), [])
        receiver.relay.sources = lambda: [source.address, other.address]
        receiver.relay.request_changes({KIND: at(11)}, source.address, receiver.now)
        await asyncio.sleep(0.03)
        network.silent.add("source")
        await network.run(SOURCE_SILENCE_SECONDS + 1.0)
        assert receiver.copy.objects["a"].spec == source.copy.objects["a"].spec
        by_source = [
            {number for sender, number in network.pieces_to("receiver") if sender == x}
            for x in ("source", "other")
        ]
        again = len(by_source[0] & by_source[1])
        return again, receiver.relay.counts[KIND, "receipts_replaced"]

    again, replaced = run(scenario())
    assert again <= 2 * WINDOW_PIECES  # Those that were on their way.
    assert replaced == 0


def test_a_request_is_sent_to_others_if_the_teller_does_not_answer():
    async def scenario():
        network = Network()
        source, receiver = two_nodes(network, 1000)
        receiver.relay.sources = lambda: [source.address]
        for _ in range(20):
            receiver.relay.request_changes({KIND: at(11)}, OTHER_SOURCE, receiver.now)
            await network.run(0.1)
        return receiver.copy.revision

    assert run(scenario()) == at(11)


def _receipt(transfer, now=0.0):
    return Receipt(all_pieces(transfer)[0], SOURCE, now)


@pytest.mark.parametrize(
    "piece",
    [
        TransferPiece(
            KIND, at(10), at(11), bytes(DIGEST_BYTES), 5_000_000_000, 0, b"x"
        ),
        TransferPiece(
            KIND, at(10), at(11), bytes(DIGEST_BYTES), MAX_TRANSFER_BYTES + 1, 0, b""
        ),
        TransferPiece(KIND, at(10), at(11), bytes(DIGEST_BYTES), 0, 0, b""),
        TransferPiece(KIND, at(10), at(11), bytes(DIGEST_BYTES), -1, 0, b""),
        TransferPiece(KIND, at(10), at(11), bytes(DIGEST_BYTES), 10, 1, b"x" * 10),
        TransferPiece(KIND, at(10), at(11), bytes(DIGEST_BYTES), 10, -1, b"x" * 10),
        TransferPiece(KIND, at(10), at(11), bytes(DIGEST_BYTES), 10, 0, b"x" * 11),
        # It would overlap the next piece.
        TransferPiece(
            KIND, at(10), at(11), bytes(DIGEST_BYTES), 2 * PIECE_BYTES, 0, b"x" * 1201
        ),
        TransferPiece(KIND, at(10), at(11), b"short", 1, 0, b"x"),
    ],
)
def test_a_piece_out_of_bounds_is_dropped_and_counted(piece):
    async def scenario():
        network = Network()
        _, receiver = two_nodes(network, 10)
        receiver.relay.request_changes({KIND: at(11)}, SOURCE, receiver.now)
        receiver.relay.accept_piece(piece, SOURCE, receiver.now)
        return receiver.relay.counts[KIND, "pieces_invalid"], receiver.relay._receipts

    assert run(scenario()) == (1, {})


def test_pieces_that_were_not_asked_for_are_dropped():
    """Guards against memory for what any sender announces."""

    async def scenario():
        network = Network()
        _, receiver = two_nodes(network, 10)
        receiver.relay.request_changes({KIND: at(11)}, SOURCE, receiver.now)
        for piece in all_pieces(make_transfer(100_000)):
            receiver.relay.accept_piece(piece, OTHER_SOURCE, receiver.now)
        return receiver.relay.counts[KIND, "pieces_unasked"], receiver.relay._receipts

    assert run(scenario()) == (piece_count(100_000), {})


def test_pieces_of_outdated_versions_and_of_another_transfer_are_dropped():
    """Guards against a version of an earlier life of the source, or a mix of two."""

    async def scenario():
        network = Network()
        _, receiver = two_nodes(network, 10)
        relay, now = receiver.relay, receiver.now
        relay.request_changes({KIND: at(11)}, SOURCE, now)
        for base, revision in ((5, 10), (11, 12), (0, 9)):
            transfer = make_transfer(5000, 1, base, revision)
            relay.accept_piece(all_pieces(transfer)[0], SOURCE, now)
        relay.accept_piece(all_pieces(make_transfer(5000, 2))[0], SOURCE, now)
        relay.accept_piece(all_pieces(make_transfer(5000, 3))[1], SOURCE, now)
        counts = relay.counts
        return (
            counts[KIND, "pieces_outdated"],
            counts[KIND, "pieces_of_other_transfer"],
            receiver.copy.revision,
        )

    assert run(scenario()) == (3, 1, at(10))


def test_a_source_that_has_only_later_changes_replaces_the_receipt():
    async def scenario():
        network = Network()
        source, receiver = two_nodes(network, 100_000)
        receiver.relay.request_changes({KIND: at(11)}, source.address, receiver.now)
        await asyncio.sleep(0.005)
        # Neither the earlier version nor changes since are known after a restart.
        del network.nodes["source"]
        source = network.add("source", life=2)
        item = make_item("a", 12, network.rng.randbytes(50_000).hex())
        source.copy.use_relayed_objects(at(12), [item])
        await network.run(2.0)
        return receiver.copy.revision, receiver.copy.objects["a"].spec == item.spec

    assert run(scenario()) == (at(12), True)


def test_a_piece_that_differs_from_the_first_one_is_dropped():
    transfer = make_transfer(5000)
    receipt = _receipt(transfer)
    first = all_pieces(transfer)[0]
    assert receipt.accept(first, 0.1) == "used"
    assert receipt.accept(first, 0.1) == "duplicate"
    other = msgspec.structs.replace(first, data=bytes(PIECE_BYTES))
    assert receipt.accept(other, 0.1) == "disagrees"
    for change in ({"size": 6000}, {"base": 9}, {"revision": 12}):
        piece = msgspec.structs.replace(first, number=1, **change)
        assert receipt.accept(piece, 0.1) == "disagrees"
    for piece in all_pieces(transfer)[1:]:
        assert receipt.accept(piece, 0.1) == "used"
    assert receipt.data() == transfer.data


def test_a_transfer_with_a_wrong_checksum_is_not_used_and_is_requested_again():
    async def scenario():
        network = Network()
        source, receiver = two_nodes(network, 5000)
        receiver.relay.request_changes({KIND: at(11)}, source.address, receiver.now)
        await asyncio.sleep(0.003)  # The first window is on its way.
        for piece in all_pieces(source.relay._outgoing(KIND, at(10), at(11))):
            damaged = msgspec.structs.replace(piece, data=bytes(len(piece.data)))
            receiver.relay.accept_piece(damaged, source.address, receiver.now)
        assert receiver.copy.revision == at(10)
        wrong = receiver.relay.counts[KIND, "receipts_bad_checksum"]
        receiver.relay.request_changes({KIND: at(11)}, source.address, receiver.now)
        await network.run(1.0)
        return wrong, receiver.copy.revision

    assert run(scenario()) == (1, at(11))


def test_a_transfer_whose_contents_are_no_changes_is_not_used():
    async def scenario():
        network = Network()
        _, receiver = two_nodes(network, 10)
        relay, now = receiver.relay, receiver.now
        encode = receiver.peers.encode
        for data in (
            b"no message",
            b"\xc1no compressed data",
            encode(CopyRequest(KIND, at(1))),
            encode(CopyTransfer(KIND, at(10), at(13), [])),
            encode(CopyTransfer("another", at(10), at(11), [])),
        ):
            relay.request_changes({KIND: at(11)}, SOURCE, now)
            transfer = OutgoingTransfer.from_data(KIND, at(10), at(11), data)
            for piece in all_pieces(transfer):
                relay.accept_piece(piece, SOURCE, now)
        return relay.counts[KIND, "receipts_malformed"], receiver.copy.revision

    assert run(scenario()) == (5, at(10))


def test_memory_grows_with_what_arrived_and_not_with_what_was_announced():
    transfer = make_transfer(MAX_TRANSFER_BYTES)
    receipt = _receipt(transfer)
    for number in (0, piece_count(MAX_TRANSFER_BYTES) - 1):
        receipt.accept(transfer._piece(number), 0.0)
    request = receipt.request(at(10), 5.0)
    assert len(receipt._pieces) == 2
    assert request is None or len(request.numbers) <= WINDOW_PIECES
    assert len(receipt._requested) + len(receipt._lost) <= WINDOW_PIECES


def test_the_transfers_that_a_sender_keeps_are_bounded():
    cache = TransferCache()
    for revision in range(200):
        cache.add(make_transfer(1_500_000, revision=revision))
    kept = [cache.get(KIND, at(10), at(revision)) for revision in range(200)]
    kept = [transfer for transfer in kept if transfer is not None]
    assert 1 <= len(kept) <= MAX_CACHED_TRANSFERS
    assert sum(len(t.data) for t in kept) == cache._bytes <= MAX_CACHED_BYTES
    assert kept[-1].revision == at(199)


def test_the_rate_of_a_sender_is_bounded():
    rate = SendRate(0.0)
    sent = sum(
        PIECE_BYTES
        for step in range(200)
        for _ in range(100)
        if rate.allows(PIECE_BYTES, step * 0.01)
    )
    assert sent >= 0.95 * 2 * MAX_BYTES_PER_SECOND
    assert sent <= 2 * MAX_BYTES_PER_SECOND + BURST_BYTES


POINTS = st.builds(
    StorePoint,
    st.integers(0, 1) | st.integers(),
    st.integers(8, 14) | st.integers(),
)
PIECES = st.builds(
    TransferPiece,
    st.just(KIND),
    POINTS,
    POINTS,
    st.sampled_from([bytes(DIGEST_BYTES), b"1" * DIGEST_BYTES])
    | st.binary(max_size=20),
    st.integers(1, 3 * PIECE_BYTES) | st.integers(),
    st.integers(0, 3) | st.integers(),
    st.integers(0, 1300).map(bytes) | st.binary(max_size=30),
)


@settings(deadline=None, max_examples=200)
@given(st.lists(st.tuples(PIECES, st.sampled_from([SOURCE, OTHER_SOURCE]))))
def test_any_pieces_leave_the_copy_as_it_was_and_memory_bounded(pieces):
    """Guards against input that raises an error, or is applied in part."""

    async def scenario():
        network = Network()
        _, receiver = two_nodes(network, 10)
        receiver.relay.request_changes({KIND: at(11)}, SOURCE, receiver.now)
        for piece, source in pieces:
            receiver.relay.accept_piece(piece, source, receiver.now)
        receiver.relay.tick(receiver.now + 1.0)
        counts = receiver.relay.counts
        dropped = sum(n for (_, e), n in counts.items() if e.startswith("pieces_"))
        assert dropped - counts[KIND, "pieces_requested_again"] == len(pieces)
        assert len(receiver.relay._receipts) <= 1
        return receiver.copy.revision, receiver.in_force

    revision, in_force = run(scenario())
    assert (revision, len(in_force)) == (at(10), 1)


@settings(deadline=None, max_examples=100)
@given(st.integers(), st.lists(st.integers(), max_size=40), st.binary(max_size=20))
def test_any_request_for_pieces_is_answered_within_a_window(base, numbers, digest):
    async def scenario():
        network = Network()
        source, _ = two_nodes(network, 100_000)
        known = source.relay._outgoing(KIND, at(10), at(11)).digest
        for asked in (digest, known):
            for b in (base, 10):
                request = PieceRequest(
                    KIND, at(b), at(11), asked, at(10), tuple(numbers)
                )
                before = len(network.sent)
                source.relay.send_pieces(request, SOURCE, source.now)
                assert len(network.sent) - before <= WINDOW_PIECES

    run(scenario())


class _Versions:
    """Versions of the store's objects, each with its changes since the one before."""

    def __init__(self, rng):
        self.rng = rng
        self.revision = 10
        self.changes = []
        self.contents = {10: {}}

    def write(self):
        """Write or remove some objects with consecutive revisions."""
        base, changes = self.revision, []
        contents = dict(self.contents[base])
        for _ in range(self.rng.choice([1, 1, 3])):
            self.revision += 1
            name = self.rng.choice("abcd")
            if name in contents and self.rng.random() < 0.3:
                del contents[name]
                changes.append(Change(make_item(name, self.revision, None), True))
            else:
                size = self.rng.choice([10, 3_000, 60_000])
                contents[name] = self.rng.randbytes(size).hex()
                item = make_item(name, self.revision, contents[name])
                changes.append(Change(item, False))
        self.contents[self.revision] = contents
        self.changes.append((base, self.revision, changes))

    def tell(self, copy):
        """Give a copy what the store's answer to its next watch holds."""
        number = copy.revision.number
        later = [c for c in self.changes if c[0] >= number]
        if number not in self.contents:
            items = [make_item(n, self.revision, v) for n, v in self.latest().items()]
            copy.use_relayed_objects(at(self.revision), items)
        elif later:
            # Several changes arrive as one.
            changes = [change for _, _, batch in later for change in batch]
            copy.apply_relayed_changes(copy.revision, at(self.revision), changes)

    def latest(self):
        return self.contents[self.revision]


@pytest.mark.parametrize("seed", range(1, 13))
def test_what_is_in_force_is_always_a_version_and_never_an_earlier_one(seed):
    """Plays loss, repeats, reordering, restarts and several versions at once."""

    async def scenario():
        network = Network(seed, loss=0.15, repeats=0.1, jitter=0.03)
        rng = network.rng
        store = _Versions(rng)
        readers, names = ["r0", "r1"], ["n0", "n1", "n2"]
        everyone = [network.add(name) for name in (*readers, *names)]

        def tell_revisions():
            for name in names:
                receiver, teller = network.nodes[name], rng.choice(readers)
                receiver.relay.sources = lambda: [Address(r, 1) for r in readers]
                receiver.relay.request_changes(
                    network.nodes[teller].relay.revisions(),
                    Address(teller, 1),
                    receiver.now,
                )

        for step in range(300):
            if step < 200:
                if rng.random() < 0.15:
                    store.write()
                if rng.random() < 0.02:
                    name = rng.choice([*readers, *names])
                    everyone.append(network.add(name, life=step + 2))
            for name in readers:
                if rng.random() < 0.3 or step > 200:
                    store.tell(network.nodes[name].copy)
            tell_revisions()
            await network.run(0.05)
        return store, everyone, [network.nodes[name] for name in names]

    store, everyone, last = run(scenario())
    for node in everyone:
        revisions = [revision for revision, _ in node.in_force]
        assert revisions == sorted(revisions)
        for revision, contents in node.in_force:
            assert contents == store.contents[revision.number]
    assert {node.copy.revision for node in last} == {at(store.revision)}
    assert sum(node.relay.counts[KIND, "receipts_complete"] for node in everyone) > 20
