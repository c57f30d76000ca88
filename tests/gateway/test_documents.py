"""Decoding of valid and malformed documents and settings."""

import copy
from types import SimpleNamespace

import httptools
import pytest
from hypothesis import given, strategies as st

from arbutusflow.errors import ConfigurationError, SettingsError
from arbutusflow.gateway.model import Address, Repeatability
from arbutusflow.platform import wire
from arbutusflow.platform.documents import decode_configuration, decode_endpoint
from arbutusflow.platform.settings import load_settings
from tests.gateway.object_platform import SETTINGS

CONFIGURATION = {
    "version": 7,
    "services": [
        {
            "name": "a",
            "healthPath": "/health",
            "maxConns": 49,
            "protocol": "h1",
            "sharded": True,
        },
        {"name": "b", "healthPath": "/health", "maxConns": 49, "protocol": "h1"},
    ],
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 67108864,
        "headerTimeoutS": 3,
        "idleTimeoutS": 15,
    },
    "hosts": [
        {
            "host": "Shop.example",
            "paths": [
                {
                    "name": "r1",
                    "pathPrefix": "/x/",
                    "routeType": "safe",
                    "timeoutS": 1,
                    "targetLatencyS": 0.3,
                    "priority": 1,
                    "trafficSplit": [
                        {"service": "a", "weight": 90},
                        {"service": "b", "weight": 10},
                    ],
                    "maxAttempts": 2,
                },
                {
                    "name": "r2",
                    "pathPrefix": "/y/",
                    "routeType": "upload",
                    "timeoutS": 1.2,
                    "targetLatencyS": 0.4,
                    "priority": 2,
                    "service": "b",
                    "maxAttempts": 2,
                },
            ],
        }
    ],
}
ENTRY = {
    "metadata": {"name": "i-1", "revision": 5},
    "spec": {
        "address": "10.0.0.1:80",
        "info": {"service": "a", "version": "v1", "zone": "z", "slots": 3},
        "status": {"state": "ready", "seq": 4, "coldLeftS": 0.5},
        "born": 123,
    },
    "status": None,
}


def test_a_configuration_is_decoded():
    cfg = decode_configuration(CONFIGURATION)
    first, second = cfg.routes
    assert (first.host, [t.weight for t in first.targets]) == ("shop.example", [90, 10])
    assert second.repeatability is Repeatability.AT_MOST_ONCE
    assert (cfg.services["a"].partitioned, cfg.services["b"].partitioned) == (
        True,
        False,
    )


@pytest.mark.parametrize("field", ["version", "services", "limits", "hosts"])
def test_a_configuration_with_a_missing_field_is_rejected(field):
    spec = {key: value for key, value in CONFIGURATION.items() if key != field}
    with pytest.raises(ConfigurationError):
        decode_configuration(spec)


def test_an_endpoint_entry_is_decoded():
    endpoint = decode_endpoint(ENTRY)
    assert endpoint.address == Address("10.0.0.1", 80)
    assert (endpoint.slots, endpoint.cold_seconds, endpoint.started_ms) == (3, 0.5, 123)


@pytest.mark.parametrize(
    "path, value",
    [
        (("address",), 7),
        (("address",), "nowhere"),
        (("info",), None),
        (("info", "service"), ["a"]),
        (("info", "slots"), "3"),
        (("info", "slots"), True),
        (("info", "zone"), 1),
        (("status", "state"), "sleeping"),
        (("status", "coldLeftS"), None),
        (("status",), []),
        (("born",), 1.5),
        (("info", "version"), 1),
        (("info", "version"), ""),
        (("status", "seq"), "4"),
        (("status", "seq"), True),
        (("address",), "10.0.0.1\r\nX-Y: 1:80"),
        (("address",), "10.0.0.1:8_0"),
        (("address",), "10.0.0.1: 80"),
        (("address",), "a" * 64 + ":80"),
        (("address",), "a..b:80"),
    ],
)
def test_an_endpoint_entry_with_an_invalid_field_is_rejected(path, value):
    entry = copy.deepcopy(ENTRY)
    section = entry["spec"]
    for name in path[:-1]:
        section = section[name]
    section[path[-1]] = value
    with pytest.raises(ValueError):
        decode_endpoint(entry)


@pytest.mark.parametrize(
    ("section", "field"),
    [("info", name) for name in ("service", "version", "zone", "slots")]
    + [("status", name) for name in ("state", "seq", "coldLeftS")],
)
def test_an_endpoint_entry_without_a_field_is_rejected(section, field):
    """Guards against requests and keys for entries of other writers."""
    entry = copy.deepcopy(ENTRY)
    del entry["spec"][section][field]
    with pytest.raises(ValueError):
        decode_endpoint(entry)


@given(
    name=st.text(max_size=8) | st.sampled_from(["i\r\n", "i\n", " i", "i\x00", "i\x85"])
)
def test_the_name_of_an_endpoint_stands_in_a_header_as_it_is(name):
    """Guards against a name that ends a header or the head of a request, which makes an
    endpoint run an upload with an empty body."""
    try:
        endpoint = decode_endpoint(ENTRY | {"metadata": {"name": name, "revision": 5}})
    except ValueError:
        return
    seen = {}
    parser = httptools.HttpRequestParser(
        SimpleNamespace(on_header=lambda header, value: seen.update({header: value}))
    )
    lines = [b"POST / HTTP/1.1", b"expect-instance: " + endpoint.id.encode(), b"z: 1"]
    parser.feed_data(b"\r\n".join(lines) + b"\r\n\r\n")
    assert seen == {b"expect-instance": name.encode(), b"z": b"1"}


@pytest.mark.parametrize("item", [None, 5, "x", [], {"metadata": {}}, {"spec": 1}])
def test_a_document_that_is_no_endpoint_entry_is_rejected(item):
    with pytest.raises(ValueError):
        decode_endpoint(item)


@pytest.mark.parametrize(
    "text, load",
    [
        (b"3,0,8", wire.ReportedLoad(3, 0, 8)),
        (b"3,0,8,250", wire.ReportedLoad(3, 0, 8, slowdown=2.5)),
        (b"3, 0, 8, 62.5", wire.ReportedLoad(3, 0, 8, slowdown=0.625)),
        (b"3,0,8,nan", None),
        (b"3,0,8,0", None),
        (b"3,0,8,1000000000", None),
        (b"3,0,8,100,1", None),
        (b"-3,0,8", None),
        (b"1000000000,0,8", None),
        (b"3,0", None),
        (b"a,b,c", None),
        (b"3,0,8,\xff", None),
        (None, None),
    ],
)
def test_a_malformed_load_report_is_ignored(text, load):
    """Guards against a lost report in a longer form, and a load that cannot be."""
    assert wire.ReportedLoad.parse(text) == load


@pytest.mark.parametrize(
    ("kind", "repeatability"),
    [
        ("safe", Repeatability.IDEMPOTENT),
        ("download", Repeatability.IDEMPOTENT),
        ("unsafe", Repeatability.AT_MOST_ONCE),
        ("upload", Repeatability.AT_MOST_ONCE),
        ("another", Repeatability.AT_MOST_ONCE),
    ],
)
def test_only_kinds_that_are_known_to_be_idempotent_may_run_twice(kind, repeatability):
    """Guards against repeats of work of a new kind, and downloads without repeats."""
    spec = copy.deepcopy(CONFIGURATION)
    spec["hosts"][0]["paths"][0]["routeType"] = kind
    assert decode_configuration(spec).routes[0].repeatability is repeatability


@pytest.mark.parametrize(
    "text, key",
    [(b"0", 0), (b"65535", 65535), (b"65536", None), (b"-1", None), (b"", None)],
)
def test_only_keys_within_the_key_space_are_accepted(text, key):
    assert wire.parse_key(text) == key


@pytest.mark.parametrize("text", ["", "nodeName = ", 'nodeName = "a"\n'])
def test_the_error_for_invalid_settings_names_the_file(text, tmp_path):
    path = tmp_path / "node.toml"
    path.write_text(text)
    with pytest.raises(SettingsError, match=r"node\.toml"):
        load_settings(path)


@pytest.mark.parametrize(
    "period, accepted",
    [("0", True), ("0.5", True), ("-1", False), ("nan", False), ('"x"', False)],
)
def test_a_period_of_a_stop_or_evacuation_is_one(period, accepted, tmp_path):
    """Guards against a stop that is planned with times in the past, and against an
    evacuation that never ends service."""
    ports = {"front": 1, "ready": 2, "peer": 3, "store": 4}
    hosts = {"host": "127.0.0.1", "store_host": "127.0.0.1"}
    text = SETTINGS.format(name="n", zone="z", **hosts, **ports)
    path = tmp_path / "node.toml"
    path.write_text(text)
    assert load_settings(path).evacuation_seconds is None
    fields = {"graceS = 6": "stop_seconds", "evacuateS = 5": "evacuation_seconds"}
    for name, field in fields.items():
        changed = text.replace("graceS = 6", "graceS = 6\nevacuateS = 5")
        changed = changed.replace(name, f"{name.split()[0]} = {period}")
        path.write_text(changed)
        if accepted:
            assert getattr(load_settings(path), field) == float(period)
        else:
            with pytest.raises(SettingsError, match=str(path)):
                load_settings(path)


@pytest.mark.parametrize("memory", ["inf", "nan", "1e400", '"x"', "[]"])
def test_a_memory_limit_that_is_no_size_is_rejected(memory, tmp_path):
    """Guards against a traceback in place of the sentence that names the file."""
    ports = {"front": 1, "ready": 2, "peer": 3, "store": 4}
    hosts = {"host": "127.0.0.1", "store_host": "127.0.0.1"}
    text = SETTINGS.format(name="n", zone="z", **hosts, **ports)
    path = tmp_path / "node.toml"
    path.write_text(text.replace("memoryMb = 300", f"memoryMb = {memory}"))
    with pytest.raises(SettingsError, match=str(path)):
        load_settings(path)


@pytest.mark.parametrize(
    ("value", "rate"),
    [(7.2, 7.2), (3, 3.0)]
    + [(bad, 0.0) for bad in (0, -1, float("nan"), 10**400, "7", True, None, [])],
)
def test_a_cold_rate_that_is_no_positive_number_costs_no_configuration(value, rate):
    """Guards against a field that makes the whole configuration unusable, and against a
    bad one that counts as no limit."""
    document = copy.deepcopy(CONFIGURATION)
    document["services"][0]["coldPerS"] = value
    services = decode_configuration(document).services
    assert (services["a"].cold_rate, services["b"].cold_rate) == (rate, None)


def test_the_cold_time_of_a_health_check_is_read():
    texts = (b"1500", b"0", b"-1", b"nan", None)
    assert [wire.parse_cold_left(x) for x in texts] == [1.5, 0.0, None, None, None]


@pytest.mark.parametrize(
    "field, variable, learned",
    [
        ("", None, False),
        ("learnRoom = true", None, True),
        ("learnRoom = true", "false", False),
        ("", "true", True),
        ("", "yes", None),
        ('learnRoom = "yes"', None, None),
        ("learnRoom = 1", None, None),
    ],
)
def test_learned_capacity_is_switched(field, variable, learned, tmp_path, monkeypatch):
    """Guards against a typing error that switches it silently."""
    if variable is not None:
        monkeypatch.setenv("ARBUTUSFLOW_LEARN_ROOM", variable)
    ports = {"front": 1, "ready": 2, "peer": 3, "store": 4}
    hosts = {"host": "127.0.0.1", "store_host": "127.0.0.1"}
    path = tmp_path / "node.toml"
    text = SETTINGS.format(name="n", zone="z", **hosts, **ports)
    path.write_text(f"{field}\n{text}")
    if learned is None:
        with pytest.raises(SettingsError):
            load_settings(path)
    else:
        assert load_settings(path).learn_room is learned
