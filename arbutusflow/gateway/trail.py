"""Finds the trail of one request in the logs of several instances.

Pure: lines in, events out. A line may have a prefix before its JSON object, as log
collectors add one.
"""

import dataclasses
from collections.abc import Iterable, Sequence
from typing import Any

import msgspec

# Changes of what an instance believed that explain its decisions about a request.
BELIEFS = frozenset(
    {
        "configuration",
        "endpoint_gone",
        "endpoint_listed",
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
CONTEXT_SECONDS = 10.0  # Longer than any lease or outage that explains a refusal.


@dataclasses.dataclass(frozen=True, slots=True)
class LogEvent:
    """One line of a log."""

    time: float  # Unix time in seconds, by the clock of the instance.
    instance: str
    event: str
    fields: dict[str, Any]


def parse(lines: Iterable[str]) -> list[LogEvent]:
    """Return the events of log lines in the order of their times.

    Lines that are not events are left out.
    """
    events = []
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        try:
            fields = msgspec.json.decode(line[start:])
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
    """Return the events of a request and the beliefs that they rested on.

    Beliefs are those of the instances that handled the request, about the endpoints
    that it was sent to, in the seconds before.
    """
    own = [e for e in events if e.fields.get("request_id") == request_id]
    if not own:
        return []
    instances = {e.instance for e in own}
    endpoints = {e.fields["endpoint"] for e in own if "endpoint" in e.fields}
    first, last = own[0].time - CONTEXT_SECONDS, own[-1].time
    beliefs = [
        e
        for e in events
        if e.event in BELIEFS
        and first <= e.time <= last
        and (
            e.fields.get("endpoint") in endpoints
            or ("endpoint" not in e.fields and e.instance in instances)
        )
    ]
    return sorted(own + beliefs, key=lambda event: event.time)
