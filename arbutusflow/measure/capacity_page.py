"""The page `docs/CAPACITY.md`, worked out from measured slopes.

Invariant: every figure on the page is a stated requirement, a stated assumption,
a constant of the code or the result of the run that wrote the page.
"""

import dataclasses
from collections.abc import Iterable, Mapping, Sequence

from arbutusflow.domain.hotkeys import MAX_CONCURRENT_MOVES, MAX_HOT_KEYS_PER_SERVICE
from arbutusflow.domain.ownership_state import RENEWAL_INTERVAL_SECONDS
from arbutusflow.measure.fits import Fit, by_name
from arbutusflow.measure.results import Row, figure, met_text
from arbutusflow.runtime.control import TICK_SECONDS, WATCH_WAIT_MS
from arbutusflow.standins.fleet import ENTRIES

DAY_SECONDS = 86_400
MAX_VALUE_BYTES = 1_000_000
CONTROL_CORE_SHARE = 0.024
CONTROL_MEGABYTES = 64.0
CONTROL_BYTES_PER_SECOND = 3_000.0
PLATFORM_WRITES_PER_SECOND = 300.0  # "Several hundred", read cautiously.
PLATFORM_READS_PER_SECOND = 2_000.0
IN_FORCE_SECONDS = 4.0
LOSS_SECONDS = 3.0
HOT_KEY_SECONDS = 60.0  # "Within minutes", read cautiously.
EVENT_LOOP_CORES = 1.0  # A process runs one event loop thread.
CALLS_OF_A_PATCH = 2  # A read and a conditional update.
LATENCY_TARGET_MS = 9.0


@dataclasses.dataclass(frozen=True, slots=True)
class Size:
    """The size to design for; the second part are assumptions of this page.

    Entry instances and endpoints divide the nodes as in the deployments of today
    (9.5 entry instances for 41 endpoints), and there are four services.
    """

    nodes: int = 2_900
    regions: int = 7
    zones: int = 18
    keys: int = 2_000_000_000
    requests_per_second: float = 8_400_000.0
    changes_a_day: int = 2_700
    failures_a_day: int = 14
    restarts_a_day: int = 180
    hot_keys: int = 130
    units_per_service: int = 65_536
    services: int = 4
    entry_share: float = 9.5 / 50.5
    rack_nodes: int = 40

    @property
    def entries(self) -> int:
        """Entry instances among the nodes."""
        return round(self.nodes * self.entry_share)

    @property
    def endpoints(self) -> int:
        """Endpoints among the nodes."""
        return self.nodes - self.entries

    @property
    def units(self) -> int:
        """Units of all services."""
        return self.services * self.units_per_service


@dataclasses.dataclass(frozen=True, slots=True)
class Check:
    """A figure at the size to design for against its target."""

    what: str
    value: float
    unit: str
    target: float
    carried_by: str
    change: str = ""

    @property
    def met(self) -> bool:
        """Whether the figure is within the target."""
        return self.value <= self.target


@dataclasses.dataclass(frozen=True, slots=True)
class RequestCost:
    """Cost of a request through two entry instances, on real processes."""

    entry_us: float
    coordinator_us: float
    p99_ms: float
    load: str


class Load:
    """Load of each role at a size, from the slopes."""

    def __init__(self, fits: Sequence[Fit], size: Size, resident_mb: float) -> None:
        self.fits = tuple(fits)
        self._fits = by_name(fits)
        self.size = size
        self.resident_mb = resident_mb
        self.coordinated = size.endpoints / size.entries
        self.held = size.units / size.endpoints

    def at(self, name: str, size: float) -> float:
        """Return what the line called `name` gives at `size`, at least 0."""
        return max(0.0, self._fits[name].at(size))

    @property
    def ticks_a_second(self) -> float:
        """Core ticks a second."""
        return 1 / TICK_SECONDS

    @property
    def known_core(self) -> float:
        """Share of a core that ticks over all known endpoints take."""
        tick = self.at("core tick, endpoints known", self.size.endpoints)
        return tick * 1e-6 * self.ticks_a_second

    @property
    def coordination_core(self) -> float:
        """Share of a core that coordinating this instance's endpoints takes."""
        one = self.at("coordination a second", self.size.units_per_service)
        return one * 1e-6 * self.coordinated

    @property
    def planner_core(self) -> float:
        """Share of a core that planning one service takes on its planner."""
        tick = self.at("planner tick", self.size.units_per_service)
        return tick * 1e-6 * self.ticks_a_second

    @property
    def lease_core(self) -> float:
        """Share of a core that the codec of renewals takes."""
        exchange = self.at("lease exchange codec", self.held)
        return exchange * 1e-6 * self.coordinated / RENEWAL_INTERVAL_SECONDS

    @property
    def lease_bytes(self) -> float:
        """Bytes a second that renewals of this instance's endpoints take."""
        exchange = self.at("lease exchange bytes", self.held)
        return exchange * self.coordinated / RENEWAL_INTERVAL_SECONDS

    @property
    def lease_bytes_at_endpoint(self) -> float:
        """Bytes a second of renewals at one endpoint."""
        return self.lease_bytes / self.coordinated

    @property
    def document_bytes(self) -> float:
        """Bytes of the configuration document."""
        return self.at("configuration value", self.size.endpoints)

    @property
    def table_bytes(self) -> float:
        """Bytes of the ownership table of one service."""
        return self.at("table value", self.size.units_per_service)

    @property
    def relay_bytes(self) -> float:
        """Bytes of the relay message for a change of one table."""
        return self.at("relay of a table change", self.size.units_per_service)

    @property
    def configuration_relay(self) -> float:
        """Bytes a second that each instance receives for configuration changes."""
        return self.document_bytes * self.size.changes_a_day / DAY_SECONDS

    def of_a_day(self, calls: Mapping[str, float]) -> float:
        """Return the calls of a day of failures and restarts.

        `calls` gives those for an endpoint that is lost, drained or handed over.
        """
        endpoint_share = self.size.endpoints / self.size.nodes
        lost = self.size.failures_a_day * endpoint_share
        drained = self.size.restarts_a_day * endpoint_share
        stopped = self.size.restarts_a_day * (1 - endpoint_share)
        return (
            lost * calls["endpoint exits"]
            + drained * calls["planned drain of an endpoint"]
            + stopped * self.coordinated * calls["planned stop of a coordinator"]
        )

    @property
    def member_bytes(self) -> float:
        """Bytes a second that the membership sends."""
        return self.at("membership bytes a second", self.size.entries)

    @property
    def member_core(self) -> float:
        """Share of a core of the membership."""
        return 1e-6 * self.at("membership processor time a second", self.size.entries)

    @property
    def control_core(self) -> float:
        """Share of a core that control takes on an entry instance."""
        return (
            self.known_core
            + self.coordination_core
            + self.lease_core
            + self.member_core
        )

    @property
    def control_megabytes(self) -> float:
        """Megabytes of an entry instance without requests.

        Tables are kept decoded and as stored; the configuration is decoded once.
        """
        tables = self.size.services * (
            self.at("table memory", self.size.units_per_service) + self.table_bytes
        )
        endpoints = self.at("core memory, endpoints known", self.size.endpoints)
        members = self.at("membership memory", self.size.entries)
        document = self.at("configuration memory", self.size.endpoints)
        return self.resident_mb + (tables + endpoints + members + document) / 1e6


def render(
    load: Load,
    rows: Sequence[Row],
    requests: RequestCost,
    in_force_seconds: float,
    origin: str,
) -> str:
    """Return the page.

    `rows` are those of the ownership measures in the same run; `origin` says on
    what the run was made.
    """
    values = {row.measure: row.value for row in rows}
    calls = _with_prefix(values, "platform calls: ")
    tables = _with_prefix(values, "table writes: ")
    checks = _checks(load, values, calls, tables, requests, in_force_seconds)
    return "\n".join(
        [
            "# Capacity",
            "",
            "Written by `arbutusflow measure capacity --page docs/CAPACITY.md`; change",
            f"`arbutusflow/measure/capacity_page.py`, not this page. {origin}",
            "",
            *_assumptions(load.size),
            "",
            "## Targets and limits",
            "",
            *_table(
                (
                    "at the size to design for",
                    "figure",
                    "target or limit",
                    "met",
                    "carried by",
                ),
                (
                    (
                        check.what,
                        f"{figure(check.value)} {check.unit}",
                        f"{figure(check.target)} {check.unit}",
                        met_text(check.met),
                        check.carried_by,
                    )
                    for check in checks
                ),
            ),
            "",
            "### Targets that are missed",
            "",
            *_missed(checks),
            "",
            "## Roles",
            "",
            "Each row is one entry instance, unless it says otherwise.",
            "",
            *_table(
                ("role", "state", "messages", "processor", "memory", "mechanism"),
                _roles(load, requests),
            ),
            "",
            "## Days and losses",
            "",
            *_table(
                ("event", "what it costs", "mechanism"),
                _events(load, values, calls, tables, in_force_seconds),
            ),
            "",
            "## Measured slopes",
            "",
            "`at size 0` is where the line meets the axis; `residual` is the root of the",
            "mean square deviation over the mean value.",
            "",
            *_table(
                ("what", "sizes", "slope", "at size 0", "residual"),
                (
                    (
                        fit.name,
                        f"{fit.sizes[0]:,} to {fit.sizes[-1]:,}",
                        f"{figure(fit.slope)} {fit.unit}/{fit.per}",
                        f"{figure(fit.intercept)} {fit.unit}",
                        f"{100 * fit.residual:.1f} %",
                    )
                    for fit in load.fits
                ),
            ),
            "",
            "Sizes beyond the last one measured are extrapolated on the line.",
            "",
        ]
    )


def _with_prefix(values: Mapping[str, float], prefix: str) -> dict[str, float]:
    return {
        name.removeprefix(prefix): value
        for name, value in values.items()
        if name.startswith(prefix)
    }


def _assumptions(size: Size) -> list[str]:
    return [
        f"Size: {size.nodes:,} nodes, {size.regions} regions, {size.zones} availability "
        f"zones, {size.keys:,} keys,",
        f"{size.requests_per_second:,.0f} requests/s.",
        "",
        "Assumed where the requirements are silent:",
        "",
        "- The nodes divide as in the deployments of today (9.5 entry instances for 41",
        f"  endpoints): {size.entries:,} entry instances and {size.endpoints:,} endpoints.",
        f"- {size.services} services of {size.units_per_service:,} units each, which is "
        f"{size.keys / size.units:,.0f} keys in a unit.",
        f"- A rack holds {size.rack_nodes} nodes. "
        f"`Several hundred` writes a second are read as {PLATFORM_WRITES_PER_SECOND:.0f}.",
    ]


def _checks(
    load: Load,
    values: Mapping[str, float],
    calls: Mapping[str, float],
    tables: Mapping[str, float],
    requests: RequestCost,
    in_force_seconds: float,
) -> list[Check]:
    size = load.size
    zone_calls = size.endpoints / size.zones * calls["endpoint exits"]
    day_calls = load.of_a_day(calls) + CALLS_OF_A_PATCH * size.changes_a_day
    moves = MAX_CONCURRENT_MOVES * size.services
    hot_seconds = (
        size.hot_keys / moves * values["unavailable: planned drain of an endpoint"]
    )
    per_instance = size.requests_per_second / size.entries
    cores = per_instance * (requests.entry_us + requests.coordinator_us) * 1e-6
    table_relay = load.relay_bytes * load.of_a_day(tables) / DAY_SECONDS
    return [
        Check(
            "control, processor of an entry instance",
            load.control_core,
            "cores",
            CONTROL_CORE_SHARE,
            "one core on one thread, ticks in place of timers",
            "tick only endpoints that this instance coordinates or succeeds; the ticks "
            f"over the others are {figure(load.known_core)} cores of it",
        ),
        Check(
            "control, processor of the planner of a service, besides",
            load.planner_core,
            "cores",
            CONTROL_CORE_SHARE,
            "rendezvous hashing picks one instance",
            "plan when the table, the members or the loads change, not on each tick",
        ),
        Check(
            "control, memory of an entry instance",
            load.control_megabytes,
            "MB",
            CONTROL_MEGABYTES,
            "compact arrays; tables decoded and as stored",
            "keep the stored form of a table at the watcher only",
        ),
        Check(
            "control, bytes of an entry instance, all kinds together",
            load.lease_bytes
            + load.configuration_relay
            + table_relay
            + load.member_bytes,
            "B/s",
            CONTROL_BYTES_PER_SECOND,
            "the four kinds below",
            "the changes named for the kinds below",
        ),
        Check(
            "control, bytes of renewals of an entry instance",
            load.lease_bytes,
            "B/s",
            CONTROL_BYTES_PER_SECOND,
            "one lease for each endpoint",
            "answer a renewal with a digest of the held units instead of their list",
        ),
        Check(
            "control, bytes of renewals at an endpoint",
            load.lease_bytes_at_endpoint,
            "B/s",
            CONTROL_BYTES_PER_SECOND,
            "one lease for each endpoint",
            "the digest of the held units, as above",
        ),
        Check(
            "control, bytes of configuration changes, mean of a day",
            load.configuration_relay,
            "B/s",
            CONTROL_BYTES_PER_SECOND,
            "one copy of the document to each instance",
            "relay the patch instead of the document",
        ),
        Check(
            "control, bytes of table relays, mean of a day",
            table_relay,
            "B/s",
            CONTROL_BYTES_PER_SECOND,
            "one copy of the table to each instance",
            "relay the changed rows of a table instead of all rows",
        ),
        Check(
            "control, bytes of the membership",
            load.member_bytes,
            "B/s",
            CONTROL_BYTES_PER_SECOND,
            "one probe in 0.5 s, whatever the number of members",
        ),
        Check(
            "largest value: ownership table",
            load.table_bytes,
            "B",
            MAX_VALUE_BYTES,
            "rows are compact arrays",
            "cut the table into chunks",
        ),
        Check(
            "largest value: configuration document",
            load.document_bytes,
            "B",
            MAX_VALUE_BYTES,
            "one compact document",
            "cut the document by service",
        ),
        Check(
            "platform calls, mean of a day, against the writes",
            day_calls / DAY_SECONDS,
            "1/s",
            PLATFORM_WRITES_PER_SECOND,
            "heartbeats make no platform calls",
        ),
        Check(
            "platform calls while a zone is lost, within 3 s, against the writes",
            zone_calls / LOSS_SECONDS,
            "1/s",
            PLATFORM_WRITES_PER_SECOND,
            "one write for all units of a lost endpoint",
            "collect the units of several lost endpoints in one write",
        ),
        Check(
            "waiting watches, against the reads",
            size.zones / (WATCH_WAIT_MS / 1000),
            "1/s",
            PLATFORM_READS_PER_SECOND,
            "one watcher for each zone",
        ),
        Check(
            "a key is served again after its endpoint froze",
            values["unavailable: endpoint freezes"],
            "s",
            LOSS_SECONDS,
            "lease expiry, renouncements, one table write",
        ),
        Check(
            "a configuration change in force at all instances, the slowest measured",
            in_force_seconds,
            "s",
            IN_FORCE_SECONDS,
            f"watch, relay, anti-entropy; measured with {ENTRIES} local processes",
        ),
        Check(
            "move of the hottest keys, which change within minutes",
            hot_seconds,
            "s",
            HOT_KEY_SECONDS,
            f"{MAX_CONCURRENT_MOVES} moves at a time in each service, at most "
            f"{MAX_HOT_KEYS_PER_SERVICE} overrides; worked out from the planned move of a unit",
        ),
        Check(
            "requests, processor that an entry instance needs for its part",
            cores,
            "cores",
            EVENT_LOOP_CORES,
            "one event loop in each process",
            "more entry instances, several event loop processes on each node, and a "
            "cheaper request path",
        ),
        Check(
            f"99 % of requests answered, {requests.load}",
            requests.p99_ms,
            "ms",
            LATENCY_TARGET_MS,
            "one peer hop at most, bounded queues",
            "a cheaper request path; this run shared its machine, so repeat it alone "
            "before changing anything",
        ),
    ]


def _missed(checks: Iterable[Check]) -> list[str]:
    lines = [
        f"- {check.what}: {figure(check.value)} {check.unit}, "
        f"{check.value / check.target:.1f} times the target of "
        f"{figure(check.target)} {check.unit}. What would change it: {check.change}."
        for check in checks
        if not check.met
    ]
    return lines or ["None."]


def _roles(load: Load, requests: RequestCost) -> list[tuple[str, ...]]:
    size = load.size
    per_instance = size.requests_per_second / size.entries
    per_endpoint = size.requests_per_second / size.endpoints
    codec = load.at("peer codec of a request", 1_024)
    wire = load.at("peer bytes of a request", 1_024)
    in_flight = per_endpoint * LATENCY_TARGET_MS / 1000
    planner = size.services / size.entries
    return [
        (
            "caller front",
            "requests in flight",
            f"{per_instance:,.0f} requests/s, {figure(per_instance * wire / 1e6)} MB/s "
            "to peers at 1 KiB bodies",
            f"{figure(requests.entry_us)} us a request, of which the peer codec "
            f"{figure(codec)} us",
            "the bounded queues' content",
            "any instance takes any key and forwards it once",
        ),
        (
            "coordinator",
            f"leases and queues of {figure(load.coordinated)} endpoints, "
            f"{figure(load.coordinated * load.held)} units",
            f"{figure(load.coordinated / RENEWAL_INTERVAL_SECONDS)} renewals/s, "
            f"{figure(load.lease_bytes)} B/s",
            f"{figure(100 * load.coordination_core)} % of a core, and "
            f"{figure(100 * load.lease_core)} % for the codec of renewals",
            "held units of its endpoints; up to 16 MB of retained answers",
            "a lease for each endpoint, not for each unit",
        ),
        (
            "planner",
            f"one table of {size.units_per_service:,} units; "
            f"{figure(planner)} services for each instance",
            "none without a change",
            f"{figure(100 * load.planner_core)} % of a core; "
            f"{figure(load.at('table scan', size.units_per_service) / 1000)} ms for a "
            "scan of a table",
            f"{figure(load.at('table memory', size.units_per_service) / 1e6)} MB a table",
            "rendezvous hashing picks it; updates are conditional",
        ),
        (
            "zone watcher and relay",
            f"copies of {size.services} tables, the configuration and "
            f"{size.endpoints:,} records",
            f"{figure(load.relay_bytes / 1000)} KB for each table change to each of "
            f"{figure(size.entries / size.zones)} instances of the zone",
            f"{figure(load.at('table decode', size.units_per_service) / 1000)} ms for "
            "each table change",
            f"{figure(load.table_bytes / 1e6)} MB for each stored table",
            "one watch for each zone; anti-entropy once a second",
        ),
        (
            "membership member",
            f"{size.entries:,} members",
            f"{figure(load.member_bytes)} B/s",
            f"{figure(100 * load.member_core)} % of a core",
            f"{figure(load.at('membership memory', size.entries) / 1e6)} MB",
            "one probe in 0.5 s, whatever the number of members",
        ),
        (
            "every instance",
            f"records and tables of {size.endpoints:,} endpoints",
            "changes only",
            f"{figure(100 * load.known_core)} % of a core for ticks over the endpoints "
            "that others coordinate",
            f"{figure(load.control_megabytes)} MB with "
            f"{figure(load.resident_mb)} MB of code and libraries",
            "deterministic core on one thread",
        ),
        (
            "platform",
            f"{size.endpoints + size.services + 1:,} objects, "
            f"{figure((size.services * load.table_bytes + load.document_bytes) / 1e6)} MB",
            f"{size.zones} waiting watches",
            "not ours",
            f"values of {figure(load.table_bytes)} B and "
            f"{figure(load.document_bytes)} B",
            "conditional updates with a writer mark",
        ),
        (
            "endpoint connections (one endpoint)",
            f"{figure(load.held)} units held",
            f"{per_endpoint:,.0f} requests/s and {figure(1 / RENEWAL_INTERVAL_SECONDS)} renewals/s",
            "not ours",
            f"{figure(in_flight)} requests in flight at 9 ms",
            "one coordinator; its connections are shared by all requests",
        ),
        (
            "operator",
            f"document of {figure(load.document_bytes / 1000)} KB",
            f"{size.changes_a_day:,} changes a day, "
            f"{figure(load.configuration_relay)} B/s to each instance",
            f"{figure(load.at('configuration patch', size.endpoints) / 1000)} ms for a "
            f"patch, {figure(load.at('configuration decode', size.endpoints) / 1000)} ms "
            "to decode",
            f"{figure(load.at('configuration memory', size.endpoints) / 1e6)} MB",
            "patches against a number; stale ones are refused",
        ),
    ]


def _events(
    load: Load,
    values: Mapping[str, float],
    calls: Mapping[str, float],
    tables: Mapping[str, float],
    in_force_seconds: float,
) -> list[tuple[str, str, str]]:
    size = load.size
    relayed = load.of_a_day(tables) * load.relay_bytes
    rack = size.rack_nodes * size.endpoints / size.nodes
    zone = size.endpoints / size.zones
    share = size.endpoints / size.nodes
    return [
        (
            f"a day with {size.failures_a_day} failures and {size.restarts_a_day} restarts",
            f"{figure(load.of_a_day(calls))} platform calls, "
            f"{figure(load.of_a_day(tables))} table writes, "
            f"{figure(relayed / 1e6)} MB of relays to each instance; "
            f"{figure(size.failures_a_day * share)} endpoints whose keys are unserved "
            f"for up to {figure(values['unavailable: endpoint freezes'])} s",
            "loss moves on proof; planned stops hand over",
        ),
        (
            "loss of a rack",
            f"{figure(rack)} endpoints, {figure(rack * load.held)} units, "
            f"{figure(rack * calls['endpoint exits'])} platform calls",
            "coordinators in other racks prove the loss; where coordinator and endpoint "
            "are lost together, the platform's list decides",
        ),
        (
            "loss of a zone",
            f"{figure(zone)} endpoints, {figure(zone * load.held)} units, "
            f"{figure(zone * calls['endpoint exits'])} platform calls; its keys wait for "
            "the platform's list or an operator",
            "no instance outside takes keys without proof",
        ),
        (
            "regions cut off from each other for minutes",
            "no move and no platform call; a region without the platform keeps "
            f"its leases (unserved {figure(values['unavailable: platform down'])} s)",
            "leases and take-over need no platform",
        ),
        (
            f"{size.changes_a_day:,} configuration changes a day",
            f"{figure(load.document_bytes * size.entries / 1e6)} MB relayed for each; "
            f"{figure(load.at('configuration decode', size.endpoints) / 1000)} ms at each "
            f"instance; the slowest measured one was in force after "
            f"{figure(in_force_seconds)} s",
            "watch, relay, anti-entropy",
        ),
        (
            f"{size.hot_keys} hottest keys change within minutes",
            f"{MAX_CONCURRENT_MOVES} moves under way in each of {size.services} services, each "
            f"{figure(values['unavailable: planned drain of an endpoint'])} s",
            "space-saving sketch, hysteresis, overrides",
        ),
    ]


def _table(headings: Sequence[str], lines: Iterable[Sequence[str]]) -> list[str]:
    return [
        "| " + " | ".join(headings) + " |",
        "|" + "---|" * len(headings),
        *("| " + " | ".join(line) + " |" for line in lines),
    ]
