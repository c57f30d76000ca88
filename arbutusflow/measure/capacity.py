"""Slopes of processor time, memory and control bytes of each role.

Each slope is a straight line through four sizes or more. Encoded sizes depend on
the seed only; processor time and memory are those of this machine.
"""

import dataclasses
import statistics
import subprocess
import sys
import time
from collections.abc import Callable, Sequence

import msgspec

from arbutusflow.adapters.peer_messages import (
    ForwardReply,
    ForwardRequest,
    ObjectsChanged,
    PeerMessage,
    decode_frame,
    encode_frame,
)
from arbutusflow.adapters.platform import StoredObject
from arbutusflow.domain.configuration import (
    MAX_APPLIED_PATCHES,
    AppliedPatch,
    Configuration,
    EndpointState,
    Patch,
    SetEndpointState,
    apply_patch,
)
from arbutusflow.domain.ownership import OwnershipCore
from arbutusflow.domain.ownership_messages import (
    Action,
    Event,
    MembersChanged,
    RecordChanged,
    TableChanged,
    Tick,
)
from arbutusflow.domain.partitions import EncodedTable, OwnershipTable
from arbutusflow.domain.placement import rendezvous
from arbutusflow.domain.records import (
    EndpointRecord,
    LeaseRenewal,
    LeaseReply,
    UnitGrant,
)
from arbutusflow.measure.configuration import deployment
from arbutusflow.measure.fits import (
    Fit,
    memory_fit,
    processor_fit,
    size_fit,
)
from arbutusflow.measure.membership import measure_membership
from arbutusflow.measure.results import Row, at_most
from arbutusflow.measure.world import load_fakes

UNIT_SIZES = (4_096, 16_384, 32_768, 65_536)
FLEET_SIZES = (250, 500, 1_000, 2_000)
HELD_SIZES = (16, 64, 256, 1_024)
BODY_SIZES = (0, 1_024, 4_096, 16_384)
MEMBER_SIZES = (16, 32, 64, 128)
MEMBER_SECONDS = 10.0
TABLE_ENDPOINTS = 64
SERVICE = "service-0"
COORDINATED_UNITS = (1_024, 4_096, 8_192, 16_384)
LIGHT_WEIGHT = 0.01
PLANNED_UNITS = (1_024, 4_096, 8_192, 16_384)
PLANNED_ENDPOINTS = 16
COORDINATION_SECONDS = 2.0
COORDINATION_SAMPLES = 5
# Request line, status line and headers of both HTTP messages of a renewal, as
# libcurl and the endpoint stand-in send them.
LEASE_HEADER_BYTES = 300

Step = Callable[[int], list[Fit]]


def _table(units: int, endpoints: int = TABLE_ENDPOINTS) -> OwnershipTable:
    names = [f"{SERVICE}-{number}" for number in range(endpoints)]
    owners = {unit: names[unit % endpoints] for unit in range(units)}
    return OwnershipTable.empty(SERVICE, units).with_owners(owners)


def measure_tables(seed: int) -> list[Fit]:
    """Return the costs of an ownership table per unit."""

    def encoded(units: int) -> EncodedTable:
        return _table(units).encode("entry-1#1")

    def encode(units: int) -> Callable[[], object]:
        table = _table(units)
        return lambda: msgspec.msgpack.encode(table.encode("entry-1#1"))

    def decode(units: int) -> Callable[[], object]:
        value = msgspec.msgpack.encode(encoded(units))
        return lambda: OwnershipTable.decode(
            msgspec.msgpack.decode(value, type=EncodedTable)
        )

    def scan(units: int) -> Callable[[], object]:
        # A decoded table is scanned once; it may keep an index afterwards.
        value = encoded(units)
        return lambda: OwnershipTable.decode(value).units_of(f"{SERVICE}-1")

    def stored(units: int) -> bytes:
        return msgspec.msgpack.encode(encoded(units))

    return [
        processor_fit("table encode", "unit", UNIT_SIZES, encode),
        processor_fit("table decode", "unit", UNIT_SIZES, decode),
        processor_fit("table scan", "unit", UNIT_SIZES, scan),
        size_fit("table value", "unit", UNIT_SIZES, stored),
        memory_fit("table memory", "unit", UNIT_SIZES, decode),
        size_fit(
            "relay of a table change",
            "unit",
            UNIT_SIZES,
            lambda units: encode_frame(
                [ObjectsChanged((StoredObject("table/s", 9, stored(units)),))]
            ),
        ),
    ]


def _idle_core(endpoints: int, units: int = 256, plans: bool = False) -> OwnershipCore:
    """Return a core that knows `endpoints`, all coordinated by another instance.

    It plans no service, or with `plans` the first one, which is balanced.
    """
    cfg = deployment(endpoints)
    names = [f"entry-{number}" for number in range(1, 13)]
    planners = [rendezvous(service.name, names) or "" for service in cfg.services]
    others = [name for name in names if name not in planners]
    core = OwnershipCore.from_config(planners[0] if plans else others[0], "zone-9", cfg)
    zones = dict.fromkeys(names, "zone-9")
    core.handle(MembersChanged(zones, frozenset(), frozenset()), 0.0)
    coordinator, *successors = others[1:4]
    for service in cfg.services:
        owners = {
            u: service.endpoints[u % len(service.endpoints)].name for u in range(units)
        }
        table = OwnershipTable.empty(service.name, units).with_owners(owners)
        encoded = table.encode(f"{coordinator}#1")
        core.handle(TableChanged(f"table/{service.name}", 1, encoded), 0.0)
        for endpoint in service.endpoints:
            record = EndpointRecord(
                endpoint.name,
                service.name,
                endpoint.zone,
                1,
                coordinator,
                tuple(successors),
                "incarnation-1",
                f"{coordinator}#1",
            )
            core.handle(RecordChanged(f"endpoint/{endpoint.name}", 1, record), 0.0)
    core.handle(Tick(), 0.1)
    return core


def measure_planner(seed: int) -> list[Fit]:
    """Return the cost of a tick of the planner of a balanced service, per unit."""

    def tick(units: int) -> Callable[[], object]:
        core = _idle_core(PLANNED_ENDPOINTS, units, plans=True)
        return lambda: core.handle(Tick(), 0.2)

    return [processor_fit("planner tick", "unit", PLANNED_UNITS, tick)]


def measure_known_endpoints(seed: int) -> list[Fit]:
    """Return what an instance spends on endpoints that others coordinate."""

    def tick(endpoints: int) -> Callable[[], object]:
        core = _idle_core(endpoints)
        return lambda: core.handle(Tick(), 0.2)

    return [
        processor_fit("core tick, endpoints known", "endpoint", FLEET_SIZES, tick),
        memory_fit(
            "core memory, endpoints known",
            "endpoint",
            FLEET_SIZES,
            lambda size: lambda: _idle_core(size),
        ),
    ]


def measure_coordination(seed: int) -> list[Fit]:
    """Return the core's cost of coordinating endpoints, leases included.

    The table has many units of other endpoints, as at the size to design for: the
    measured instance coordinates one endpoint that owns about a hundredth.
    """
    values = [_coordination_us(size) for size in COORDINATED_UNITS]
    return [
        Fit.through("coordination a second", "us", "unit", COORDINATED_UNITS, values)
    ]


def _coordination_us(units: int) -> float:
    """Return processor microseconds per second of one core without changes."""
    fakes = load_fakes()
    cfg = fakes.swaps_configuration(2, units, zones=("a", "b"))
    service = cfg.services[0]
    light = dataclasses.replace(service.endpoints[0], weight=LIGHT_WEIGHT)
    service = dataclasses.replace(service, endpoints=(light, service.endpoints[1]))
    world = fakes.World(dataclasses.replace(cfg, services=(service,)), instances=())
    names = ("i0", "i1")
    planner = rendezvous(service.name, names)
    measured = next(name for name in names if name != planner)
    for name in names:
        world.start(name, "a" if name == measured else "b")
    world.check = lambda: None  # Would cost more than what is measured.
    world.settle()
    world.run(3.0)
    core = world.instances[measured].core
    assert core.is_coordinating(light.name)
    handle = core.handle
    spent = 0.0

    def timed(event: Event, now: float) -> list[Action]:
        nonlocal spent
        started = time.process_time()
        actions: list[Action] = handle(event, now)
        spent += time.process_time() - started
        return actions

    core.handle = timed
    samples = []
    for _ in range(COORDINATION_SAMPLES):
        spent = 0.0
        world.run(COORDINATION_SECONDS)
        samples.append(1e6 * spent / COORDINATION_SECONDS)
    return statistics.median(samples)


def measure_leases(seed: int) -> list[Fit]:
    """Return the cost of a renewal and its answer per unit that is held."""

    def reply(held: int) -> bytes:
        grants = tuple(UnitGrant(unit * 7, 3) for unit in range(held))
        return msgspec.json.encode(LeaseReply("a" * 16, 12345.678, 160, grants, 3))

    def renewal() -> bytes:
        return msgspec.json.encode(LeaseRenewal("entry-12", 160, "a" * 16, 12347.178))

    def exchange(held: int) -> Callable[[], object]:
        answer = reply(held)
        return lambda: (renewal(), msgspec.json.decode(answer, type=LeaseReply))

    return [
        size_fit(
            "lease exchange bytes",
            "held unit",
            HELD_SIZES,
            lambda held: reply(held) + renewal() + b" " * LEASE_HEADER_BYTES,
        ),
        processor_fit("lease exchange codec", "held unit", HELD_SIZES, exchange),
    ]


def _full_document(endpoints: int) -> Configuration:
    """Return a configuration that remembers as many patches as it may."""
    applied = tuple(
        AppliedPatch(f"{number:036}", number) for number in range(MAX_APPLIED_PATCHES)
    )
    return dataclasses.replace(deployment(endpoints), applied=applied)


def measure_configurations(seed: int) -> list[Fit]:
    """Return the costs of the configuration document per endpoint."""

    def stored(endpoints: int) -> bytes:
        return msgspec.msgpack.encode(_full_document(endpoints))

    def decode(endpoints: int) -> Callable[[], object]:
        value = stored(endpoints)
        return lambda: msgspec.msgpack.decode(value, type=Configuration)

    def patch(endpoints: int) -> Callable[[], object]:
        cfg = _full_document(endpoints)
        name = cfg.services[0].endpoints[0].name
        operation = SetEndpointState("service-0", name, EndpointState.DRAINING)
        change = Patch("measured-patch", cfg.number, (operation,))
        return lambda: apply_patch(cfg, change)

    return [
        size_fit("configuration value", "endpoint", FLEET_SIZES, stored),
        processor_fit("configuration decode", "endpoint", FLEET_SIZES, decode),
        processor_fit("configuration patch", "endpoint", FLEET_SIZES, patch),
        memory_fit("configuration memory", "endpoint", FLEET_SIZES, decode),
    ]


def measure_peer_messages(seed: int) -> list[Fit]:
    """Return the cost of the peer codec for a forwarded request and its reply."""

    def messages(body_bytes: int) -> list[PeerMessage]:
        body = b"x" * body_bytes
        return [
            ForwardRequest(
                7,
                "swaps",
                "swap",
                "key-1234",
                "POST",
                body,
                "application/json",
                "0190b5b2-7c1e-7a3c-9d3e-3f1f8a6b2c4d",
                "caller-1",
                2_000,
            ),
            ForwardReply(7, "answered", status=200, body=b"x" * 200),
        ]

    def both_ways(body_bytes: int) -> Callable[[], object]:
        found = messages(body_bytes)
        return lambda: decode_frame(encode_frame(found))

    return [
        processor_fit("peer codec of a request", "body byte", BODY_SIZES, both_ways),
        size_fit(
            "peer bytes of a request",
            "body byte",
            BODY_SIZES,
            lambda size: encode_frame(messages(size)),
        ),
    ]


def measure_members(seed: int) -> list[Fit]:
    """Return the cost of the membership per member."""
    costs = measure_membership(MEMBER_SIZES, MEMBER_SECONDS, seed)

    def fit(name: str, unit: str, values: Sequence[float]) -> Fit:
        return Fit.through(name, unit, "member", MEMBER_SIZES, values)

    return [
        fit("membership bytes a second", "B", [c.bytes_per_second for c in costs]),
        fit(
            "membership processor time a second",
            "us",
            [c.processor_microseconds_per_second for c in costs],
        ),
        fit(
            "membership memory",
            "B",
            [c.resident_bytes_per_member * c.members for c in costs],
        ),
        fit("membership detection", "s", [c.detection_seconds for c in costs]),
    ]


STEPS: dict[str, Step] = {
    "tables": measure_tables,
    "endpoints known": measure_known_endpoints,
    "planner": measure_planner,
    "coordination": measure_coordination,
    "leases": measure_leases,
    "configurations": measure_configurations,
    "peer messages": measure_peer_messages,
    "membership": measure_members,
}


def resident_megabytes() -> float:
    """Return the memory of a process that has imported what an entry needs."""
    program = (
        "import arbutusflow.runtime.entry\n"
        "print(next(l.split()[1] for l in open('/proc/self/status') "
        "if l.startswith('VmRSS')))"
    )
    done = subprocess.run(
        (sys.executable, "-c", program), check=True, capture_output=True, text=True
    )
    return int(done.stdout) * 1024 / 1e6


def rows_of(fits: Sequence[Fit], seed: int) -> list[Row]:
    """Return slope, value at size zero and residual of each fit as rows."""
    rows = []
    for fit in fits:
        unit = f"{fit.unit}/{fit.per}"
        rows += [
            at_most(f"{fit.name}: slope", fit.slope, unit, seed),
            at_most(f"{fit.name}: at size 0", fit.intercept, fit.unit, seed),
            at_most(f"{fit.name}: residual", fit.residual, "of mean", seed),
        ]
    return rows
