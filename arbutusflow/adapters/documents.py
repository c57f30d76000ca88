"""YAML documents checked against types, and the description of those types.

Invariant: a document is used whole or not at all. An error is one sentence that
names the file, the line, the field and the accepted values.
"""

import pathlib
import re
from typing import Any, NoReturn, TypeVar

import msgspec
import msgspec.inspect as inspection
import yaml

from arbutusflow.domain.errors import SettingsError

Checked = TypeVar("Checked")

MAX_DOCUMENT_BYTES = 4_194_304  # The platform holds documents of up to 1 MB.
TAG_FIELD = "type"
_ERROR = re.compile(r"^(?P<what>.*?)(?: - at `\$(?P<path>.*)`)?$", re.DOTALL)
_STEP = re.compile(r"\.(\w+)|\[(\d+)\]")
_MISSING = re.compile(r"missing required field `(\w+)`")

_YAML_TYPES = {
    inspection.StrType: "text",
    inspection.IntType: "whole number",
    inspection.FloatType: "number",
    inspection.BoolType: "true or false",
    inspection.NoneType: "null",
}


class _Fault(Exception):  # noqa: N818 - never leaves this module
    """A rule that a node of the document breaks."""

    def __init__(self, node: yaml.Node | None, field: str, what: str) -> None:
        super().__init__(what)
        self.node = node
        self.field = field
        self.what = what


def load_document(path: pathlib.Path, kind: type[Checked]) -> Checked:
    """Return the document in the file at `path`; `SettingsError` if it is wrong."""
    return parse_document(read_text(path), kind, str(path))


def read_text(path: pathlib.Path) -> str:
    """Return the text of the file at `path`; `SettingsError` if it is unusable."""
    try:
        if path.stat().st_size > MAX_DOCUMENT_BYTES:
            raise SettingsError(
                f"{path} is too large; a document has at most {MAX_DOCUMENT_BYTES} "
                "bytes"
            )
        return path.read_text(encoding="utf-8")
    except OSError as exc:
        raise SettingsError(
            f"cannot read {path} ({exc.strerror}); name a file that can be read"
        ) from exc
    except UnicodeDecodeError as exc:
        raise SettingsError(f"{path} is not UTF-8 text; save it as UTF-8") from exc


def parse_document(text: str, kind: type[Checked], source: str) -> Checked:
    """Return the document in `text`; `source` names it in errors."""
    info = inspection.type_info(kind)
    root: yaml.Node | None = None
    try:
        root = yaml.compose(text, Loader=yaml.SafeLoader)
        if root is None:
            raise _Fault(None, "", f"the document is empty; write {describe(info)}")
        _check_node(root, info, "")
        value = yaml.safe_load(text)
        return msgspec.convert(value, kind)
    except yaml.YAMLError as exc:
        _refuse_yaml(source, exc)
    except _Fault as exc:
        _refuse(source, exc.node, exc.field, exc.what)
    except msgspec.ValidationError as exc:
        assert root is not None
        fault = _fault_of(root, info, str(exc))
        _refuse(source, fault.node, fault.field, fault.what)
    except (RecursionError, ValueError) as exc:
        # Deep nesting, or a date such as 2026-13-45 that YAML cannot build.
        raise SettingsError(
            f"{source} holds a value that cannot be read ({exc}); put text in quotes"
        ) from exc


def describe(info: inspection.Type) -> str:
    """Return the accepted values of a type in words."""
    info, _ = unwrap(info)
    match info:
        case inspection.IntType() | inspection.FloatType():
            return "a " + _YAML_TYPES[type(info)] + _bounds(info)
        case inspection.StrType(min_length, max_length, pattern):
            words = "text"
            if pattern:
                words += f" that matches {pattern}"
            if min_length or max_length:
                words += f" of {min_length or 0} to {max_length} characters"
            return words
        case inspection.EnumType(cls):
            return "one of " + ", ".join(str(item.value) for item in cls)
        case inspection.VarTupleType(item) | inspection.ListType(item):
            return "a list, each item " + describe(item)
        case inspection.UnionType(types):
            if tags := _tags(info):
                return f"a mapping whose field {TAG_FIELD} is one of " + ", ".join(tags)
            return " or ".join(describe(item) for item in types)
        case inspection.StructType() | inspection.DataclassType():
            names = ", ".join(field.encode_name for field in info.fields)
            return f"a mapping with the fields {names}"
        case _:
            return _YAML_TYPES.get(type(info), type(info).__name__)


def unwrap(info: inspection.Type) -> tuple[inspection.Type, dict[str, Any]]:
    """Return a type without its annotations, and the annotations."""
    notes: dict[str, Any] = {}
    while isinstance(info, inspection.Metadata):
        notes = {**(info.extra_json_schema or {}), **(info.extra or {}), **notes}
        info = info.type
    return info, notes


def fields_of(info: inspection.Type) -> tuple[inspection.Field, ...] | None:
    """Return the fields of a mapping type; None for every other type."""
    if isinstance(info, inspection.StructType | inspection.DataclassType):
        return info.fields
    return None


def _bounds(info: inspection.IntType | inspection.FloatType) -> str:
    if info.ge is not None and info.le is not None:
        return f" from {info.ge} to {info.le}"
    if info.gt is not None and info.le is not None:
        return f" above {info.gt} and up to {info.le}"
    if info.ge is not None:
        return f" of at least {info.ge}"
    return ""


def _tags(info: inspection.Type) -> dict[str, inspection.StructType]:
    if not isinstance(info, inspection.UnionType):
        return {}
    return {
        str(item.tag): item
        for item in info.types
        if isinstance(item, inspection.StructType) and item.tag is not None
    }


def _check_node(node: yaml.Node, info: inspection.Type, field: str) -> None:
    """Refuse repeated and unknown fields, which the conversion would ignore."""
    info, _ = unwrap(info)
    if isinstance(node, yaml.SequenceNode):
        if isinstance(info, inspection.VarTupleType | inspection.ListType):
            for index, item in enumerate(node.value):
                _check_node(item, info.item_type, f"{field}[{index}]")
        return
    if not isinstance(node, yaml.MappingNode):
        return
    values = _values_of(node, field)
    info = _chosen(info, values)
    known = {item.encode_name: item for item in fields_of(info) or ()}
    if not known:
        return
    tag = TAG_FIELD if isinstance(info, inspection.StructType) and info.tag else None
    for name, (key, value) in values.items():
        inner = f"{field}.{name}" if field else name
        if name in known:
            _check_node(value, known[name].type, inner)
        elif name != tag:
            accepted = ", ".join(filter(None, (tag, *known)))
            raise _Fault(key, inner, f"unknown field; accepted fields: {accepted}")


def _values_of(
    node: yaml.MappingNode, field: str
) -> dict[str, tuple[yaml.Node, yaml.Node]]:
    values: dict[str, tuple[yaml.Node, yaml.Node]] = {}
    for key, value in node.value:
        if not isinstance(key, yaml.ScalarNode):
            raise _Fault(key, field, "a field name has to be text")
        if key.value in values:
            inner = f"{field}.{key.value}" if field else key.value
            raise _Fault(key, inner, "the field appears twice; remove one of the two")
        values[key.value] = (key, value)
    return values


def _chosen(
    info: inspection.Type, values: dict[str, tuple[yaml.Node, yaml.Node]]
) -> inspection.Type:
    """Return the member of a union that a mapping belongs to."""
    if tags := _tags(info):
        tag = values.get(TAG_FIELD)
        return tags.get(tag[1].value, info) if tag else info
    if isinstance(info, inspection.UnionType):
        return next((item for item in info.types if fields_of(item)), info)
    return info


def _fault_of(root: yaml.Node, info: inspection.Type, message: str) -> _Fault:
    """Return the fault that an error message of the conversion tells about."""
    match = _ERROR.match(message)
    assert match is not None
    node, field = root, ""
    for name, index in _STEP.findall(match["path"] or ""):
        info, _ = unwrap(info)
        if isinstance(node, yaml.MappingNode):
            values = _values_of(node, field)
            members = fields_of(_chosen(info, values)) or ()
            info = next((i.type for i in members if i.encode_name == name), info)
            node = values[name][1] if name in values else node
        elif isinstance(node, yaml.SequenceNode) and index:
            node = node.value[int(index)]
            if isinstance(info, inspection.VarTupleType | inspection.ListType):
                info = info.item_type
        field += f"[{index}]" if index else f"{'.' if field else ''}{name}"
    if missing := _MISSING.search(match["what"]):
        name = missing[1]
        values = _values_of(node, field) if isinstance(node, yaml.MappingNode) else {}
        members = fields_of(_chosen(unwrap(info)[0], values)) or ()
        kind = next((i.type for i in members if i.encode_name == name), None)
        accepted = describe(kind) if kind else describe(info)
        inner = f"{field}.{name}" if field else name
        return _Fault(node, inner, f"the field is missing; accepted: {accepted}")
    got = "a mapping"
    if isinstance(node, yaml.ScalarNode):
        got = repr(node.value)
    elif isinstance(node, yaml.SequenceNode):
        got = "a list"
    return _Fault(node, field, f"got {got}; accepted: {describe(info)}")


def _refuse(source: str, node: yaml.Node | None, field: str, what: str) -> NoReturn:
    line = 1 if node is None else node.start_mark.line + 1
    place = f"{source}, line {line}"
    raise SettingsError(
        f"{place}, field {field}: {what}" if field else f"{place}: {what}"
    )


def _refuse_yaml(source: str, exc: yaml.YAMLError) -> NoReturn:
    mark = getattr(exc, "problem_mark", None)
    place = source if mark is None else f"{source}, line {mark.line + 1}"
    problem = getattr(exc, "problem", None) or str(exc).partition("\n")[0]
    raise SettingsError(
        f"{place}: this is not valid YAML ({problem}); correct the line"
    )


def top_level_fields(path: pathlib.Path) -> frozenset[str]:
    """Return the names of the outermost fields of the document at `path`."""
    try:
        root = yaml.compose(read_text(path), Loader=yaml.SafeLoader)
    except yaml.YAMLError as exc:
        _refuse_yaml(str(path), exc)
    if not isinstance(root, yaml.MappingNode):
        return frozenset()
    return frozenset(str(key.value) for key, _ in root.value)
