"""Messages of the object API that `platform_server` serves."""

import msgspec


class StoredObject(msgspec.Struct, frozen=True):
    """An object stored by the platform; version 0 means that it does not exist."""

    name: str
    version: int
    value: bytes


class Changes(msgspec.Struct, frozen=True):
    """Objects that changed after a revision of the store."""

    revision: int
    objects: tuple[StoredObject, ...]


class PlatformInstance(msgspec.Struct, frozen=True):
    """An instance in the platform's list, which may be out of date."""

    instance: str
    zone: str
    host: str
    port: int
    state: str
