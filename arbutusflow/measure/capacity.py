"""Scaling of processor time, memory and control traffic of each role.

Each cost is measured at four sizes or more and fitted by a line. Encoded sizes
depend only on the seed; processor time depends on the host, and heap memory on the
Python build.
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

UNIT_COUNTS = (4_096, 16_384, 32_768, 65_536)
ENDPOINT_COUNTS = (250, 500, 1_000, 2_000)
HELD_UNIT_COUNTS = (16, 64, 256, 1_024)
BODY_SIZES_BYTES = (0, 1_024, 4_096, 16_384)
MEMBER_COUNTS = (16, 32, 64, 128)
MEMBERSHIP_RUN_SECONDS = 10.0
ENDPOINTS_PER_TABLE = 64
SERVICE_NAME = "service-0"
COORDINATION_UNIT_COUNTS = (1_024, 4_096, 8_192, 16_384)
MEASURED_ENDPOINT_WEIGHT = 0.01
PLANNER_UNIT_COUNTS = (1_024, 4_096, 8_192, 16_384)
PLANNER_ENDPOINTS = 16
COORDINATION_SAMPLE_SECONDS = 2.0
COORDINATION_SAMPLES = 5
# Start lines and headers of the HTTP request and response of a lease renewal, as
# libcurl and the endpoint stand-in send them.
LEASE_HEADER_BYTES = 300

Step = Callable[[int], list[Fit]]


def _table(units: int, endpoints: int = ENDPOINTS_PER_TABLE) -> OwnershipTable:
    names = [f"{SERVICE_NAME}-{number}" for number in range(endpoints)]
    owners = {unit: names[unit % endpoints] for unit in range(units)}
    return OwnershipTable.empty(SERVICE_NAME, units).with_owners(owners)


def measure_tables(seed: int) -> list[Fit]:
    """Return the costs per unit of coding, storing and scanning an ownership table."""

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
        # Decode for each scan, since a table may build an index on its first scan.
        value = encoded(units)
        return lambda: OwnershipTable.decode(value).units_of(f"{SERVICE_NAME}-1")

    def stored(units: int) -> bytes:
        return msgspec.msgpack.encode(encoded(units))

    return [
        processor_fit("table encode", "unit", UNIT_COUNTS, encode),
        processor_fit("table decode", "unit", UNIT_COUNTS, decode),
        processor_fit("table scan", "unit", UNIT_COUNTS, scan),
        size_fit("table value", "unit", UNIT_COUNTS, stored),
        memory_fit("table memory", "unit", UNIT_COUNTS, decode),
        size_fit(
            "relay of a table change",
            "unit",
            UNIT_COUNTS,
            lambda units: encode_frame(
                [ObjectsChanged((StoredObject("table/s", 9, stored(units)),))]
            ),
        ),
    ]


def _idle_core(
    endpoints: int, units: int = 256, is_planner: bool = False
) -> OwnershipCore:
    """Return a core that knows `endpoints` endpoints, which other instances coordinate.

    With `is_planner` it is the planner of the first service, whose units are evenly
    distributed; otherwise it plans no service.
    """
    cfg = deployment(endpoints)
    names = [f"entry-{number}" for number in range(1, 13)]
    planner_names = [rendezvous(service.name, names) or "" for service in cfg.services]
    other_instances = [name for name in names if name not in planner_names]
    core = OwnershipCore.from_config(
        planner_names[0] if is_planner else other_instances[0], "zone-9", cfg
    )
    zones = dict.fromkeys(names, "zone-9")
    core.handle(MembersChanged(zones, frozenset(), frozenset()), 0.0)
    coordinator, *successors = other_instances[1:4]
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
    """Return the cost per unit of a planner's tick when there is nothing to move."""

    def tick(units: int) -> Callable[[], object]:
        core = _idle_core(PLANNER_ENDPOINTS, units, is_planner=True)
        return lambda: core.handle(Tick(), 0.2)

    return [processor_fit("planner tick", "unit", PLANNER_UNIT_COUNTS, tick)]


def measure_known_endpoints(seed: int) -> list[Fit]:
    """Return the cost per endpoint that other instances coordinate."""

    def tick(endpoints: int) -> Callable[[], object]:
        core = _idle_core(endpoints)
        return lambda: core.handle(Tick(), 0.2)

    return [
        processor_fit("core tick, endpoints known", "endpoint", ENDPOINT_COUNTS, tick),
        memory_fit(
            "core memory, endpoints known",
            "endpoint",
            ENDPOINT_COUNTS,
            lambda size: lambda: _idle_core(size),
        ),
    ]


def measure_coordination(seed: int) -> list[Fit]:
    """Return the processor time that coordinating an endpoint takes, with its lease.

    The measured instance coordinates one endpoint that owns about 1 % of the units.
    The other units of the table belong to another endpoint, since most units belong
    to other endpoints at the design size.
    """
    values = [_coordination_us_per_second(size) for size in COORDINATION_UNIT_COUNTS]
    return [
        Fit.through(
            "coordination a second", "us", "unit", COORDINATION_UNIT_COUNTS, values
        )
    ]


def _coordination_us_per_second(units: int) -> float:
    """Return processor microseconds per second of one core when nothing changes."""
    fakes = load_fakes()
    cfg = fakes.swaps_configuration(2, units, zones=("a", "b"))
    service = cfg.services[0]
    measured_endpoint = dataclasses.replace(
        service.endpoints[0], weight=MEASURED_ENDPOINT_WEIGHT
    )
    service = dataclasses.replace(
        service, endpoints=(measured_endpoint, service.endpoints[1])
    )
    world = fakes.World(dataclasses.replace(cfg, services=(service,)), instances=())
    names = ("i0", "i1")
    planner = rendezvous(service.name, names)
    measured = next(name for name in names if name != planner)
    for name in names:
        world.start(name, "a" if name == measured else "b")
    world.check = lambda: None  # The check takes longer than the measured code.
    world.settle()
    world.run(3.0)
    core = world.instances[measured].core
    assert core.is_coordinating(measured_endpoint.name)
    handle = core.handle
    processor_seconds = 0.0

    def timed_handle(event: Event, now: float) -> list[Action]:
        nonlocal processor_seconds
        started = time.process_time()
        actions: list[Action] = handle(event, now)
        processor_seconds += time.process_time() - started
        return actions

    core.handle = timed_handle
    samples = []
    for _ in range(COORDINATION_SAMPLES):
        processor_seconds = 0.0
        world.run(COORDINATION_SAMPLE_SECONDS)
        samples.append(1e6 * processor_seconds / COORDINATION_SAMPLE_SECONDS)
    return statistics.median(samples)


def measure_leases(seed: int) -> list[Fit]:
    """Return the cost of a lease renewal and its reply per held unit."""

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
            HELD_UNIT_COUNTS,
            lambda held: reply(held) + renewal() + b" " * LEASE_HEADER_BYTES,
        ),
        processor_fit("lease exchange codec", "held unit", HELD_UNIT_COUNTS, exchange),
    ]


def _largest_configuration(endpoints: int) -> Configuration:
    """Return a configuration with the largest allowed number of applied patches."""
    applied = tuple(
        AppliedPatch(f"{number:036}", number) for number in range(MAX_APPLIED_PATCHES)
    )
    return dataclasses.replace(deployment(endpoints), applied=applied)


def measure_configurations(seed: int) -> list[Fit]:
    """Return the costs per endpoint of storing and patching a configuration."""

    def stored(endpoints: int) -> bytes:
        return msgspec.msgpack.encode(_largest_configuration(endpoints))

    def decode(endpoints: int) -> Callable[[], object]:
        value = stored(endpoints)
        return lambda: msgspec.msgpack.decode(value, type=Configuration)

    def patch(endpoints: int) -> Callable[[], object]:
        cfg = _largest_configuration(endpoints)
        name = cfg.services[0].endpoints[0].name
        operation = SetEndpointState("service-0", name, EndpointState.DRAINING)
        change = Patch("measured-patch", cfg.number, (operation,))
        return lambda: apply_patch(cfg, change)

    return [
        size_fit("configuration value", "endpoint", ENDPOINT_COUNTS, stored),
        processor_fit("configuration decode", "endpoint", ENDPOINT_COUNTS, decode),
        processor_fit("configuration patch", "endpoint", ENDPOINT_COUNTS, patch),
        memory_fit("configuration memory", "endpoint", ENDPOINT_COUNTS, decode),
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

    def round_trip(body_bytes: int) -> Callable[[], object]:
        request_and_reply = messages(body_bytes)
        return lambda: decode_frame(encode_frame(request_and_reply))

    return [
        processor_fit(
            "peer codec of a request", "body byte", BODY_SIZES_BYTES, round_trip
        ),
        size_fit(
            "peer bytes of a request",
            "body byte",
            BODY_SIZES_BYTES,
            lambda size: encode_frame(messages(size)),
        ),
    ]


def measure_members(seed: int) -> list[Fit]:
    """Return the cost of the membership protocol per member."""
    costs = measure_membership(MEMBER_COUNTS, MEMBERSHIP_RUN_SECONDS, seed)

    def fit(name: str, unit: str, values: Sequence[float]) -> Fit:
        return Fit.through(name, unit, "member", MEMBER_COUNTS, values)

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
            [c.heap_bytes_per_member * c.members for c in costs],
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
    """Return the resident memory of a process that imported the entry instance."""
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
    """Return rows with slope, intercept and residual of each fit."""
    rows = []
    for fit in fits:
        unit = f"{fit.unit}/{fit.per}"
        rows += [
            at_most(f"{fit.name}: slope", fit.slope, unit, seed),
            at_most(f"{fit.name}: at size 0", fit.intercept, fit.unit, seed),
            at_most(f"{fit.name}: residual", fit.residual, "of mean", seed),
        ]
    return rows
