"""Reference pages generated from the code.

The output is checked in under `docs/reference/`; a test checks that it is current.
"""

import enum
from collections.abc import Iterable, Iterator
from typing import Any

import msgspec
import msgspec.inspect as inspection

from arbutusflow.adapters.documents import (
    TAG_FIELD,
    describe_type,
    fields_of,
    unwrap_annotations,
)
from arbutusflow.adapters.metrics import METRICS
from arbutusflow.adapters.settings import (
    RELOADABLE_FIELDS,
    EntrySettings,
    PatchFile,
)
from arbutusflow.domain.configuration import Configuration, Operation
from arbutusflow.domain.reasons import Outcome, RefusalReason, RetryReason

UNITS_BY_SUFFIX = {"_ms": "ms", "_bytes": "bytes", "_seconds": "s"}


def settings_page() -> str:
    """Return the reference page for settings, configuration and patch files."""
    lines = [
        "# Settings and configuration",
        "",
        "Made from the code by `arbutusflow reference settings`; do not edit.",
        "",
        "A file is YAML. Unknown fields, repeated fields and values outside their",
        "range are errors, and a file with an error changes nothing.",
        "",
        "SIGHUP makes a running instance read its settings file again. It takes over",
        " and ".join(f"`{name}`" for name in sorted(RELOADABLE_FIELDS))
        + "; other changes need a restart.",
        "",
        "## Settings file of an entry instance",
        "",
        *_type_table(EntrySettings),
        "## Configuration document",
        "",
        *_type_table(Configuration),
        "## Patch file",
        "",
        *_type_table(PatchFile),
        "### Operations",
        "",
        f"The field `{TAG_FIELD}` of each operation names it.",
        "",
        *_markdown_table(("type", "further fields", "effect"), _operation_rows()),
    ]
    return "\n".join(lines).rstrip() + "\n"


def metrics_page() -> str:
    """Return the reference page for metrics, outcomes and reasons."""
    metrics = ((f"`{m.name}`", m.type, m.unit, m.description) for m in METRICS)
    outcomes = ((f"`{item.value}`", item.description) for item in Outcome)
    refusals = (
        (f"`{r.value}`", r.outcome.value, str(r.status), r.description)
        for r in RefusalReason
    )
    retries = ((f"`{item.value}`", item.description) for item in RetryReason)
    lines = [
        "# Metrics, outcomes and reasons",
        "",
        "Made from the code by `arbutusflow reference metrics`; do not edit.",
        "",
        "Metrics are sent by the `statsd` protocol if the setting `statsd` names an",
        "address. Each name starts with `arbutusflow.<instance>.`.",
        "",
        "## Metrics",
        "",
        *_markdown_table(("name", "type", "unit", "description"), metrics),
        "## Outcomes",
        "",
        "The answer's header `Arbutus-Outcome` has one of these values.",
        "",
        *_markdown_table(("outcome", "meaning"), outcomes),
        "## Reasons of refusals",
        "",
        "The answer's header `Arbutus-Reason` and the counter `refusals.<reason>` have",
        "these names. Outcome and status are those of a request without an earlier",
        "attempt that may have run; otherwise they are `unknown` and 504.",
        "",
        *_markdown_table(("reason", "outcome", "status", "meaning"), refusals),
        "Connections over the limit get `queue_full` with status 429, a request that",
        "does not arrive whole in time gets status 408, a method other than GET, POST",
        "and PUT 405, and a path of another form 404.",
        "",
        "## Reasons of retries",
        "",
        "The counter `retries.<reason>` has these names.",
        "",
        *_markdown_table(("reason", "meaning"), retries),
    ]
    return "\n".join(lines).rstrip() + "\n"


def _type_table(document_type: Any) -> list[str]:
    rows = list(_field_rows(inspection.type_info(document_type), ""))
    return _markdown_table(
        ("field", "accepted", "unit", "default", "description"), rows
    )


def _field_rows(info: inspection.Type, prefix: str) -> Iterator[tuple[str, ...]]:
    for field in fields_of(info) or ():
        inner, annotations = unwrap_annotations(field.type)
        name = f"{prefix}{field.encode_name}"
        yield (
            f"`{name}`",
            _accepted(inner),
            _unit(field.encode_name, annotations),
            _default(field),
            annotations.get("description", ""),
        )
        nested, suffix = _nested_mapping(inner)
        if nested is not None:
            yield from _field_rows(nested, f"{name}{suffix}.")


def _nested_mapping(info: inspection.Type) -> tuple[inspection.Type | None, str]:
    """Return the nested mapping type, or None, and the suffix for its field names."""
    match info:
        case inspection.VarTupleType(item):
            item, _ = unwrap_annotations(item)
            return (item, "[]") if fields_of(item) else (None, "")
        case inspection.UnionType(types):
            return next((item for item in types if fields_of(item)), None), ""
        case _:
            return (info, "") if fields_of(info) else (None, "")


def _accepted(info: inspection.Type) -> str:
    """Describe the accepted values, without fields that have rows of their own."""
    match info:
        case inspection.VarTupleType(item):
            item, _ = unwrap_annotations(item)
            if _is_tagged(item):
                return "a list of operations"
            return "a list of mappings" if fields_of(item) else describe_type(info)
        case inspection.UnionType(types) if not _is_tagged(info):
            return " or ".join(_accepted(unwrap_annotations(item)[0]) for item in types)
        case _:
            return "a mapping" if fields_of(info) else describe_type(info)


def _is_tagged(info: inspection.Type) -> bool:
    return isinstance(info, inspection.UnionType) and all(
        isinstance(item, inspection.StructType) for item in info.types
    )


def _unit(name: str, annotations: dict[str, Any]) -> str:
    if "unit" in annotations:
        return str(annotations["unit"])
    return next((u for s, u in UNITS_BY_SUFFIX.items() if name.endswith(s)), "")


def _default(field: inspection.Field) -> str:
    if field.required:
        return "required"
    value = field.default
    if isinstance(value, enum.Enum):
        value = value.value
    if value == () or fields_of(unwrap_annotations(field.type)[0]):
        return "empty" if value == () else "as below"
    return f"`{msgspec.json.encode(value).decode()}`"


def _operation_rows() -> Iterator[tuple[str, ...]]:
    info = inspection.type_info(Operation)
    assert isinstance(info, inspection.UnionType)
    for item in info.types:
        assert isinstance(item, inspection.StructType)
        names = ", ".join(f"`{field.encode_name}`" for field in item.fields)
        effect = (item.cls.__doc__ or "").partition("\n")[0]
        yield (f"`{item.tag}`", names, effect)


def _markdown_table(
    header: tuple[str, ...], rows: Iterable[tuple[str, ...]]
) -> list[str]:
    lines = ["| " + " | ".join(header) + " |", "|" + "---|" * len(header)]
    for row in rows:
        cells = (cell.replace("|", "\\|") for cell in row)
        lines.append("| " + " | ".join(cells) + " |")
    return [*lines, ""]
