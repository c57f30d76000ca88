"""Judges configurations that have not been sent yet.

Pure functions on drafts. A finding names the place of the value that it is about.
"""

import collections
import dataclasses
import enum
from collections.abc import Iterable, Iterator
from typing import Any

from arbutusflow.gateway.load.cold_rate import sender_count
from arbutusflow.gateway.model import (
    ConfigurationDraft,
    LimitsDraft,
    Placed,
    RouteDraft,
    ServiceDraft,
    TargetDraft,
)


class FindingKind(enum.Enum):
    """Kind of a finding; the values are part of the command's output."""

    ERROR = "error"  # Instances refuse the version, or a service is not defined.
    UNUSED = "unused"  # An entry, or a part of it, has no effect.
    CONTRADICTION = "contradiction"  # Limits that cannot be meant together.
    DIFFERENCE = "difference"  # From the version in force.


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """One finding about a place of a configuration."""

    kind: FindingKind
    place: str
    text: str


def check(draft: ConfigurationDraft) -> list[Finding]:
    """Return the errors and the warnings of a configuration, errors first."""
    by_kind = {
        FindingKind.ERROR: [*draft.problems, *_find_undefined_services(draft)],
        FindingKind.UNUSED: [
            *_find_shadowed_routes(draft.routes),
            *_find_odd_prefixes(draft.routes),
            *_find_odd_hosts(draft.hosts),
            *_find_services_left_out(draft),
            *_find_unused_services(draft),
            *_find_unused_targets(draft.routes),
        ],
        FindingKind.CONTRADICTION: [
            *_find_route_contradictions(draft.routes),
            *_find_cold_rates_without_senders(draft.services),
            *_find_limit_contradictions(draft),
        ],
    }
    return [
        Finding(kind, item.place, item.value)
        for kind, found in by_kind.items()
        for item in found
    ]


def _targets(routes: Iterable[RouteDraft]) -> Iterator[TargetDraft]:
    for route in routes:
        if route.targets is not None:
            yield from route.targets.value


def _find_undefined_services(draft: ConfigurationDraft) -> Iterator[Placed[str]]:
    names = {service.name.value for service in draft.services if service.name}
    for target in _targets(draft.routes):
        if target.service and target.service.value not in names:
            text = f"service {target.service.value!r} is not defined"
            yield Placed(target.service.place, text)


def _find_services_left_out(draft: ConfigurationDraft) -> Iterator[Placed[str]]:
    names = {s.name.value for s in draft.services if s.name}
    left_out = names - {s.name.value for s in draft.services if s.name and s.served}
    for target in _targets(draft.routes):
        if target.service and target.service.value in left_out:
            text = (
                f"service {target.service.value!r} is left out for its protocol, so "
                "its requests are refused"
            )
            yield Placed(target.service.place, text)


def _find_shadowed_routes(routes: Iterable[RouteDraft]) -> Iterator[Placed[str]]:
    first: dict[tuple[str, str], str] = {}
    for route in routes:
        if route.host is None or route.prefix is None:
            continue
        key = route.host.value.lower(), route.prefix.value
        earlier = first.setdefault(key, route.place)
        if earlier != route.place:
            text = f"never matches: {earlier} has the same host and prefix"
            yield Placed(route.place, text)


def _find_odd_prefixes(routes: Iterable[RouteDraft]) -> Iterator[Placed[str]]:
    for route in routes:
        if route.prefix is None:
            continue
        prefix = route.prefix.value
        if not prefix.startswith("/"):
            text = f"{prefix!r} does not begin with a slash"
            # Any path begins with the empty prefix.
            yield Placed(
                route.prefix.place, f"{text}, so no path matches" if prefix else text
            )
        elif not prefix.endswith("/"):
            text = f"{prefix!r} does not end with a slash, so longer names match, too"
            yield Placed(route.prefix.place, text)


def _find_odd_hosts(hosts: Iterable[Placed[str]]) -> Iterator[Placed[str]]:
    for host in hosts:
        name = host.value
        if name != name.lower():
            yield Placed(host.place, f"{name!r} is matched as {name.lower()!r}")
        _, separator, port = name.rpartition(":")
        if not separator or name.endswith("]"):  # An IPv6 address without a port.
            continue
        if not _is_port(port):
            text = f"{name!r} never matches: its port is not a number from 1 to 65535"
            yield Placed(host.place, text)


def _is_port(text: str) -> bool:
    is_number = text.isascii() and text.isdecimal() and len(text) <= 5
    return is_number and 0 < int(text) < 65536


def _find_unused_services(draft: ConfigurationDraft) -> Iterator[Placed[str]]:
    if not draft.references_complete:
        return
    used = {target.service.value for target in _targets(draft.routes) if target.service}
    for service in draft.services:
        if service.name is not None and service.name.value not in used:
            text = f"no route uses service {service.name.value!r}"
            yield Placed(service.name.place, text)


def _has_no_weight(route: RouteDraft) -> bool:
    return route.targets is not None and all(
        target.weight is not None and target.weight.value == 0
        for target in route.targets.value
    )


def _find_unused_targets(routes: Iterable[RouteDraft]) -> Iterator[Placed[str]]:
    # If all weights are 0, the first service gets the requests.
    weights = [
        target.weight
        for target in _targets(route for route in routes if not _has_no_weight(route))
        if target.weight is not None
    ]
    for weight in weights:
        if weight.value == 0:
            yield Placed(weight.place, "the weight is 0, so no request is sent there")


def _find_route_contradictions(routes: Iterable[RouteDraft]) -> Iterator[Placed[str]]:
    for route in routes:
        timeout, objective = route.timeout_seconds, route.objective_seconds
        if timeout and objective and timeout.value < objective.value:
            text = (
                f"the timeout of {timeout.value:g} s is below the latency objective "
                f"of {objective.value:g} s"
            )
            yield Placed(timeout.place, text)
        if route.max_attempts and route.max_attempts.value == 0:
            yield Placed(route.max_attempts.place, "no attempts: all requests fail")
        if route.targets and route.targets.value and _has_no_weight(route):
            text = "all weights are 0, so the first service gets all requests"
            yield Placed(route.targets.place, text)


def _find_cold_rates_without_senders(
    services: Iterable[ServiceDraft],
) -> Iterator[Placed[str]]:
    for service in services:
        rate = service.cold_rate.value
        # The settings of the instances are not known here.
        if rate is None or not service.served or sender_count(rate, 1.0, 0.0) > 0:
            continue
        text = (
            "the rate is not a number of at least 2, so cold endpoints get no requests "
            "with the default settings"
        )
        yield Placed(service.cold_rate.place, text)


def _find_limit_contradictions(draft: ConfigurationDraft) -> Iterator[Placed[str]]:
    if draft.limits is None:
        return
    header, idle = draft.limits.header_seconds, draft.limits.idle_seconds
    if header and idle and header.value > idle.value:
        text = (
            f"the time for headers of {header.value:g} s is above the time for idle "
            f"connections of {idle.value:g} s"
        )
        yield Placed(header.place, text)
    body = draft.limits.body_bytes
    uploads = [route.place for route in draft.routes if route.uploads]
    if body and body.value == 0 and uploads:
        yield Placed(body.place, f"no body is accepted, but {uploads[0]} uploads")


def differences(
    draft: ConfigurationDraft, in_force: ConfigurationDraft
) -> list[Finding]:
    """Return what a configuration changes of the one in force.

    A version number that is not higher is an error: instances ignore the version.
    """
    errors = _compare_versions(draft.version, in_force.version)
    found = [
        *_compare_limits(draft.limits, in_force.limits),
        *_compare_entries(_named_services(draft), _named_services(in_force)),
        *_compare_entries(_named_routes(draft), _named_routes(in_force)),
    ]
    return [
        *(Finding(FindingKind.ERROR, p.place, p.value) for p in errors),
        *(Finding(FindingKind.DIFFERENCE, p.place, p.value) for p in found),
    ]


def _compare_versions(
    new: Placed[int] | None, old: Placed[int] | None
) -> Iterator[Placed[str]]:
    if new and old and new.value <= old.value:
        text = (
            f"{new.value} is not higher than {old.value}, the version in force, so "
            "instances ignore it"
        )
        yield Placed(new.place, text)


def _compare_limits(
    new: LimitsDraft | None, old: LimitsDraft | None
) -> Iterator[Placed[str]]:
    if new and old:
        yield from _compare_fields(new, old)


Entry = RouteDraft | ServiceDraft


def _named_services(draft: ConfigurationDraft) -> dict[str, Entry]:
    return _by_name(
        (f"service {service.name.value!r}", service)
        for service in draft.services
        if service.name
    )


def _named_routes(draft: ConfigurationDraft) -> dict[str, Entry]:
    return _by_name(
        (f"route {route.name.value!r} of host {route.host.value.lower()!r}", route)
        for route in draft.routes
        if route.name and route.host
    )


def _by_name(entries: Iterable[tuple[str, Entry]]) -> dict[str, Entry]:
    """Return entries by name; those with the same name are numbered."""
    named: dict[str, Entry] = {}
    counts: collections.Counter[str] = collections.Counter()
    for name, entry in entries:
        counts[name] += 1
        named[name if counts[name] == 1 else f"{name} ({counts[name]})"] = entry
    return named


def _compare_entries(
    new: dict[str, Entry], old: dict[str, Entry]
) -> Iterator[Placed[str]]:
    for name, entry in new.items():
        if name in old:
            yield from _compare_fields(entry, old[name])
        else:
            yield Placed(entry.place, f"{name} is added")
    for name, entry in old.items():
        if name not in new:
            text = f"{name} is removed; the place is that in the version in force"
            yield Placed(entry.place, text)


def _compare_fields(
    new: Entry | LimitsDraft, old: Entry | LimitsDraft
) -> Iterator[Placed[str]]:
    for field in dataclasses.fields(new):
        now, before = getattr(new, field.name), getattr(old, field.name)
        if not isinstance(now, Placed) or not isinstance(before, Placed):
            continue
        value, value_before = _shown(now.value), _shown(before.value)
        # Hosts are compared as they are matched, by the names of the entries.
        if field.name != "host" and value != value_before:
            yield Placed(now.place, f"was {value_before}, is now {value}")


def _shown(value: Any) -> str:
    match value:
        case None:
            return "not set"
        case float():
            return f"{value:.15g}"
        case tuple():
            return ", ".join(
                f"{target.service.value!r} with weight {_shown(target.weight.value)}"
                for target in value
                if target.service and target.weight
            )
        case _:
            return repr(value)
