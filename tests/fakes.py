"""Fakes at the interfaces of the ownership core, on one controlled clock.

`World` joins cores, endpoints and a platform by message passing. Nothing here
sleeps or draws random numbers; equal calls give equal results.
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

TICK = 0.1
HOP = 0.002
LEASE_TIMEOUT = 0.35
WRITE_TIMEOUT = 0.3
SUSPICION = 1.0
ANTI_ENTROPY = 1.0
SERVICE = "swaps"


class FakePlatform:
    """Versioned objects with conditional updates."""

    def __init__(self):
        self.objects = {}
        self.up = True
        self.loses_answers = False
        self.write_delay = 0.0
        self.delayed = ""  # Prefix of the objects whose writes are delayed.
        self.writes = 0  # Those that took effect.

    def get(self, name):
        return self.objects.get(name, (0, None))

    def put(self, name, if_version, content):
        """Return the new version, or None after a conflict."""
        version, previous = self.get(name)
        if version != if_version:
            return None
        self.writes += 1
        if previous is not None:
            assert_only_rises(previous, content)
        self.objects[name] = (version + 1, content)
        return version + 1

    def table(self, service=SERVICE):
        encoded = self.get(f"table/{service}")[1]
        return None if encoded is None else OwnershipTable.decode(encoded)

    def record(self, endpoint):
        return self.get(f"endpoint/{endpoint}")[1]


def assert_only_rises(previous, content):
    """Epochs and sequences never fall: an acknowledged row is not lost."""
    if hasattr(previous, "epoch"):
        assert content.epoch >= previous.epoch, "epoch fell"
        return
    old, new = OwnershipTable.decode(previous), OwnershipTable.decode(content)
    for unit in range(len(old)):
        before, after = old.row(unit), new.row(unit)
        assert after.sequence >= before.sequence, "sequence fell"
        if after.owner != before.owner:
            assert after.sequence > before.sequence, "owner without new sequence"
    for name in old.endpoints:
        assert new.epoch_of(name) >= old.epoch_of(name), "fence fell"


class FakeEndpoint:
    """Process of an endpoint; a frozen one answers its messages when it returns."""

    def __init__(self, endpoint, offset, rate):
        self.endpoint = endpoint
        self.offset, self.rate = offset, rate
        self.starts = 0
        self.frozen = False
        self.waiting = []
        self.delay = 0.0
        self.loses_answers = False
        self.draining = False
        self.start()

    def start(self):
        self.starts += 1
        self.frozen = False
        incarnation = f"{self.endpoint.name}-start-{self.starts}"
        self.gate = EndpointLease(incarnation, self.endpoint.checks_tokens)
        self.running = True

    def exit(self):
        self.running = self.frozen = False
        self.waiting.clear()

    def freeze(self):
        self.frozen = self.running

    def thaw(self):
        self.frozen = False
        waiting, self.waiting = self.waiting, []
        for deliver in waiting:
            deliver()

    def clock(self, now):
        return self.offset + now * self.rate

    def renew(self, renewal, now):
        term = self.gate.term
        reply = self.gate.renew(renewal, self.clock(now), 0, self.draining)
        assert self.gate.term >= term, "highest term fell"
        return reply

    def accepts(self, unit, token, now):
        return self.running and self.gate.accepts(SERVICE, unit, token, self.clock(now))


class FakeInstance:
    """An entry instance: a core and the process around it."""

    def __init__(self, name, zone):
        self.name, self.zone = name, zone
        self.starts = 0
        self.core = None
        self.running = False
        self.paused = False
        self.waiting = []
        self.members = None
        self.compare_at = 0.0


def swaps(endpoints=3, partitions=8, zones=("a",), checks_tokens=True, **other):
    """Return a configuration with one service."""
    items = tuple(
        Endpoint(
            name=f"e{i}",
            zone=zones[i % len(zones)],
            host="127.0.0.1",
            port=9000 + i,
            checks_tokens=checks_tokens,
            **other,
        )
        for i in range(endpoints)
    )
    kinds = (Kind("swap", Rank.URGENT, repeatable=False),)
    return Configuration(1, (Service(SERVICE, kinds, items, partitions),))


class World:
    """Cores, endpoints and a platform that exchange messages."""

    def __init__(self, cfg, instances=("i0", "i1", "i2"), core_type=OwnershipCore):
        self.checks = True  # A measure looks for broken rules itself.
        self.now = 100.0
        self.cfg = cfg
        self.core_type = core_type
        self.platform = FakePlatform()
        self.endpoints = {}
        self.instances = {}
        self.cuts = set()  # Unordered pairs of names; "platform" is one.
        self.unreachable_since = {}
        self.suspicions = set()  # Pairs (viewer, suspect) besides the right ones.
        self.decisions = []
        self.suspicion = SUSPICION
        self._messages = []
        self._order = itertools.count()
        self._next_tick = self.now
        self.configure(cfg)
        for name in instances:
            self.start(name)

    # Configuration and processes

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
        instance.starts += 1
        instance.core = self.core_type.from_config(
            name, instance.zone, self.cfg, str(instance.starts)
        )
        instance.running, instance.paused, instance.members = True, False, None

    def exit(self, name):
        instance = self.instances[name]
        instance.running = instance.paused = False
        instance.waiting.clear()

    def pause(self, name):
        self.instances[name].paused = True

    def resume(self, name):
        instance = self.instances[name]
        instance.paused = False
        waiting, instance.waiting = instance.waiting, []
        for event in waiting:
            self._deliver(instance, event)

    def stop(self, name):
        self._deliver(self.instances[name], StopRequested())

    def declare_lost(self, endpoint, proof):
        for instance in self.instances.values():
            self._deliver(instance, EndpointDeclaredLost(endpoint, proof))

    # Network

    def cut(self, one, other):
        self.cuts.add(frozenset((one, other)))

    def isolate(self, name):
        """Cut an instance off from the others and from the platform."""
        for other in [*self.instances, "platform"]:
            if other != name:
                self.cut(name, other)

    def heal(self):
        self.cuts.clear()
        self.suspicions.clear()

    def joined(self, one, other):
        return frozenset((one, other)) not in self.cuts

    # Time

    def run(self, seconds):
        """Advance the clock and deliver all that falls due."""
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
                self._next_tick += TICK
                self._tick()
            self.check_if_asked()
        self.now = end
        self.check_if_asked()

    def run_until(self, condition, seconds):
        """Return the seconds until `condition` holds; fail after `seconds`."""
        began = self.now
        while not condition():
            assert self.now - began < seconds, f"not within {seconds} s"
            self.run(TICK)
        return self.now - began

    def settle(self):
        """Run until every unit is served."""
        self.run_until(self.all_served, 10)

    def _tick(self):
        for instance in self.instances.values():
            if instance.running and not instance.paused:
                self._tell_members(instance)
                self._compare_versions(instance)
                self._deliver(instance, Tick(self.now))

    def _tell_members(self, viewer):
        suspected, gone = set(), set()
        for name, other in self.instances.items():
            pair = (viewer.name, name)
            reachable = self.joined(*pair) and other.running and not other.paused
            if reachable or name == viewer.name:
                self.unreachable_since.pop(pair, None)
            since = self.unreachable_since.setdefault(pair, self.now)
            if not reachable and self.now - since >= self.suspicion:
                suspected.add(name)
                if not other.running and self.joined(*pair):
                    gone.add(name)
            if pair in self.suspicions:
                suspected.add(name)
        zones = {name: other.zone for name, other in self.instances.items()}
        members = MembersChanged(zones, frozenset(suspected), frozenset(gone))
        if members != viewer.members:
            viewer.members = members
            self._deliver(viewer, members)

    def _compare_versions(self, instance):
        """Deliver versions that were missed: the anti-entropy of the design page."""
        if self.now < instance.compare_at or not self._reaches_platform(instance):
            return
        instance.compare_at = self.now + ANTI_ENTROPY
        for name, (version, _) in self.platform.objects.items():
            if version > instance.core.version_of(name):
                self._tell(instance, self._changed(name))

    # Messages

    def _post(self, delay, action):
        entry = (self.now + delay, next(self._order), action)
        heapq.heappush(self._messages, entry)

    def _tell(self, instance, event, delay=HOP):
        start = instance.starts

        def arrive():
            if instance.starts == start:
                self._deliver(instance, event)

        self._post(delay, arrive)

    def _deliver(self, instance, event):
        if not instance.running:
            return
        if instance.paused:
            instance.waiting.append(event)
            return
        for action in instance.core.handle(event, self.now):
            self._act(instance, action)

    def _act(self, instance, action):
        match action:
            case WriteRecord(name, if_version, content, operation):
                self._write(instance, name, if_version, content, operation)
            case WriteTable(name, if_version, content, operation):
                self._write(instance, name, if_version, content, operation)
            case ReadObjects(names):
                self._post(HOP, lambda: self._read(instance, names))
            case SendRenewal():
                self._send_lease(instance, action)
            case RequestRenounce(other, endpoint, version):
                asked = RenounceRequested(instance.name, endpoint, version)
                self._between(instance, other, asked)
            case ConfirmRenounce(other, answer):
                self._between(instance, other, answer)
            case DrainUnit(service, unit):
                self._tell(instance, UnitDrained(service, unit))
            case RecordDecision(decision):
                self.decisions.append(decision)

    def _between(self, sender, receiver, event):
        if self.joined(sender.name, receiver) and receiver in self.instances:
            self._tell(self.instances[receiver], event)

    def _reaches_platform(self, instance):
        return self.platform.up and self.joined(instance.name, "platform")

    def _write(self, instance, name, if_version, content, operation):
        unknown = WriteOutcomeUnknown(name, operation)
        if not self._reaches_platform(instance):
            self._tell(instance, unknown, WRITE_TIMEOUT)
            return

        def take_effect():
            version = self.platform.put(name, if_version, content)
            if version is not None:
                for other in self.instances.values():
                    if other is not instance and self._reaches_platform(other):
                        self._tell(other, self._changed(name))
            if self.platform.loses_answers or not self._reaches_platform(instance):
                self._tell(instance, unknown, WRITE_TIMEOUT)
            elif not late and version is None:
                self._tell(instance, WriteConflicted(name, operation))
            elif not late:
                self._tell(instance, self._changed(name))
                self._tell(instance, WriteSucceeded(name, operation, version))

        delay = (
            self.platform.write_delay if name.startswith(self.platform.delayed) else 0
        )
        late = delay > WRITE_TIMEOUT
        if late:
            self._tell(instance, unknown, WRITE_TIMEOUT)
        self._post(HOP + delay, take_effect)

    def _changed(self, name):
        version, content = self.platform.get(name)
        kind = RecordChanged if name.startswith("endpoint/") else TableChanged
        return kind(name, version, content)

    def _read(self, instance, names):
        if self._reaches_platform(instance):
            for name in names:
                self._tell(instance, self._changed(name))

    def _send_lease(self, instance, action):
        name = action.endpoint.name
        endpoint = self.endpoints[name]
        start = endpoint.starts
        answered = []

        def fail(refused=False):
            if not answered:
                answered.append(False)
                failed = RenewalFailed(name, action.operation, refused)
                self._tell(instance, failed, HOP)

        def arrive():
            if not endpoint.running:
                fail(refused=True)
            elif endpoint.frozen:
                endpoint.waiting.append(arrive)
            elif endpoint.starts == start or not answered:
                reply = endpoint.renew(action.renewal, self.now)
                if endpoint.loses_answers:
                    fail()
                elif not answered and self.joined(instance.name, name):
                    answered.append(True)
                    replied = RenewalReplied(name, action.operation, reply)
                    self._tell(instance, replied)

        self._post(LEASE_TIMEOUT, fail)
        if self.joined(instance.name, name):
            self._post(HOP + endpoint.delay, arrive)

    # Observations

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
        """Tell whether an endpoint would run work for `unit` now."""
        endpoint = self.endpoints[name]
        if not endpoint.endpoint.checks_tokens:
            return bool(endpoint.running and self.dispatchers(name, unit))
        sequence = endpoint.gate.held.get(unit)
        if sequence is None:
            return False
        return endpoint.accepts(unit, Token(endpoint.gate.term, sequence), self.now)

    def served_by(self, unit):
        """Return the endpoint that a request for `unit` would run on now, if any."""
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
        """Return the recorded coordinator."""
        return self.platform.record(endpoint).coordinator

    def proofs(self):
        """Return the reasons of the recorded moves."""
        return [d.why for d in self.decisions if " to " in d.what]

    def check_if_asked(self):
        """Check unless a measure counts the broken rules."""
        if self.checks:
            self.check()

    def check(self):
        """Fail if an endpoint could run work for a unit that another one owns."""
        table = self.platform.table()
        if table is None:
            return
        for unit in self.units():
            accepting = [n for n in self.endpoints if self.would_accept(n, unit)]
            assert len(accepting) <= 1, f"unit {unit} at {accepting}"
            owner = table.row(unit).owner
            assert accepting in ([], [owner]), f"{accepting} but {owner} owns {unit}"
        for name, endpoint in self.endpoints.items():
            if not endpoint.endpoint.checks_tokens:
                senders = {n for u in self.units() for n in self.dispatchers(name, u)}
                assert len(senders) <= 1, f"{senders} dispatch to {name}"
