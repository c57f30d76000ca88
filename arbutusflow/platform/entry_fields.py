"""The fields of entries that are used; a decoder by them builds nothing else.

Invariant: a field that is used holds short text, a number, a boolean or null, so what
is kept of an entry and sent to other instances does not grow with its content.
"""

from typing import Annotated, Any

import msgspec

MAX_FIELD_CHARACTERS = 1000
FieldText = Annotated[str, msgspec.Meta(max_length=MAX_FIELD_CHARACTERS)]
Scalar = FieldText | int | float | bool | None
MaybeScalar = Scalar | msgspec.UnsetType


class _Metadata(msgspec.Struct):
    name: str
    revision: int = 0


class _Info(msgspec.Struct):
    service: MaybeScalar = msgspec.UNSET
    zone: MaybeScalar = msgspec.UNSET
    slots: MaybeScalar = msgspec.UNSET
    version: MaybeScalar = msgspec.UNSET


class _Status(msgspec.Struct):
    state: MaybeScalar = msgspec.UNSET
    seq: MaybeScalar = msgspec.UNSET
    coldLeftS: MaybeScalar = msgspec.UNSET  # noqa: N815


class _EndpointSpec(msgspec.Struct):
    address: MaybeScalar = msgspec.UNSET
    born: MaybeScalar = msgspec.UNSET
    info: _Info | None | msgspec.UnsetType = msgspec.UNSET
    status: _Status | None | msgspec.UnsetType = msgspec.UNSET


class NamedEntry(msgspec.Struct):
    """An entry of which only the name is used."""

    metadata: _Metadata


class EndpointEntry(NamedEntry):
    """What an endpoint says of itself; see `decode_endpoint`."""

    spec: _EndpointSpec | None | msgspec.UnsetType = msgspec.UNSET
    status: _Status | None | msgspec.UnsetType = msgspec.UNSET


NAMED_ENTRY = msgspec.json.Decoder(NamedEntry)
ENDPOINT_ENTRY = msgspec.json.Decoder(EndpointEntry)
ANY_ENTRY: msgspec.json.Decoder[Any] = msgspec.json.Decoder()
