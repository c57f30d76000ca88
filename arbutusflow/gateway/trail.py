"""Finds the events of one request in the logs of several instances.

Does no I/O. Log lines may have a prefix before the JSON object, as added by log
collectors.
"""

import dataclasses
from collections.abc import Iterable, Sequence
from typing import Any

import msgspec

# Events that change the state on which an instance bases its decisions about requests.
STATE_CHANGE_EVENTS = frozenset(
    {
        "configuration",
        "endpoint_gone",
        "endpoint_listed",
        "endpoint_room",
        "grant_refused",
        "key_table",
        "keys_granted",
        "keys_released",
        "keys_wait_for_instance",
        "order_unanswered",
        "stalled",
        "started",
        "stopping",
        "store_copy_behind",
        "store_lost",
        "store_regained",
    }
)
# Longer than any lease or outage that can cause a request to be refused.
CONTEXT_SECONDS = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class LogEvent:
    """One log line."""

    time: float  # Unix time in seconds by the clock of the instance.
    instance: str
    event: str
    fields: dict[str, Any]


def parse(lines: Iterable[str]) -> list[LogEvent]:
    """Return the events of log lines, sorted by time.

    Lines that are not events are ignored.
    """
    events = []
    for line in lines:
        json_start = line.find("{")
        if json_start < 0:
            continue
        try:
            fields = msgspec.json.decode(line[json_start:])
            event = LogEvent(
                float(fields.pop("time")),
                str(fields.pop("instance")),
                str(fields.pop("event")),
                fields,
            )
        except (msgspec.DecodeError, KeyError, TypeError, ValueError, AttributeError):
            continue
        events.append(event)
    return sorted(events, key=lambda event: event.time)


def find_request_events(events: Sequence[LogEvent], request_id: str) -> list[LogEvent]:
    """Return the events of a request and the preceding state changes, sorted by time.

    State changes are included if they concern an endpoint that the request was sent to
    or, for events without an endpoint, if they occurred at an instance that handled it.
    """
    request_events = [
        event
        for event in events
        if event.fields.get("request_id") == request_id
        or request_id in event.fields.get("request_ids", ())
    ]
    if not request_events:
        return []
    instances = {event.instance for event in request_events}
    endpoints = {
        event.fields["endpoint"]
        for event in request_events
        if "endpoint" in event.fields
    }
    first, last = request_events[0].time - CONTEXT_SECONDS, request_events[-1].time
    state_changes = [
        event
        for event in events
        if event.event in STATE_CHANGE_EVENTS
        and first <= event.time <= last
        and (
            event.fields.get("endpoint") in endpoints
            or ("endpoint" not in event.fields and event.instance in instances)
        )
    ]
    return sorted(request_events + state_changes, key=lambda event: event.time)
