"""Fakes at the interfaces of the ownership core, on a simulated clock.

`World` connects cores, endpoints and a platform by simulated messages. Nothing here
sleeps or draws random numbers, so the same calls always give the same results.
"""

import heapq
import itertools
import math

from arbutusflow.domain.configuration import (
    Configuration,
    Endpoint,
    Kind,
    Rank,
    Service,
)
from arbutusflow.domain.ownership import OwnershipCore
from arbutusflow.domain.ownership_messages import (
    ConfigurationChanged,
    ConfirmRenounce,
    DrainUnit,
    EndpointDeclaredLost,
    MembersChanged,
    ReadObjects,
    RecordChanged,
    RecordDecision,
    RenewalFailed,
    RenewalReplied,
    RenounceRequested,
    RequestRenounce,
    SendRenewal,
    StopRequested,
    TableChanged,
    Tick,
    UnitDrained,
    WriteConflicted,
    WriteOutcomeUnknown,
    WriteRecord,
    WriteSucceeded,
    WriteTable,
)
from arbutusflow.domain.partitions import OwnershipTable
from arbutusflow.domain.records import Token
from arbutusflow.standins.endpoint_gate import EndpointLease

TICK_SECONDS = 0.1
MESSAGE_DELAY_SECONDS = 0.002
RENEWAL_TIMEOUT_SECONDS = 0.35
WRITE_TIMEOUT_SECONDS = 0.3
# An instance suspects another one that has been unreachable for this long.
SUSPICION_SECONDS = 1.0
ANTI_ENTROPY_SECONDS = 1.0  # Interval of version comparison with the platform.
SERVICE = "swaps"


class FakePlatform:
    """Platform whose versioned objects are updated conditionally."""

    def __init__(self):
        self.objects = {}
        self.up = True
        self.loses_answers = False  # Applies writes without responding.
        self.write_delay = 0.0
        self.delayed_prefix = ""  # Writes of objects with this prefix are delayed.
        self.writes = 0  # Number of writes that took effect.

    def get(self, name):
        return self.objects.get(name, (0, None))

    def put(self, name, if_version, content):
        """Write if the version is `if_version`; return the new version, else None."""
        version, previous = self.get(name)
        if version != if_version:
            return None
        self.writes += 1
        if previous is not None:
            assert_monotonic(previous, content)
        self.objects[name] = (version + 1, content)
        return version + 1

    def table(self, service=SERVICE):
        encoded = self.get(f"table/{service}")[1]
        return None if encoded is None else OwnershipTable.decode(encoded)

    def record(self, endpoint):
        return self.get(f"endpoint/{endpoint}")[1]


def assert_monotonic(previous, content):
    """Fail if an epoch or sequence decreases, or a new owner has the same sequence."""
    if hasattr(previous, "epoch"):
        assert content.epoch >= previous.epoch, "epoch of record decreased"
        return
    old, new = OwnershipTable.decode(previous), OwnershipTable.decode(content)
    for unit in range(len(old)):
        before, after = old.row(unit), new.row(unit)
        assert after.sequence >= before.sequence, "sequence of row decreased"
        if after.owner != before.owner:
            assert after.sequence > before.sequence, "new owner, same sequence"
    for name in old.endpoints:
        assert new.epoch_of(name) >= old.epoch_of(name), "epoch of endpoint decreased"


class FakeEndpoint:
    """Process of an endpoint; while frozen, it defers the messages that it receives."""

    def __init__(self, endpoint, clock_offset, clock_rate):
        self.endpoint = endpoint
        self.clock_offset, self.clock_rate = clock_offset, clock_rate
        self.start_count = 0
        self.frozen = False
        self.deferred = []
        self.delay = 0.0  # Added before a renewal arrives.
        self.loses_answers = False  # Applies renewals without responding.
        self.draining = False
        self.start()

    def start(self):
        self.start_count += 1
        self.frozen = False
        incarnation = f"{self.endpoint.name}-start-{self.start_count}"
        self.lease = EndpointLease(incarnation, self.endpoint.checks_tokens)
        self.running = True

    def exit(self):
        self.running = self.frozen = False
        self.deferred.clear()

    def freeze(self):
        self.frozen = self.running

    def resume(self):
        self.frozen = False
        deferred, self.deferred = self.deferred, []
        for deliver in deferred:
            deliver()

    def clock(self, now):
        return self.clock_offset + now * self.clock_rate

    def renew(self, renewal, now):
        term = self.lease.term
        reply = self.lease.renew(renewal, self.clock(now), 0, self.draining)
        assert self.lease.term >= term, "highest term decreased"
        return reply

    def accepts(self, unit, token, now):
        return self.running and self.lease.accepts(
            SERVICE, unit, token, self.clock(now)
        )


class FakeInstance:
    """Process of an entry instance, with its core; while paused, it defers events."""

    def __init__(self, name, zone):
        self.name, self.zone = name, zone
        self.start_count = 0
        self.core = None
        self.running = False
        self.paused = False
        self.deferred = []
        self.members = None
        self.next_anti_entropy_at = 0.0


def swaps_configuration(
    endpoints=3, partitions=8, zones=("a",), checks_tokens=True, **endpoint_fields
):
    """Return a configuration with the service `SERVICE` alone."""
    items = tuple(
        Endpoint(
            name=f"e{i}",
            zone=zones[i % len(zones)],
            host="127.0.0.1",
            port=9000 + i,
            checks_tokens=checks_tokens,
            **endpoint_fields,
        )
        for i in range(endpoints)
    )
    kinds = (Kind("swap", Rank.URGENT, repeatable=False),)
    return Configuration(1, (Service(SERVICE, kinds, items, partitions),))


class World:
    """Simulated cluster of cores, endpoints and a platform that exchange messages."""

    def __init__(self, cfg, instances=("i0", "i1", "i2"), core_type=OwnershipCore):
        self.checks_enabled = True  # Whether `run` calls `check` after each event.
        self.now = 100.0
        self.cfg = cfg
        self.core_type = core_type
        self.platform = FakePlatform()
        self.endpoints = {}
        self.instances = {}
        self.cuts = set()  # Unordered pairs of names; the platform is "platform".
        self.unreachable_since = {}  # By pair (viewer, other).
        self.false_suspicions = set()  # Pairs (viewer, suspect).
        self.decisions = []
        self.suspicion_seconds = SUSPICION_SECONDS
        self._messages = []
        self._sequence = itertools.count()  # Breaks ties of the delivery time.
        self._next_tick = self.now
        self.configure(cfg)
        for name in instances:
            self.start(name)

    # Configuration and processes.

    def configure(self, cfg):
        self.cfg = cfg
        for service in cfg.services:
            for item in service.endpoints:
                count = len(self.endpoints)
                offset, rate = 1000.0 * count, 1 + 0.009 * (-1) ** count
                self.endpoints.setdefault(item.name, FakeEndpoint(item, offset, rate))
                self.endpoints[item.name].endpoint = item
        for instance in self.instances.values():
            self._deliver(instance, ConfigurationChanged(cfg))

    def start(self, name, zone="a"):
        instance = self.instances.setdefault(name, FakeInstance(name, zone))
        instance.start_count += 1
        instance.core = self.core_type.from_config(
            name, instance.zone, self.cfg, str(instance.start_count)
        )
        instance.running, instance.paused, instance.members = True, False, None

    def exit(self, name):
        instance = self.instances[name]
        instance.running = instance.paused = False
        instance.deferred.clear()

    def pause(self, name):
        self.instances[name].paused = True

    def resume(self, name):
        instance = self.instances[name]
        instance.paused = False
        deferred, instance.deferred = instance.deferred, []
        for event in deferred:
            self._deliver(instance, event)

    def stop(self, name):
        self._deliver(self.instances[name], StopRequested())

    def declare_lost(self, endpoint, proof):
        for instance in self.instances.values():
            self._deliver(instance, EndpointDeclaredLost(endpoint, proof))

    # Network.

    def cut(self, one, other):
        self.cuts.add(frozenset((one, other)))

    def isolate(self, name):
        """Cut the connections of an instance to the others and to the platform."""
        for other in [*self.instances, "platform"]:
            if other != name:
                self.cut(name, other)

    def heal(self):
        self.cuts.clear()
        self.false_suspicions.clear()

    def connected(self, one, other):
        return frozenset((one, other)) not in self.cuts

    # Time.

    def run(self, seconds):
        """Advance the clock, and run the messages and ticks that become due."""
        end = self.now + seconds
        while True:
            due = min(
                self._next_tick, self._messages[0][0] if self._messages else math.inf
            )
            if due > end + 1e-9:
                break
            self.now = max(self.now, due)
            if self._messages and self._messages[0][0] <= self._next_tick:
                heapq.heappop(self._messages)[2]()
            else:
                self._next_tick += TICK_SECONDS
                self._tick()
            self.check_if_enabled()
        self.now = end
        self.check_if_enabled()

    def run_until(self, condition, seconds):
        """Return the seconds until `condition` holds; fail after `seconds`."""
        started = self.now
        while not condition():
            assert self.now - started < seconds, f"condition not met in {seconds} s"
            self.run(TICK_SECONDS)
        return self.now - started

    def settle(self):
        """Run until every unit is served; fail after 10 s."""
        self.run_until(self.all_served, 10)

    def _tick(self):
        for instance in self.instances.values():
            if instance.running and not instance.paused:
                self._update_members(instance)
                self._run_anti_entropy(instance)
                self._deliver(instance, Tick(self.now))

    def _update_members(self, viewer):
        suspected, gone = set(), set()
        for name, other in self.instances.items():
            pair = (viewer.name, name)
            reachable = self.connected(*pair) and other.running and not other.paused
            if reachable or name == viewer.name:
                self.unreachable_since.pop(pair, None)
            since = self.unreachable_since.setdefault(pair, self.now)
            if not reachable and self.now - since >= self.suspicion_seconds:
                suspected.add(name)
                if not other.running and self.connected(*pair):
                    gone.add(name)
            if pair in self.false_suspicions:
                suspected.add(name)
        zones = {name: other.zone for name, other in self.instances.items()}
        members = MembersChanged(zones, frozenset(suspected), frozenset(gone))
        if members != viewer.members:
            viewer.members = members
            self._deliver(viewer, members)

    def _run_anti_entropy(self, instance):
        """Deliver the versions that the instance has missed, as anti-entropy does."""
        if self.now < instance.next_anti_entropy_at or not self._reaches_platform(
            instance
        ):
            return
        instance.next_anti_entropy_at = self.now + ANTI_ENTROPY_SECONDS
        for name, (version, _) in self.platform.objects.items():
            if version > instance.core.version_of(name):
                self._deliver_later(instance, self._change_event(name))

    # Messages.

    def _schedule(self, delay, action):
        entry = (self.now + delay, next(self._sequence), action)
        heapq.heappush(self._messages, entry)

    def _deliver_later(self, instance, event, delay=MESSAGE_DELAY_SECONDS):
        start_count = instance.start_count

        def arrive():
            if instance.start_count == start_count:
                self._deliver(instance, event)

        self._schedule(delay, arrive)

    def _deliver(self, instance, event):
        if not instance.running:
            return
        if instance.paused:
            instance.deferred.append(event)
            return
        for action in instance.core.handle(event, self.now):
            self._execute(instance, action)

    def _execute(self, instance, action):
        match action:
            case WriteRecord(name, if_version, content, operation):
                self._write(instance, name, if_version, content, operation)
            case WriteTable(name, if_version, content, operation):
                self._write(instance, name, if_version, content, operation)
            case ReadObjects(names):
                self._schedule(
                    MESSAGE_DELAY_SECONDS, lambda: self._read(instance, names)
                )
            case SendRenewal():
                self._send_renewal(instance, action)
            case RequestRenounce(other, endpoint, version):
                request = RenounceRequested(instance.name, endpoint, version)
                self._send_to_peer(instance, other, request)
            case ConfirmRenounce(other, answer):
                self._send_to_peer(instance, other, answer)
            case DrainUnit(service, unit):
                self._deliver_later(instance, UnitDrained(service, unit))
            case RecordDecision(decision):
                self.decisions.append(decision)

    def _send_to_peer(self, sender, receiver, event):
        if self.connected(sender.name, receiver) and receiver in self.instances:
            self._deliver_later(self.instances[receiver], event)

    def _reaches_platform(self, instance):
        return self.platform.up and self.connected(instance.name, "platform")

    def _write(self, instance, name, if_version, content, operation):
        unknown = WriteOutcomeUnknown(name, operation)
        if not self._reaches_platform(instance):
            self._deliver_later(instance, unknown, WRITE_TIMEOUT_SECONDS)
            return

        def take_effect():
            version = self.platform.put(name, if_version, content)
            if version is not None:
                for other in self.instances.values():
                    if other is not instance and self._reaches_platform(other):
                        self._deliver_later(other, self._change_event(name))
            if self.platform.loses_answers or not self._reaches_platform(instance):
                self._deliver_later(instance, unknown, WRITE_TIMEOUT_SECONDS)
            elif not times_out and version is None:
                self._deliver_later(instance, WriteConflicted(name, operation))
            elif not times_out:
                self._deliver_later(instance, self._change_event(name))
                self._deliver_later(instance, WriteSucceeded(name, operation, version))

        delay = (
            self.platform.write_delay
            if name.startswith(self.platform.delayed_prefix)
            else 0
        )
        times_out = delay > WRITE_TIMEOUT_SECONDS
        if times_out:
            self._deliver_later(instance, unknown, WRITE_TIMEOUT_SECONDS)
        self._schedule(MESSAGE_DELAY_SECONDS + delay, take_effect)

    def _change_event(self, name):
        version, content = self.platform.get(name)
        kind = RecordChanged if name.startswith("endpoint/") else TableChanged
        return kind(name, version, content)

    def _read(self, instance, names):
        if self._reaches_platform(instance):
            for name in names:
                self._deliver_later(instance, self._change_event(name))

    def _send_renewal(self, instance, action):
        name = action.endpoint.name
        endpoint = self.endpoints[name]
        start_count = endpoint.start_count
        reported = []  # Not empty once a result was reported.

        def fail(refused=False):
            if not reported:
                reported.append(False)
                failed = RenewalFailed(name, action.operation, refused)
                self._deliver_later(instance, failed, MESSAGE_DELAY_SECONDS)

        def arrive():
            if not endpoint.running:
                fail(refused=True)
            elif endpoint.frozen:
                endpoint.deferred.append(arrive)
            elif endpoint.start_count == start_count or not reported:
                # A renewal sent to the previous process reaches the new one, unless its
                # result was reported before.
                reply = endpoint.renew(action.renewal, self.now)
                if endpoint.loses_answers:
                    fail()
                elif not reported and self.connected(instance.name, name):
                    reported.append(True)
                    replied = RenewalReplied(name, action.operation, reply)
                    self._deliver_later(instance, replied)

        self._schedule(RENEWAL_TIMEOUT_SECONDS, fail)
        if self.connected(instance.name, name):
            self._schedule(MESSAGE_DELAY_SECONDS + endpoint.delay, arrive)

    # Observations.

    def dispatchers(self, endpoint, unit):
        """Return the instances that would dispatch `unit` now, with their tokens."""
        found = {}
        for name, instance in self.instances.items():
            if instance.running and not instance.paused:
                token = instance.core.dispatch_token(endpoint, SERVICE, unit, self.now)
                if token is not None:
                    found[name] = token
        return found

    def would_accept(self, name, unit):
        """Return whether an endpoint would run requests for `unit` now."""
        endpoint = self.endpoints[name]
        if not endpoint.endpoint.checks_tokens:
            return bool(endpoint.running and self.dispatchers(name, unit))
        sequence = endpoint.lease.held.get(unit)
        if sequence is None:
            return False
        return endpoint.accepts(unit, Token(endpoint.lease.term, sequence), self.now)

    def served_by(self, unit):
        """Return the endpoint that would run a request for `unit` now, if any."""
        for name, endpoint in self.endpoints.items():
            if endpoint.frozen:
                continue
            for token in self.dispatchers(name, unit).values():
                if endpoint.accepts(unit, token, self.now):
                    return name
        return None

    def units(self):
        return range(self.cfg.services[0].partitions)

    def all_served(self):
        return all(self.served_by(unit) for unit in self.units())

    def coordinator(self, endpoint):
        """Return the coordinator in the record of an endpoint."""
        return self.platform.record(endpoint).coordinator

    def proofs(self):
        """Return the proof that was recorded for each move of a unit."""
        return [d.why for d in self.decisions if " to " in d.what]

    def check_if_enabled(self):
        if self.checks_enabled:
            self.check()

    def check(self):
        """Fail if an endpoint other than the owner would run requests for a unit.

        At most one endpoint may accept requests for a unit. An endpoint that checks no
        tokens must have at most one dispatching instance.
        """
        table = self.platform.table()
        if table is None:
            return
        for unit in self.units():
            accepting = [n for n in self.endpoints if self.would_accept(n, unit)]
            assert len(accepting) <= 1, f"unit {unit} is accepted by {accepting}"
            owner = table.row(unit).owner
            assert accepting in ([], [owner]), f"{accepting} but {owner} owns {unit}"
        for name, endpoint in self.endpoints.items():
            if not endpoint.endpoint.checks_tokens:
                senders = {n for u in self.units() for n in self.dispatchers(name, u)}
                assert len(senders) <= 1, f"{senders} dispatch to {name}"
