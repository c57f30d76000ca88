"""Loads process settings, configuration files and patch files from YAML.

Invariant: a file is accepted completely or rejected; an error names the line, the
field and the accepted values.
"""

import dataclasses
import pathlib
import uuid
from typing import Annotated

import msgspec

from arbutusflow.adapters.documents import load_document
from arbutusflow.adapters.log_level import Level
from arbutusflow.domain.configuration import (
    Configuration,
    Host,
    Meta,
    Name,
    Number,
    Operation,
    Patch,
    PatchId,
    Port,
    check_configuration,
)
from arbutusflow.errors import SettingsError

# Settings that a running process applies on SIGHUP.
RELOADABLE_FIELDS = frozenset({"log_level", "statsd"})


class Address(msgspec.Struct, frozen=True):
    """An IP address and a port."""

    host: Annotated[Host, Meta(description="IP address.")]
    port: Annotated[Port, Meta(description="Port.")]

    @classmethod
    def from_text(cls, text: str) -> "Address":
        """Parse `host:port`; raise `SettingsError` if it is malformed."""
        host, colon, port = text.rpartition(":")
        if not (colon and host and port.isdecimal() and 0 < int(port) <= 65_535):
            raise SettingsError(f"{text!r} is not an address; write host:port")
        return cls(host.strip("[]"), int(port))

    def listen_error(self, exc: OSError) -> SettingsError:
        """Return the error to raise if listening on the address failed with `exc`."""
        return SettingsError(
            f"cannot listen on {self.host}:{self.port} ({exc.strerror}); stop the "
            "process that uses it, or set another address in the settings file"
        )


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits of one instance on caller connections and requests.

    They bound the resources that a connection can use before its request is parsed;
    the limit on the body size is in the configuration document.
    """

    header_bytes: Annotated[
        int,
        Meta(
            ge=1024,
            le=1_048_576,
            description="Size of the request line and all headers.",
        ),
    ] = 16_384
    header_count: Annotated[
        int,
        Meta(
            ge=8,
            le=10_000,
            description="Number of headers.",
            extra={"unit": "headers"},
        ),
    ] = 100
    connections: Annotated[
        int,
        Meta(
            ge=1,
            le=100_000,
            description="Connections of callers that are open at once.",
            extra={"unit": "connections"},
        ),
    ] = 4_096
    receive_ms: Annotated[
        int,
        Meta(
            ge=100,
            le=600_000,
            description="Time from the first byte of a request to its last one.",
        ),
    ] = 60_000


@dataclasses.dataclass(frozen=True, slots=True)
class EntrySettings:
    """Settings of one entry instance."""

    instance: Annotated[
        Name, Meta(description="Name, unique among all entry instances.")
    ]
    zone: Annotated[Name, Meta(description="Availability zone of the instance.")]
    caller: Annotated[Address, Meta(description="Address that callers reach.")]
    peer: Annotated[
        Address, Meta(description="Address that other entry instances reach.")
    ]
    admin: Annotated[
        Address, Meta(description="Address of operators and health checks.")
    ]
    platform_url: Annotated[
        str,
        Meta(pattern=r"^https?://[^/ ]+", description="URL of the platform."),
    ]
    seeds: Annotated[
        tuple[Address, ...],
        Meta(description="Addresses of entry instances to contact first."),
    ] = ()
    statsd: Annotated[
        Address | None,
        Meta(description="Address that metrics are sent to; null sends none."),
    ] = None
    log_level: Annotated[
        Level, Meta(description="Least important lines that are logged.")
    ] = Level.INFO
    limits: Annotated[
        CallerLimits, Meta(description="Limits on what callers send.")
    ] = CallerLimits()


class PatchFile(msgspec.Struct, frozen=True):
    """A patch as written by an operator; the command line fills in missing fields."""

    operations: Annotated[
        tuple[Operation, ...],
        Meta(description="Changes, applied in this order, all or none."),
    ]
    against: Annotated[
        Number | None,
        Meta(
            description="Number of the configuration that the patch was made for; "
            "null takes the number in force when the command runs."
        ),
    ] = None
    id: Annotated[
        PatchId | None,
        Meta(
            description="Identifier; null lets the command choose one. A patch that "
            "is sent again under its identifier takes effect once.",
        ),
    ] = None

    def to_patch(self, number: int, patch_id: str | None = None) -> Patch:
        """Return the patch to send; `number` is that of the configuration in force."""
        return Patch(
            patch_id or self.id or uuid.uuid4().hex,
            number if self.against is None else self.against,
            self.operations,
        )


def load_settings(path: pathlib.Path) -> EntrySettings:
    """Return the settings in the file at `path`."""
    return load_document(path, EntrySettings)


def load_patch(path: pathlib.Path) -> PatchFile:
    """Return the patch in the file at `path`."""
    return load_document(path, PatchFile)


def load_configuration(path: pathlib.Path) -> Configuration:
    """Return the configuration in the file at `path`."""
    cfg = load_document(path, Configuration)
    problems = check_configuration(cfg)
    if problems:
        raise SettingsError(f"{path}: {'; '.join(problems)}")
    return cfg
