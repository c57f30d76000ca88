"""Loads YAML documents, validates them against types, and describes those types.

Invariant: a document is accepted completely or rejected. An error is one sentence
that names the file, the line, the field and the accepted values.
"""

import pathlib
import re
from typing import Any, NoReturn, TypeVar

import msgspec
import msgspec.inspect as inspection
import yaml

from arbutusflow.errors import SettingsError

Document = TypeVar("Document")

MAX_DOCUMENT_BYTES = 4_194_304  # The platform stores documents of up to 1 MB.
TAG_FIELD = "type"
_ERROR_MESSAGE = re.compile(r"^(?P<message>.*?)(?: - at `\$(?P<path>.*)`)?$", re.DOTALL)
_PATH_STEP = re.compile(r"\.(\w+)|\[(\d+)\]")
_MISSING_FIELD = re.compile(r"missing required field `(\w+)`")

_YAML_TYPES = {
    inspection.StrType: "text",
    inspection.IntType: "whole number",
    inspection.FloatType: "number",
    inspection.BoolType: "true or false",
    inspection.NoneType: "null",
}


class _DocumentError(Exception):
    """A validation error at a node; raised and caught only in this module."""

    def __init__(self, node: yaml.Node | None, field: str, message: str) -> None:
        super().__init__(message)
        self.node = node
        self.field = field
        self.message = message


def load_document(path: pathlib.Path, document_type: type[Document]) -> Document:
    """Return the document in the file at `path`; raise `SettingsError` if invalid."""
    return parse_document(read_text(path), document_type, str(path))


def read_text(path: pathlib.Path) -> str:
    """Return the text of the file at `path`; raise `SettingsError` if unreadable."""
    try:
        if path.stat().st_size > MAX_DOCUMENT_BYTES:
            raise SettingsError(
                f"{path} is too large; the limit for a document is "
                f"{MAX_DOCUMENT_BYTES} bytes"
            )
        return path.read_text(encoding="utf-8")
    except OSError as exc:
        raise SettingsError(
            f"cannot read {path} ({exc.strerror}); name a file that can be read"
        ) from exc
    except UnicodeDecodeError as exc:
        raise SettingsError(f"{path} is not UTF-8 text; save it as UTF-8") from exc


def parse_document(text: str, document_type: type[Document], source: str) -> Document:
    """Return the document in `text`; error messages refer to it as `source`."""
    info = inspection.type_info(document_type)
    root: yaml.Node | None = None
    try:
        root = yaml.compose(text, Loader=yaml.SafeLoader)
        if root is None:
            raise _DocumentError(
                None, "", f"the document is empty; expected {describe_type(info)}"
            )
        _check_node(root, info, "")
        value = yaml.safe_load(text)
        return msgspec.convert(value, document_type)
    except yaml.YAMLError as exc:
        _raise_yaml_error(source, exc)
    except _DocumentError as exc:
        _raise_document_error(source, exc.node, exc.field, exc.message)
    except msgspec.ValidationError as exc:
        assert root is not None
        error = _locate_error(root, info, str(exc))
        _raise_document_error(source, error.node, error.field, error.message)
    except (RecursionError, ValueError) as exc:
        # Deep nesting, or a date such as 2026-13-45 that YAML cannot construct.
        raise SettingsError(
            f"{source} has a value that cannot be parsed ({exc}); put text in quotes"
        ) from exc


def describe_type(info: inspection.Type) -> str:
    """Return the values that a type accepts, described in words."""
    info, _ = unwrap_annotations(info)
    match info:
        case inspection.IntType() | inspection.FloatType():
            return "a " + _YAML_TYPES[type(info)] + _bounds(info)
        case inspection.StrType(min_length, max_length, pattern):
            description = "text"
            if pattern:
                description += f" that matches {pattern}"
            if min_length or max_length:
                description += f" of {min_length or 0} to {max_length} characters"
            return description
        case inspection.EnumType(cls):
            return "one of " + ", ".join(str(item.value) for item in cls)
        case inspection.VarTupleType(item) | inspection.ListType(item):
            return "a list, each item " + describe_type(item)
        case inspection.UnionType(types):
            if tags := _tagged_structs(info):
                return f"a mapping whose field {TAG_FIELD} is one of " + ", ".join(tags)
            return " or ".join(describe_type(item) for item in types)
        case inspection.StructType() | inspection.DataclassType():
            names = ", ".join(field.encode_name for field in info.fields)
            return f"a mapping with the fields {names}"
        case _:
            return _YAML_TYPES.get(type(info), type(info).__name__)


def unwrap_annotations(info: inspection.Type) -> tuple[inspection.Type, dict[str, Any]]:
    """Return a type without its metadata, and the extra annotations in it."""
    annotations: dict[str, Any] = {}
    while isinstance(info, inspection.Metadata):
        annotations = {
            **(info.extra_json_schema or {}),
            **(info.extra or {}),
            **annotations,
        }
        info = info.type
    return info, annotations


def fields_of(info: inspection.Type) -> tuple[inspection.Field, ...] | None:
    """Return the fields of a mapping type; None for any other type."""
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


def _tagged_structs(info: inspection.Type) -> dict[str, inspection.StructType]:
    if not isinstance(info, inspection.UnionType):
        return {}
    return {
        str(item.tag): item
        for item in info.types
        if isinstance(item, inspection.StructType) and item.tag is not None
    }


def _check_node(node: yaml.Node, info: inspection.Type, field: str) -> None:
    """Reject duplicate and unknown fields, which the conversion would ignore."""
    info, _ = unwrap_annotations(info)
    if isinstance(node, yaml.SequenceNode):
        if isinstance(info, inspection.VarTupleType | inspection.ListType):
            for index, item in enumerate(node.value):
                _check_node(item, info.item_type, f"{field}[{index}]")
        return
    if not isinstance(node, yaml.MappingNode):
        return
    values = _mapping_items(node, field)
    info = _select_union_member(info, values)
    fields = {item.encode_name: item for item in fields_of(info) or ()}
    if not fields:
        return
    tag = TAG_FIELD if isinstance(info, inspection.StructType) and info.tag else None
    for name, (key, value) in values.items():
        inner = f"{field}.{name}" if field else name
        if name in fields:
            _check_node(value, fields[name].type, inner)
        elif name != tag:
            accepted = ", ".join(filter(None, (tag, *fields)))
            raise _DocumentError(
                key, inner, f"unknown field; accepted fields: {accepted}"
            )


def _mapping_items(
    node: yaml.MappingNode, field: str
) -> dict[str, tuple[yaml.Node, yaml.Node]]:
    values: dict[str, tuple[yaml.Node, yaml.Node]] = {}
    for key, value in node.value:
        if not isinstance(key, yaml.ScalarNode):
            raise _DocumentError(key, field, "a field name must be text")
        if key.value in values:
            inner = f"{field}.{key.value}" if field else key.value
            raise _DocumentError(
                key, inner, "the field appears twice; remove one of the two"
            )
        values[key.value] = (key, value)
    return values


def _select_union_member(
    info: inspection.Type, values: dict[str, tuple[yaml.Node, yaml.Node]]
) -> inspection.Type:
    """Return the member of a union type that applies to a mapping."""
    if tags := _tagged_structs(info):
        tag = values.get(TAG_FIELD)
        return tags.get(tag[1].value, info) if tag else info
    if isinstance(info, inspection.UnionType):
        return next((item for item in info.types if fields_of(item)), info)
    return info


def _locate_error(
    root: yaml.Node, info: inspection.Type, message: str
) -> _DocumentError:
    """Return the error, with its node, that a conversion error message describes."""
    match = _ERROR_MESSAGE.match(message)
    assert match is not None
    node, field = root, ""
    for name, index in _PATH_STEP.findall(match["path"] or ""):
        info, _ = unwrap_annotations(info)
        if isinstance(node, yaml.MappingNode):
            values = _mapping_items(node, field)
            members = fields_of(_select_union_member(info, values)) or ()
            info = next((i.type for i in members if i.encode_name == name), info)
            node = values[name][1] if name in values else node
        elif isinstance(node, yaml.SequenceNode) and index:
            node = node.value[int(index)]
            if isinstance(info, inspection.VarTupleType | inspection.ListType):
                info = info.item_type
        field += f"[{index}]" if index else f"{'.' if field else ''}{name}"
    if missing := _MISSING_FIELD.search(match["message"]):
        name = missing[1]
        values = (
            _mapping_items(node, field) if isinstance(node, yaml.MappingNode) else {}
        )
        members = (
            fields_of(_select_union_member(unwrap_annotations(info)[0], values)) or ()
        )
        field_type = next((i.type for i in members if i.encode_name == name), None)
        accepted = describe_type(field_type) if field_type else describe_type(info)
        inner = f"{field}.{name}" if field else name
        return _DocumentError(
            node, inner, f"the field is missing; accepted: {accepted}"
        )
    got = "a mapping"
    if isinstance(node, yaml.ScalarNode):
        got = repr(node.value)
    elif isinstance(node, yaml.SequenceNode):
        got = "a list"
    return _DocumentError(node, field, f"got {got}; accepted: {describe_type(info)}")


def _raise_document_error(
    source: str, node: yaml.Node | None, field: str, message: str
) -> NoReturn:
    line = 1 if node is None else node.start_mark.line + 1
    place = f"{source}, line {line}"
    raise SettingsError(
        f"{place}, field {field}: {message}" if field else f"{place}: {message}"
    )


def _raise_yaml_error(source: str, exc: yaml.YAMLError) -> NoReturn:
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
        _raise_yaml_error(str(path), exc)
    if not isinstance(root, yaml.MappingNode):
        return frozenset()
    return frozenset(str(key.value) for key, _ in root.value)
