"""Findings of `arbutusflow config check`, and files that it cannot read."""

import copy
import json
import os
import pathlib
import re

import pytest
from typer.testing import CliRunner

from arbutusflow.cli.main import app
from arbutusflow.errors import ConfigurationError
from arbutusflow.platform.configuration_draft import read_draft
from arbutusflow.platform.documents import decode_configuration
from tests.gateway.test_documents import CONFIGURATION

PAGE = pathlib.Path(__file__).parents[2] / "docs" / "operators" / "configuring.md"
EXAMPLES = re.findall(
    r"^(?:error|unused|contradiction|difference): .*", PAGE.read_text(), re.M
)
PATH = "hosts.0.paths.0"
OTHER = "hosts.0.paths.1"
SERVICE_C = {"name": "c", "healthPath": "/health", "maxConns": 4}
MISSING = object()


def changed(changes, document=None):
    """Return a document with values set at paths, or removed; `+` appends."""
    document = copy.deepcopy(document or VALID)
    for path, value in changes.items():
        *parents, last = path.split(".")
        section = document
        for name in parents:
            section = section[int(name) if name.isdecimal() else name]
        if last == "+":
            section.append(value)
        elif value is MISSING:
            del section[int(last) if last.isdecimal() else last]
        else:
            section[int(last) if last.isdecimal() else last] = value
    return document


VALID = changed({"hosts.0.host": "shop.example"}, CONFIGURATION)


def run(tmp_path, document, *options, in_force=None):
    """Check a document, or a file's bytes; return the status, lines and error."""
    path = tmp_path / "next.json"
    is_file = isinstance(document, bytes)
    path.write_bytes(document if is_file else json.dumps(document).encode())
    if in_force is not None:
        other = tmp_path / "current.json"
        other.write_text(json.dumps(in_force))
        options += ("--against", str(other))
    done = CliRunner().invoke(app, ["config", "check", str(path), *options])
    return done.exit_code, done.stdout.splitlines(), done.stderr


# The changes that lead to each line of the operators' page, and how many other lines.
FINDINGS = [
    ({f"{PATH}.timeoutS": MISSING}, 0),
    ({"services.1.maxConns": -1}, 0),
    ({f"{OTHER}.service": "c"}, 0),
    ({f"{OTHER}.pathPrefix": "/x/"}, 0),
    ({f"{OTHER}.pathPrefix": "y/"}, 0),
    ({f"{OTHER}.pathPrefix": "/y"}, 0),
    ({"hosts.0.host": "Shop.example"}, 0),
    ({"hosts.0.host": "shop.example:0"}, 0),
    ({"services.1.protocol": "h2"}, 1),  # Two routes name it.
    ({"services.+": SERVICE_C}, 0),
    ({f"{PATH}.trafficSplit.1.weight": 0}, 0),
    ({f"{PATH}.timeoutS": 0.2}, 0),
    ({f"{PATH}.maxAttempts": 0}, 0),
    ({f"{PATH}.trafficSplit.0.weight": 0, f"{PATH}.trafficSplit.1.weight": 0}, 0),
    ({"services.0.coldPerS": 1.9}, 0),
    ({"limits.headerTimeoutS": 20}, 0),
    ({"limits.maxBodyBytes": 0}, 0),
    ({"version": 7}, 0),
    ({"limits.idleTimeoutS": 30, "version": 8}, 0),
    ({"services.+": SERVICE_C, "version": 8}, 1),  # No route uses it.
    ({"services.1": MISSING, "version": 8}, 2),  # Two routes name it.
    ({"services.0.maxConns": 60, "version": 8}, 0),
    ({f"{OTHER}.name": "r3", "version": 8}, 1),  # The route before is removed.
    ({f"{OTHER}.name": "r3", "version": 8}, 1),
    ({f"{PATH}.trafficSplit.0.weight": 50, "version": 8}, 0),
]


@pytest.mark.parametrize(
    ("changes", "others", "line"),
    [(*case, line) for case, line in zip(FINDINGS, EXAMPLES, strict=True)],
    ids=EXAMPLES,
)
def test_each_finding_of_the_page_is_printed(changes, others, line, tmp_path):
    """Guards against a finding that is lost or printed beside the cause, and a page
    that shows another text."""
    compares = line.startswith("difference") or "in force" in line
    in_force = VALID if compares else None
    status, lines, _ = run(tmp_path, changed(changes), in_force=in_force)
    assert line in lines and len(lines) == 1 + others
    kinds = {line.partition(":")[0] for line in lines}
    assert status == (2 if "error" in kinds else 1 if kinds - {"difference"} else 0)


def test_a_valid_configuration_has_no_findings(tmp_path):
    """Guards against warnings about what is right, and against a false status."""
    assert run(tmp_path, VALID) == (0, [], "")
    assert run(tmp_path, VALID, "--json") == (0, ["[]"], "")
    in_force = changed({"version": 6})
    assert run(tmp_path, VALID, in_force=in_force) == (0, [], "")


def test_all_errors_are_found_and_printed_as_json(tmp_path):
    """Guards against a check that stops at the first error."""
    document = changed({"version": "x", "limits": None, f"{OTHER}.service": 3})
    status, (line,), _ = run(tmp_path, document, "--json")
    found = [(item["kind"], item["place"]) for item in json.loads(line)]
    places = ["version", "hosts[0].paths[1].service", "limits"]
    assert (status, found) == (2, [("error", place) for place in places])


def paths_of(value, path=()):
    """Return the paths of all values within a document."""
    items = value.items() if isinstance(value, dict) else enumerate(value)
    for name, part in items:
        yield ".".join(map(str, (*path, name)))
        if isinstance(part, dict | list):
            yield from paths_of(part, (*path, name))


BAD_VALUES = json.loads('[null, true, -1, 1.5, "", "x", "nan", "7", [], [3], {}]')


@pytest.mark.parametrize("path", list(paths_of(VALID)))
def test_errors_are_found_exactly_where_the_decoder_refuses(path):
    """Guards against a check that accepts or refuses other documents than instances."""
    for value in (MISSING, *BAD_VALUES):
        document = changed({path: value})
        try:
            decode_configuration(document)
        except ConfigurationError:
            refused = True
        else:
            refused = False
        problems = read_draft(document).problems
        assert bool(problems) == refused, (value, problems)
        place = re.sub(r"\.(\d+)", r"[\1]", path)
        if value is MISSING:  # A route without a split needs a service.
            place = place.removesuffix(".trafficSplit")
        assert all(item.place.startswith(place) for item in problems)


@pytest.mark.parametrize(
    ("data", "message"),
    [
        (json.dumps(VALID).encode()[:-9], "is cut short"),
        (b"", "is cut short"),
        (b"{} {}", "is not a valid JSON document"),
        (json.dumps(VALID).encode("utf-16"), "is not UTF-8"),
        (json.dumps(VALID).encode("utf-16-le"), "is not UTF-8"),
        (json.dumps(VALID).encode("utf-8-sig"), "is not UTF-8"),
        (b" " * 10_000_000, "is too large"),
        (b"[" * 100_000, "is nested too deeply"),
        (b'{"version":' * 100_000, "is nested too deeply"),
        (b"[]", "has a list in place of an object"),
        (b"null", "has null in place of an object"),
    ],
    ids=range(11),
)
def test_a_file_that_cannot_be_read_gives_one_sentence(data, message, tmp_path):
    """Guards against a traceback in place of a sentence."""
    status, lines, error = run(tmp_path, data)
    assert (status, lines, error.count("\n")) == (2, [], 1)
    assert error.startswith("arbutusflow: ") and f"next.json {message}" in error


def test_what_is_no_file_gives_one_sentence(tmp_path):
    """Guards against a check that waits for a pipe, or fails at a directory."""
    os.mkfifo(tmp_path / "pipe")
    for name, message in (("", "not a file"), ("pipe", "not a file"), ("x", "No such")):
        args = ["config", "check", str(tmp_path / name)]
        done = CliRunner().invoke(app, args)
        assert (done.exit_code, done.stderr.count("\n")) == (2, 1)
        assert message in done.stderr


def test_a_version_in_force_that_instances_refuse_is_named(tmp_path):
    """Guards against differences from a document that cannot be in force."""
    status, _, error = run(tmp_path, VALID, in_force=changed({"limits": MISSING}))
    assert status == 2 and "current.json cannot be in force: limits: is miss" in error
