"""Endpoints that the store lists, kept through an outage of the store.

Invariant: an entry that vanished while the store could not be reached, or just
after, is kept until live endpoints had time to register again.
"""

from collections.abc import Callable

from arbutusflow.gateway.event_log import EventLog
from arbutusflow.gateway.model import Endpoint
from arbutusflow.gateway.store_watch import ObjectCopy
from arbutusflow.platform.documents import decode_endpoint

# Endpoints that live and reach the store are back in it within about 2 s.
RETURN_SECONDS = 2.5


class EndpointDirectory:
    """Decoded entries; `endpoints` is what the rest of the process goes by."""

    def __init__(
        self,
        copy: ObjectCopy,
        store_answers_for: Callable[[float], float],
        log: EventLog,
    ) -> None:
        self._copy = copy
        # Seconds for which the store has answered any instance, at a given time.
        self._store_answers_for = store_answers_for
        self._log = log
        self._kept: dict[str, Endpoint] = {}
        self._unreadable: dict[str, int] = {}
        self.endpoints: dict[str, Endpoint] = {}

    def update(self, now: float) -> None:
        """Take over the entries that the store holds."""
        listed = self._decode()
        for name, endpoint in self.endpoints.items():
            if name not in listed and self._returning(now):
                self._kept.setdefault(name, endpoint)
        for name in listed:
            self._kept.pop(name, None)
        self._use(listed)

    def settle(self, now: float) -> bool:
        """Drop entries that did not return in time; return whether any did not."""
        if not self._kept or self._returning(now):
            return False
        self._kept.clear()
        self._use(self._decode())
        return True

    def _returning(self, now: float) -> bool:
        if self._copy.lost_at is not None:
            return True
        return self._store_answers_for(now) < RETURN_SECONDS

    def _use(self, listed: dict[str, Endpoint]) -> None:
        current = {**self._kept, **listed}
        for name in self.endpoints.keys() - current.keys():
            self._log.write(
                "endpoint_gone", endpoint=name, revision=self._copy.revision
            )
        for name, endpoint in current.items():
            known = self.endpoints.get(name)
            if known is None or (known.draining, known.started_ms) != (
                endpoint.draining,
                endpoint.started_ms,
            ):
                self._log.write(
                    "endpoint_listed",
                    endpoint=name,
                    service=endpoint.service,
                    zone=endpoint.zone,
                    draining=endpoint.draining,
                    revision=self._copy.revision,
                )
        self.endpoints = current

    def _decode(self) -> dict[str, Endpoint]:
        result: dict[str, Endpoint] = {}
        for name, item in self._copy.objects.items():
            try:
                result[name] = decode_endpoint(item.raw)
            except ValueError as exc:
                if self._unreadable.get(name) != item.revision:
                    self._unreadable[name] = item.revision
                    self._log.write(
                        "endpoint_unreadable", endpoint=name, detail=str(exc)
                    )
        return result
