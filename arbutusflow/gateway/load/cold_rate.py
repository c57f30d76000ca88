"""Limits the requests that all instances together send to a cold endpoint.

Each cold endpoint has a set of senders, which every instance computes on its own from
the names of the granters. A sender sends at most one request in any second, and all
other instances send nothing. No messages are exchanged for this.

Invariants: in any second, the instances that send to an endpoint are at most
`sender_count`, as long as an instance with the right to grant knows the granters as of
at most `MAX_LIST_AGE_SECONDS` ago. An instance that was suspended, was cut off or has
just started sends nothing before `SETTLE_SECONDS` have passed. See
`docs/design/cold-endpoints.md`.
"""

import collections
import dataclasses
import heapq
import math
from collections.abc import Callable, Collection, Mapping

import xxhash

# Between two requests of one sender to an endpoint. The limit is for any second; the
# rest is for clocks of instances that run at different rates.
SEND_INTERVAL_SECONDS = 1.05
# How old the list of granters of an instance with the right to grant can be: the right
# ends 3 s after its last evidence, which may have been under way for 0.3 s.
MAX_LIST_AGE_SECONDS = 3.3
# An instance sends only if it was a sender by all lists of this period. All that send
# within one second then were senders by the same list, the one that was in the store
# `MAX_LIST_AGE_SECONDS` before.
SETTLE_SECONDS = MAX_LIST_AGE_SECONDS + SEND_INTERVAL_SECONDS
# A longer time without an observation shows that the process was suspended.
MAX_OBSERVATION_GAP_SECONDS = 0.5
MAX_OLD_SENDS = 4096  # Bounds the memory for endpoints that have left.
MAX_CACHED_ENDPOINTS = 65_536  # Twice as many as a large fleet has.
MAX_SENDERS = 1_000_000  # More than granters; a larger limit is none.


def sender_count(rate: float, overshoot: float, slack: float) -> int:
    """Return how many instances may send to one cold endpoint.

    Half of the limit of `rate` times `overshoot` plus `slack` requests per second,
    because all senders may be replaced once while each list is in use. Returns 0 if the
    rate is not a positive finite number, and for a limit below 2.
    """
    if not 0.0 < rate < math.inf:
        return 0
    limit = rate * overshoot + slack
    return int(min(limit / 2, MAX_SENDERS)) if limit >= 2.0 else 0


def _rank(instance: str, endpoint: str) -> tuple[int, str]:
    # The name decides between equal hashes, so that all instances agree.
    return xxhash.xxh3_64_intdigest(f"cold\0{instance}\0{endpoint}".encode()), instance


def senders(granters: Collection[str], endpoint: str, count: int) -> frozenset[str]:
    """Return the granters that may send to a cold endpoint."""
    return frozenset(
        heapq.nsmallest(count, granters, key=lambda name: _rank(name, endpoint))
    )


def is_sender(
    instance: str, granters: Collection[str], endpoint: str, count: int
) -> bool:
    """Return whether an instance may send to a cold endpoint by a list of granters."""
    return instance in senders(granters, endpoint, count)


@dataclasses.dataclass(frozen=True, slots=True)
class _GranterList:
    """The names of the granters, as an instance knew them from some time on."""

    names: frozenset[str]
    since: float


class ColdSends:
    """Decides whether one instance may send to a cold endpoint now."""

    def __init__(
        self,
        instance: str,
        overshoot: float = 1.0,
        slack: float = 0.0,
        has_right: Callable[[float], bool] = lambda now: True,
    ) -> None:
        self._instance = instance
        self._overshoot, self._slack = overshoot, slack
        # Returns whether the list of granters is known to be current; asked at each
        # send, because it may end between two observations.
        self._has_right = has_right
        self._rates: Mapping[str, float] = {}
        self._counts: dict[str, int] = {}
        self._lists: collections.deque[_GranterList] = collections.deque()
        self._observed_at = -math.inf
        self._is_sender: dict[str, bool] = {}  # By endpoint, by all lists.
        self._last_sends: dict[str, float] = {}
        self._max_last_sends = MAX_OLD_SENDS
        self.sends = 0  # To cold endpoints.

    def set_limits(self, overshoot: float, slack: float) -> None:
        """Set the factor and the addition to the rates."""
        self._overshoot, self._slack = overshoot, slack
        self.set_rates(self._rates)

    def set_rates(self, rates: Mapping[str, float]) -> None:
        """Set the requests per second that a cold endpoint takes, by service.

        All other services have no limit.
        """
        self._rates = rates
        self._counts = {
            service: sender_count(rate, self._overshoot, self._slack)
            for service, rate in rates.items()
        }
        self._is_sender.clear()

    def limits(self, service: str) -> bool:
        """Return whether the cold endpoints of a service have a limit."""
        return service in self._counts

    def observe(self, granters: Collection[str] | None, now: float) -> None:
        """Note the granters; None while this instance has no right to grant.

        Called at each tick of the process.
        """
        if granters is None or now - self._observed_at > MAX_OBSERVATION_GAP_SECONDS:
            self._lists.clear()
            self._is_sender.clear()
        self._observed_at = now
        if granters is None:
            return
        names = frozenset(granters)
        if not self._lists or self._lists[-1].names != names:
            self._lists.append(_GranterList(names, now))
            self._is_sender.clear()
        while len(self._lists) > 1 and self._lists[1].since <= now - SETTLE_SECONDS:
            self._lists.popleft()
            self._is_sender.clear()

    def may_send(self, service: str, endpoint: str, now: float) -> bool:
        """Return whether this instance may send a request to a cold endpoint now."""
        count = self._counts.get(service)
        if count is None:
            return True
        if now - self._last_sends.get(endpoint, -math.inf) < SEND_INTERVAL_SECONDS:
            return False
        if now - self._observed_at > MAX_OBSERVATION_GAP_SECONDS:
            return False
        if not self._lists or now - self._lists[0].since < SETTLE_SECONDS:
            return False
        return self._is_settled_sender(endpoint, count) and self._has_right(now)

    def _is_settled_sender(self, endpoint: str, count: int) -> bool:
        known = self._is_sender.get(endpoint)
        if known is None:
            if len(self._is_sender) >= MAX_CACHED_ENDPOINTS:
                self._is_sender.clear()
            known = self._is_sender[endpoint] = all(
                is_sender(self._instance, known_list.names, endpoint, count)
                for known_list in self._lists
            )
        return known

    def note_send(self, service: str, endpoint: str, now: float, *, cold: bool) -> None:
        """Note that a request is sent to an endpoint, which may be warm.

        Those to warm endpoints count, too, because it may turn cold within the second.
        """
        if service not in self._counts:
            return
        self.sends += cold
        self._last_sends[endpoint] = now
        if len(self._last_sends) > self._max_last_sends:
            self._last_sends = {
                name: at
                for name, at in self._last_sends.items()
                if now - at < SEND_INTERVAL_SECONDS
            }
            # Those that are left must not be copied again at each send.
            self._max_last_sends = max(MAX_OLD_SENDS, 2 * len(self._last_sends))
