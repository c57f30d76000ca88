"""Settings of one process and the configuration file, read from YAML.

Invariant: a file is used whole or not at all; an error names the line, the
field and the accepted values.
"""

import dataclasses
import pathlib
from typing import Annotated, TypeVar

import msgspec
import yaml

from arbutusflow.domain.configuration import Configuration, check_configuration
from arbutusflow.domain.errors import SettingsError

Checked = TypeVar("Checked")


class Address(msgspec.Struct, frozen=True):
    """An IP address and a port."""

    host: str
    port: Annotated[int, msgspec.Meta(ge=1, le=65_535)]


@dataclasses.dataclass(frozen=True, slots=True)
class Peer:
    """Another entry instance, as the settings name it."""

    instance: str
    zone: str
    address: Address


@dataclasses.dataclass(frozen=True, slots=True)
class EntrySettings:
    """Settings of one entry instance.

    `caller` is the address that callers reach, `peer` the one for other entry
    instances and `admin` the one for operators and health checks.
    """

    instance: str
    zone: str
    caller: Address
    peer: Address
    admin: Address
    platform_url: str
    peers: tuple[Peer, ...] = ()
    statsd: Address | None = None


def load_settings(path: pathlib.Path) -> EntrySettings:
    """Return the settings in the file at `path`."""
    return _load(path, EntrySettings)


def load_configuration(path: pathlib.Path) -> Configuration:
    """Return the configuration in the file at `path`."""
    cfg = _load(path, Configuration)
    problems = check_configuration(cfg)
    if problems:
        raise SettingsError(f"{path}: {'; '.join(problems)}")
    return cfg


def _load(path: pathlib.Path, kind: type[Checked]) -> Checked:
    try:
        text = path.read_text()
    except OSError as exc:
        raise SettingsError(f"cannot read {path}: {exc.strerror}") from exc
    try:
        return msgspec.convert(yaml.safe_load(text), kind)
    except yaml.YAMLError as exc:
        raise SettingsError(f"{path} is not valid YAML: {exc}") from exc
    except msgspec.ValidationError as exc:
        raise SettingsError(f"{path}: {exc}") from exc
