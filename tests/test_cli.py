"""Command line: output, exit status and error messages.

Commands use the real admin application in the same process; only the sockets and the
control task are replaced.
"""

import asyncio
import json
import socket
import subprocess
import sys
import threading

import msgspec
import pytest
from typer.testing import CliRunner

from arbutusflow import __version__
from arbutusflow.adapters import admin_client
from arbutusflow.adapters.admin_http import AdminApplication
from arbutusflow.cli.main import app
from arbutusflow.domain.configuration import (
    Configuration,
    Endpoint,
    EndpointState,
    Kind,
    Rank,
    Service,
    apply_patch,
)
from arbutusflow.domain.partitions import OwnershipTable
from arbutusflow.domain.records import Decision
from arbutusflow.runtime.control import (
    EndpointStatus,
    InstanceStatus,
    PatchOutcomeUnknownError,
)
from arbutusflow.runtime.request_log import RequestLog, RequestOutcome

ADMIN = ("--admin", "127.0.0.1:1")
SERVICE = Service(
    "registry",
    (Kind("lookup", Rank.URGENT, repeatable=True),),
    (Endpoint("registry-1", "zone-a", "127.0.0.1", 9001),),
    partitions=1,
)
OUTCOME = RequestOutcome(
    request_id="0198c5b8-7e6a-7000-8000-0123456789ab",
    instance="entry-1",
    role="entry",
    received=0.0,
    duration_ms=3.25,
    service="registry",
    kind="lookup",
    key="badge-7",
    rank="urgent",
    outcome="not-run",
    reason="no_owner",
    detail="unit 0 has no owner",
    status=0,
    request_bytes=5,
    answer_bytes=0,
)


class FakeControl:
    """Fake of the control task and of its ownership core."""

    instance = "entry-1"

    def __init__(self):
        self.core = self
        self.cfg = Configuration(3, (SERVICE,))
        self.loses_outcome = False
        self.tables = {"registry": OwnershipTable.empty("registry", 1)}
        self.records = {}
        self.decisions = [Decision(0.0, "entry-1", "registry/0", "held", "suspicion")]

    async def patch(self, patch):
        result, self.cfg = apply_patch(self.cfg, patch)
        if self.loses_outcome:
            raise PatchOutcomeUnknownError("the platform does not answer")
        return result

    def coordinator_of(self, endpoint):
        return "entry-2"

    def status(self):
        rows = (EndpointStatus("registry-1", "entry-2", 16, False),)
        units = {"registry": {"registry-1": 3, "": 1}}
        return InstanceStatus("entry-1", "zone-a", 3, rows, units, {"read": 1})


class Instance:
    """Admin side of one entry instance, without sockets."""

    def __init__(self):
        self.control = FakeControl()
        self.request_log = RequestLog()
        self.stopped = False
        self.app = AdminApplication(
            self.control, self.request_log, lambda: True, self.stop
        )

    def stop(self):
        self.stopped = True

    def call(self, method, path, body):
        path, _, query = path.partition("?")
        scope = {"method": method, "path": path, "query_string": query.encode()}
        sent = []

        async def receive():
            return {"type": "http.request", "body": body}

        async def send(message):
            sent.append(message)

        asyncio.run(self.app(scope, receive, send))
        return sent[0]["status"], sent[1]["body"]


@pytest.fixture
def instance(monkeypatch):
    entry_instance = Instance()
    monkeypatch.setattr(admin_client.AdminClient, "_call", entry_instance.call)
    return entry_instance


def run(*args, env=None):
    return CliRunner().invoke(app, [str(arg) for arg in args], env=env)


def patch_file(tmp_path, text):
    path = tmp_path / "patch.yaml"
    path.write_text(text)
    return path


def test_version():
    result = run("version")
    assert (result.exit_code, result.output) == (0, f"{__version__}\n")


@pytest.mark.parametrize("command", [("--help",), ("version",)])
def test_simple_commands_import_no_slow_module(command):
    """Guards against simple commands that start as slowly as a server."""
    slow_modules = (
        "{'msgspec', 'uvicorn', 'pycurl', 'grpclib', 'yaml', 'eliot', 'asyncio'}"
    )
    code = (
        "import sys\nfrom arbutusflow.cli.main import main\n"
        f"sys.argv = ['arbutusflow', {command[0]!r}]\n"
        "try:\n    main()\nexcept SystemExit:\n    pass\n"
        f"print(sorted({slow_modules} & set(sys.modules)))"
    )
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True)
    assert done.stdout.splitlines()[-1] == "[]", done.stderr


def test_output_of_config_get_passes_config_check(instance, tmp_path):
    result = run("config", "get", *ADMIN)
    path = patch_file(tmp_path, result.output)
    assert run("config", "check", path).exit_code == 0
    assert run("config", "diff", path, *ADMIN).exit_code == 0
    as_json = run("config", "get", "--json", env={"ARBUTUSFLOW_ADMIN": "127.0.0.1:1"})
    assert json.loads(as_json.output)["number"] == 3


def test_config_diff_shows_the_difference(instance, tmp_path):
    text = run("config", "get", *ADMIN).output.replace("slots: 2", "slots: 5")
    result = run("config", "diff", patch_file(tmp_path, text), *ADMIN)
    assert result.exit_code == 1
    assert "-    slots: 2" in result.output
    assert "+    slots: 5" in result.output


def test_config_check_reports_the_line_of_an_error(tmp_path):
    path = patch_file(tmp_path, "operations:\n- {type: remove_service, nam: x}\n")
    result = run("config", "check", path)
    assert result.exit_code == 2
    assert "line 2, field operations[0].nam: unknown field" in result.stderr


def test_accepted_patch_appears_in_the_history(instance, tmp_path):
    path = patch_file(
        tmp_path,
        "id: first-patch\noperations:\n"
        "- {type: put_kind, service: registry,"
        " kind: {name: scan, rank: normal, repeatable: true}}\n",
    )
    assert run("config", "check", path).exit_code == 0
    result = run("config", "patch", path, *ADMIN)
    assert result.exit_code == 0
    assert "configuration 4 is accepted (patch first-patch)" in result.output
    again = run("config", "patch", path, *ADMIN, "--json")
    assert json.loads(again.output)["number"] == 4
    assert run("config", "history", *ADMIN).output.split() == ["4", "first-patch"]
    assert len(instance.control.cfg.services[0].kinds) == 2


@pytest.mark.parametrize(
    ("text", "fragment"),
    [
        ("against: 2\noperations: []\n", "made for configuration 2, but 3 is in force"),
        (
            "operations: [{type: remove_service, name: x}]\n",
            "there is no service x; create it first",
        ),
    ],
)
def test_refused_patch_has_exit_status_1(instance, tmp_path, text, fragment):
    result = run("config", "patch", patch_file(tmp_path, text), *ADMIN)
    assert result.exit_code == 1
    assert fragment in result.stderr
    assert instance.control.cfg.number == 3


def test_unknown_outcome_reports_the_patch_id_to_resend(instance, tmp_path):
    """Guards against a change that is applied twice after a lost response."""
    instance.control.loses_outcome = True
    text = "operations: [{type: set_limits, limits: {}}]\n"
    path = patch_file(tmp_path, text)
    result = run("config", "patch", path, *ADMIN, "--id", "limits-1")
    assert result.exit_code == 4
    assert "send it again with --id limits-1" in result.stderr
    instance.control.loses_outcome = False
    result = run("config", "patch", path, *ADMIN, "--id", "limits-1")
    assert result.exit_code == 0
    assert instance.control.cfg.number == 4


def test_drain_endpoint_and_undo(instance):
    assert run("drain", "endpoint", "registry", "registry-1", *ADMIN).exit_code == 0
    endpoint = instance.control.cfg.services[0].endpoints[0]
    assert endpoint.state is EndpointState.DRAINING
    run("drain", "endpoint", "registry", "registry-1", "--undo", *ADMIN)
    endpoint = instance.control.cfg.services[0].endpoints[0]
    assert endpoint.state is EndpointState.ACTIVE


def test_drain_entry_stops_it(instance):
    result = run("drain", "entry", *ADMIN)
    assert (result.exit_code, instance.stopped) == (0, True)
    assert "entry-1" in result.output


def test_zone_is_declared_lost_only_with_confirmation(instance):
    result = run("zone", "declare-lost", "zone-a", *ADMIN)
    assert result.exit_code == 2
    assert "--all-stopped" in result.stderr
    assert instance.control.cfg.lost_zones == ()
    command = ("zone", "declare-lost", "zone-a", "--all-stopped", *ADMIN)
    assert run(*command).exit_code == 0
    assert instance.control.cfg.lost_zones == ("zone-a",)
    assert run("zone", "restore", "zone-a", *ADMIN).exit_code == 0
    assert instance.control.cfg.lost_zones == ()


def test_status(instance):
    result = run("status", *ADMIN)
    assert "4 units, 1 owners, 1 units without an owner" in result.output
    report = json.loads(run("status", *ADMIN, "--json").output)
    assert report["endpoints"][0]["coordinator"] == "entry-2"


def test_explain_key(instance):
    result = run("explain", "key", "registry", "badge-7", *ADMIN)
    assert "owner: none" in result.output
    assert "held (suspicion)" in result.output
    result = run("explain", "key", "absent", "badge-7", *ADMIN)
    assert result.exit_code == 1
    assert "the services are registry" in result.stderr


def test_explain_request(instance):
    instance.request_log.record(OUTCOME)
    identifier = OUTCOME.request_id
    result = run("explain", "request", identifier.upper(), *ADMIN)
    assert "entry-1 as entry: not-run, reason no_owner" in result.output
    output = run("explain", "request", identifier, *ADMIN, "--json").output
    assert msgspec.json.decode(output, type=list[RequestOutcome]) == [OUTCOME]
    result = run("explain", "request", "other", *ADMIN)
    assert result.exit_code == 1
    assert "ask the instance that the caller reached" in result.stderr


def test_request_log_is_bounded():
    """Guards against memory use that grows with the number of requests."""
    log = RequestLog(max_outcomes=2)
    for number in range(4):
        log.record(msgspec.structs.replace(OUTCOME, request_id=str(number)))
    assert [len(log.find(str(number))) for number in range(4)] == [0, 0, 1, 1]


@pytest.mark.parametrize(
    "args",
    [("status",), ("status", "--admin", "nowhere"), ("entry", "absent.yaml"), ("x",)],
)
def test_usage_errors_have_exit_status_2(args):
    result = run(*args, env={"ARBUTUSFLOW_ADMIN": None})
    assert result.exit_code == 2
    assert "Traceback" not in result.stderr


@pytest.fixture
def start_server():
    """Return a function that starts a server for one request with a fixed response."""
    threads = []

    def start(response):
        server = socket.create_server(("127.0.0.1", 0))

        def serve():
            conn, _ = server.accept()
            with server, conn:
                conn.recv(65_536)
                conn.sendall(response)

        threads.append(threading.Thread(target=serve))
        threads[-1].start()
        return f"127.0.0.1:{server.getsockname()[1]}"

    yield start
    for thread in threads:
        thread.join()


def test_refused_connection_has_exit_status_3():
    # A bound port that does not listen refuses, and no other process can take it.
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        port = sock.getsockname()[1]
        result = run("drain", "entry", "--admin", f"127.0.0.1:{port}")
    assert result.exit_code == 3
    assert "--admin or ARBUTUSFLOW_ADMIN" in result.stderr


@pytest.mark.parametrize(
    ("command", "response", "status"),
    [
        (("status",), b"", 3),
        (("drain", "entry"), b"", 4),
        (("drain", "entry"), b"HTTP/1.1 202 Accepted\r\nContent-Le", 4),
        (("status",), b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", 1),
        (("status",), b"HTTP/1.1 404 No\r\nContent-Length: 2\r\n\r\nno", 1),
    ],
)
def test_malformed_responses(start_server, command, response, status):
    """Guards against reporting a change that may have been applied as refused."""
    result = run(*command, "--admin", start_server(response))
    assert result.exit_code == status
    assert result.stderr.startswith("arbutusflow: ")
    assert len(result.stderr.splitlines()) == 1
