"""Settings, configuration and patch files; errors for invalid ones are precise."""

import pathlib

import pytest

from arbutusflow.adapters.documents import parse_document
from arbutusflow.adapters.log_level import Level
from arbutusflow.adapters.settings import (
    Address,
    EntrySettings,
    PatchFile,
    load_configuration,
    load_settings,
)
from arbutusflow.domain.configuration import (
    Accepted,
    Configuration,
    DeclareZoneLost,
    Endpoint,
    Invalid,
    Kind,
    Patch,
    PutService,
    Rank,
    RestoreZone,
    Service,
    apply_patch,
)
from arbutusflow.errors import SettingsError

EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"
SETTINGS = """\
instance: entry-1
zone: zone-a
caller: {host: 127.0.0.1, port: 8100}
peer: {host: 127.0.0.1, port: 8200}
admin: {host: 127.0.0.1, port: 8300}
platform_url: http://127.0.0.1:8000
"""
CONFIGURATION = """\
services:
- name: issuance
  kinds:
  - {name: issue, rank: urgent, repeatable: false}
  endpoints:
  - name: issuance-1
    zone: zone-a
    host: 127.0.0.1
    port: 9001
"""


def test_settings_have_defaults():
    settings = parse_document(SETTINGS, EntrySettings, "s.yaml")
    assert settings.caller == Address("127.0.0.1", 8100)
    assert settings.log_level is Level.INFO
    assert settings.statsd is None


@pytest.mark.parametrize("name", ["ecuador.yaml", "sicily.yaml"])
def test_example_configurations_are_accepted(name):
    assert len(load_configuration(EXAMPLES / name).services) == 4


@pytest.mark.parametrize(
    ("text", "kind", "fragments"),
    [
        (SETTINGS + "zoen: b\n", EntrySettings, ["line 7", "zoen", "log_level"]),
        (SETTINGS + "zone: b\n", EntrySettings, ["line 7", "zone", "twice"]),
        (
            SETTINGS + "log_level: loud\n",
            EntrySettings,
            ["line 7", "log_level", "'loud'", "debug, info, warning, error"],
        ),
        (
            SETTINGS + "limits:\n  header_count: 2\n",
            EntrySettings,
            ["line 8", "limits.header_count", "whole number from 8 to 10000"],
        ),
        (
            SETTINGS + "limits:\n  headers: 20\n",
            EntrySettings,
            ["line 8", "limits.headers", "unknown field", "header_count"],
        ),
        (
            SETTINGS + "statsd: 8125\n",
            EntrySettings,
            ["line 7", "statsd", "'8125'", "host, port"],
        ),
        (
            SETTINGS.replace("port: 8200", "port: 0"),
            EntrySettings,
            ["line 4", "peer.port", "from 1 to 65535"],
        ),
        (
            SETTINGS.replace("zone: zone-a\n", ""),
            EntrySettings,
            ["line 1", "zone", "missing"],
        ),
        (SETTINGS + "caller: [", EntrySettings, ["line 7", "not valid YAML"]),
        (SETTINGS + "? [a]\n: b\n", EntrySettings, ["line 7", "must be text"]),
        ("", EntrySettings, ["line 1", "empty", "instance"]),
        ("- 1\n", EntrySettings, ["line 1", "got a list", "instance"]),
        (
            CONFIGURATION.replace("9001", "lots"),
            Configuration,
            ["line 9", "services[0].endpoints[0].port", "'lots'", "65535"],
        ),
        (
            CONFIGURATION.replace("urgent", "top"),
            Configuration,
            ["line 4", "services[0].kinds[0].rank", "urgent, normal, background"],
        ),
        (
            CONFIGURATION + "    slot: 3\n",
            Configuration,
            ["line 10", "services[0].endpoints[0].slot", "unknown field", "slots"],
        ),
        (
            "operations:\n- {type: put_kinds, service: a}\n",
            PatchFile,
            ["line 2", "operations[0].type", "put_kind", "remove_service"],
        ),
        (
            "operations:\n- type: remove_endpoint\n  service: a\n  name: b\n  x: 1\n",
            PatchFile,
            ["line 5", "operations[0].x", "type, service, name"],
        ),
        (
            "operations:\n- type: remove_endpoint\n  service: a\n",
            PatchFile,
            ["line 2", "operations[0].name", "missing"],
        ),
        ("against: 1\n", PatchFile, ["line 1", "operations", "missing"]),
        (
            "operations: []\nagainst: -1\n",
            PatchFile,
            ["line 2", "against", "'-1'", "at least 0"],
        ),
        ("id: 2026-13-45\noperations: []\n", PatchFile, ["quotes"]),
        ("operations: &a [*a]\n", PatchFile, ["operations[0]", "type"]),
    ],
)
def test_error_names_line_field_and_accepted_values(text, kind, fragments):
    """Guards against a typo that is ignored or reported without its location."""
    with pytest.raises(SettingsError) as caught:
        parse_document(text, kind, "file.yaml")
    message = str(caught.value)
    assert message.startswith("file.yaml")
    assert "\n" not in message
    assert [item for item in fragments if item not in message] == []


def test_error_for_unreadable_file_has_a_remedy(tmp_path):
    with pytest.raises(SettingsError, match="name a file that can be read"):
        load_settings(tmp_path / "absent.yaml")
    (tmp_path / "latin.yaml").write_bytes(b"zone: \xe9")
    with pytest.raises(SettingsError, match="save it as UTF-8"):
        load_settings(tmp_path / "latin.yaml")


@pytest.mark.parametrize("text", ["", "host", "host:", ":1", "h:0", "h:65536", "h:x"])
def test_malformed_address_is_refused(text):
    with pytest.raises(SettingsError, match="write host:port"):
        Address.from_text(text)


def test_patch_gets_the_configuration_number_in_force():
    file = parse_document("operations: []\n", PatchFile, "p.yaml")
    assert file.to_patch(7).against == 7
    assert file.to_patch(7, "patch-0001").id == "patch-0001"
    fixed = parse_document("operations: []\nagainst: 3\n", PatchFile, "p.yaml")
    assert fixed.to_patch(7).against == 3


def test_zone_stays_declared_lost_until_it_is_restored():
    endpoint = Endpoint("issuance-1", "zone-a", "127.0.0.1", 9001)
    kinds = (Kind("issue", Rank.URGENT, repeatable=False),)
    create = PutService(Service("issuance", kinds, (endpoint,)))
    patch = Patch("patch-0001", 0, (create, DeclareZoneLost("zone-a")))
    result, cfg = apply_patch(Configuration(), patch)
    assert (result, cfg.lost_zones) == (Accepted(1), ("zone-a",))
    result, cfg = apply_patch(cfg, Patch("patch-0002", 1, (RestoreZone("zone-a"),)))
    assert (result, cfg.lost_zones) == (Accepted(2), ())


@pytest.mark.parametrize("operation", [DeclareZoneLost("zone-z"), RestoreZone("a")])
def test_unknown_zone_is_refused(operation):
    """Guards against storing a mistyped zone that matches nothing."""
    result, cfg = apply_patch(Configuration(), Patch("patch-0001", 0, (operation,)))
    assert isinstance(result, Invalid)
    assert cfg == Configuration()
