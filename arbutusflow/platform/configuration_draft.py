"""Reads configurations that operators have not sent yet, with the place of each value.

Invariant: a draft has problems if and only if `decode_configuration` refuses the
document. Values are read by the decoder's own functions.
"""

import pathlib
from collections.abc import Callable
from typing import Any, TypeVar

import msgspec

from arbutusflow.errors import SettingsError
from arbutusflow.gateway.model import (
    ConfigurationDraft,
    LimitsDraft,
    Placed,
    RouteDraft,
    ServiceDraft,
    TargetDraft,
)
from arbutusflow.platform.documents import (
    MALFORMED_ERRORS,
    read_cold_rate,
    read_number,
    read_text,
)

T = TypeVar("T")
Object = dict[str, Any]

# A configuration of 10,000 routes has about 3 MB.
MAX_FILE_BYTES = 10_000_000
MAX_SHOWN_CHARACTERS = 60  # Of a value in a message.

TEXT = "a string"
NUMBER = "a finite number of at least 0"


def load_draft(path: pathlib.Path) -> ConfigurationDraft:
    """Read a file with a configuration. Raises SettingsError."""
    return read_draft(_load_object(path))


def _load_object(path: pathlib.Path) -> Object:
    try:
        if path.exists() and not path.is_file():
            raise SettingsError(f"{path} is not a file")
        with path.open("rb") as file:
            data = file.read(MAX_FILE_BYTES)
        if len(data) == MAX_FILE_BYTES:
            raise SettingsError(f"{path} is too large: it has 10 MB or more")
        text = data.decode("utf-8")
        if text.startswith("\ufeff") or "\0" in text:
            raise SettingsError(f"{path} is not UTF-8 without a byte order mark")
        document = msgspec.json.decode(text)
    except (OSError, ValueError) as exc:
        raise SettingsError(_read_error(path, exc)) from exc
    except RecursionError as exc:
        raise SettingsError(f"{path} is nested too deeply") from exc
    if not isinstance(document, dict):
        raise SettingsError(f"{path} has {_shown(document)} in place of an object")
    return document


def _read_error(path: pathlib.Path, exc: OSError | ValueError) -> str:
    match exc:
        case OSError():
            return f"cannot read {path}: {exc.strerror}"
        case UnicodeDecodeError():
            return f"{path} is not UTF-8: invalid byte at {exc.start}"
        case msgspec.DecodeError() if "truncated" in str(exc):
            return f"{path} is cut short: the JSON document does not end"
        case _:
            return f"{path} is not a valid JSON document: {exc}"


def read_draft(document: Object) -> ConfigurationDraft:
    """Read all values of a document that can be read, and note the others."""
    reader = _Reader()
    version = reader.field(document, "", "version", int, "a whole number")
    services = tuple(
        _read_service(reader, place, item)
        for place, item in reader.objects(document, "", "services")
    )
    hosts, routes = _read_hosts(reader, document)
    return ConfigurationDraft(
        version=version,
        hosts=hosts,
        routes=routes,
        services=services,
        limits=_read_limits(reader, document),
        problems=tuple(reader.problems),
        references_complete=reader.references_complete,
    )


class _Reader:
    """Reads fields and notes those that cannot be read."""

    def __init__(self) -> None:
        self.problems: list[Placed[str]] = []
        self.references_complete = True

    def add(self, place: str, text: str) -> None:
        self.problems.append(Placed(place, text))

    def field(
        self,
        item: Object,
        place: str,
        name: str,
        convert: Callable[[Any], T],
        expected: str,
    ) -> Placed[T] | None:
        """Return a required field; None if it is missing or invalid."""
        place = _join(place, name)
        if name not in item:
            self.add(place, "is missing")
            return None
        try:
            return Placed(place, convert(item[name]))
        except MALFORMED_ERRORS:
            self.add(place, f"{_shown(item[name])} is not {expected}")
            return None

    def text(self, item: Object, place: str, name: str) -> Placed[str] | None:
        return self.field(item, place, name, read_text, TEXT)

    def number(self, item: Object, place: str, name: str) -> Placed[float] | None:
        return self.field(item, place, name, read_number, NUMBER)

    def count(self, item: Object, place: str, name: str) -> Placed[int] | None:
        return self.field(
            item, place, name, lambda value: int(read_number(value)), NUMBER
        )

    def objects(self, item: Object, place: str, name: str) -> list[tuple[str, Object]]:
        """Return the places and the objects of a required list."""
        place = _join(place, name)
        value = item.get(name)
        # The decoder takes other empty containers for empty lists.
        if name in item and value in ("", {}):
            return []
        if not isinstance(value, list):
            problem = f"{_shown(value)} is not a list" if name in item else "is missing"
            self.add(place, problem)
            self.references_complete = False
            return []
        found = []
        for number, part in enumerate(value):
            if isinstance(part, dict):
                found.append((f"{place}[{number}]", part))
            else:
                self.add(f"{place}[{number}]", f"{_shown(part)} is not an object")
                self.references_complete = False
        return found


def _join(place: str, name: str) -> str:
    return f"{place}.{name}" if place else name


def _shown(value: Any) -> str:
    """Return a value for a message; nested ones may be large and are only named."""
    if isinstance(value, list):
        return "a list"
    if isinstance(value, dict):
        return "an object"
    text = msgspec.json.encode(value).decode()
    if len(text) > MAX_SHOWN_CHARACTERS:
        return f"{text[:MAX_SHOWN_CHARACTERS]}..."
    return text


def _any_text(value: Any) -> str:
    """Return text for a field of which the decoder accepts any value."""
    return value if isinstance(value, str) else _shown(value)


def _read_service(reader: _Reader, place: str, item: Object) -> ServiceDraft:
    protocol = item.get("protocol", "h1")
    served = protocol == "h1"
    if not served:
        reader = _Reader()  # The decoder reads nothing else of it.
    return ServiceDraft(
        place=place,
        name=reader.text(item, place, "name"),
        health_path=reader.field(item, place, "healthPath", _any_text, "a path"),
        max_connections=reader.count(item, place, "maxConns"),
        protocol=Placed(f"{place}.protocol", _any_text(protocol)),
        partitioned=Placed(f"{place}.sharded", bool(item.get("sharded", False))),
        cold_rate=Placed(f"{place}.coldPerS", read_cold_rate(item)),
        served=served,
    )


def _read_hosts(
    reader: _Reader, document: Object
) -> tuple[tuple[Placed[str], ...], tuple[RouteDraft, ...]]:
    hosts, routes = [], []
    for place, entry in reader.objects(document, "", "hosts"):
        # The decoder does not read the host of an entry without paths.
        host_reader = reader if entry.get("paths") else _Reader()
        host = host_reader.text(entry, place, "host")
        if host is not None:
            hosts.append(host)
        for path_place, item in reader.objects(entry, place, "paths"):
            routes.append(_read_route(reader, host, path_place, item))
    return tuple(hosts), tuple(routes)


def _read_route(
    reader: _Reader, host: Placed[str] | None, place: str, item: Object
) -> RouteDraft:
    return RouteDraft(
        place=place,
        name=reader.text(item, place, "name"),
        host=host,
        prefix=reader.text(item, place, "pathPrefix"),
        kind=reader.field(item, place, "routeType", _any_text, TEXT),
        timeout_seconds=reader.number(item, place, "timeoutS"),
        objective_seconds=reader.number(item, place, "targetLatencyS"),
        rank=reader.count(item, place, "priority"),
        max_attempts=reader.count(item, place, "maxAttempts"),
        targets=_read_targets(reader, place, item),
        uploads=item.get("routeType") == "upload",
    )


def _read_targets(
    reader: _Reader, place: str, item: Object
) -> Placed[tuple[TargetDraft, ...]] | None:
    if "trafficSplit" not in item:
        service = reader.text(item, place, "service")
        reader.references_complete &= service is not None
        weight = Placed(f"{place}.service", 1.0)
        return Placed(f"{place}.service", (TargetDraft(service, weight),))
    split_place = f"{place}.trafficSplit"
    if item["trafficSplit"] in ("", {}, []):
        reader.add(split_place, "has no service")
        reader.references_complete = False
        return None
    targets = []
    for part_place, part in reader.objects(item, place, "trafficSplit"):
        service = reader.text(part, part_place, "service")
        reader.references_complete &= service is not None
        targets.append(TargetDraft(service, reader.number(part, part_place, "weight")))
    return Placed(split_place, tuple(targets))


def _read_limits(reader: _Reader, document: Object) -> LimitsDraft | None:
    item = document.get("limits")
    if not isinstance(item, dict):
        present = "limits" in document
        reader.add(
            "limits", f"{_shown(item)} is not an object" if present else "is missing"
        )
        return None
    return LimitsDraft(
        header_bytes=reader.count(item, "limits", "maxHeaderBytes"),
        body_bytes=reader.count(item, "limits", "maxBodyBytes"),
        header_seconds=reader.number(item, "limits", "headerTimeoutS"),
        idle_seconds=reader.number(item, "limits", "idleTimeoutS"),
    )
