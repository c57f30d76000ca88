"""What operators see of an instance, from its state to the command line."""

import asyncio
import json
import socket
import threading
from http.server import BaseHTTPRequestHandler, HTTPServer

import msgspec
import pytest
from typer.testing import CliRunner

from arbutusflow.cli.main import app
from arbutusflow.gateway.callers.messages import CallerRequest
from arbutusflow.gateway.instance_state import (
    STATE_PATH,
    EvacuatedZone,
    InstanceState,
)
from arbutusflow.gateway.load.room_reports import RoomExchange, RoomFigure
from tests.gateway.test_whole_path import run_with_cluster

STOPPING = InstanceState("n1", "z", "draining", 1.25, 3, 5, 2.0, 7, 60.0)
STARTING = InstanceState("n2", "z", "starting", 0.5, 0, 0, None, None, None)


EVACUATED = EvacuatedZone("z1", 7.25, 30, 2, 9, ("orders", "search"))


@pytest.fixture
def serve():
    """Return a function that starts a server with the state of an instance."""
    servers = []

    def start(state):
        class Handler(BaseHTTPRequestHandler):
            def do_GET(self):  # noqa: N802
                body = msgspec.json.encode(state)
                self.send_response(200 if self.path == STATE_PATH else 404)
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            def log_message(self, *args):
                pass

        server = HTTPServer(("127.0.0.1", 0), Handler)
        thread = threading.Thread(target=server.serve_forever)
        thread.start()
        servers.append((server, thread))
        return f"127.0.0.1:{server.server_port}"

    yield start
    for server, thread in servers:
        server.shutdown()
        server.server_close()
        thread.join()


def run(*args, command="instances"):
    return CliRunner().invoke(app, [command, *args])


def test_one_command_tells_what_each_instance_is_doing(serve):
    result = run(serve(STOPPING), serve(STARTING))
    assert result.exit_code == 0
    first, second = result.stdout.splitlines()[1:]
    assert first.split() == ["n1", "z", "draining", "1.2", "3", "2.0", "7", "60.0"]
    assert second.split() == ["n2", "z", "starting", "0.5", "0", "none"]


def test_the_state_of_instances_is_also_printed_as_json(serve):
    address = serve(STOPPING)
    result = run(address, "--json")
    assert json.loads(result.stdout)[address]["phase"] == "draining"


def test_an_instance_that_does_not_respond_is_named_and_gives_exit_status_3(serve):
    """Guards against a list that silently leaves instances out."""
    result = run(serve(STOPPING), "127.0.0.1:1")
    assert result.exit_code == 3
    assert "127.0.0.1:1" in result.stdout
    assert "127.0.0.1:1 does not respond" in result.stderr


def test_one_command_tells_which_zones_are_evacuated(serve):
    """Guards against an instance that does not know of an evacuation unnoticed."""
    evacuated = msgspec.structs.replace(STOPPING, evacuated_zones=(EVACUATED,))
    addresses = serve(evacuated), serve(STARTING)
    result = run(*addresses, command="evacuations")
    first, second = result.stdout.splitlines()[1:]
    assert first.split()[:6] == ["n1", "z1", "7.2", "30", "2", "9"]
    assert first.endswith("  orders, search")
    assert second.split() == ["n2", "none"]
    printed = json.loads(run(*addresses, "--json", command="evacuations").stdout)
    assert printed[addresses[0]][0]["services_only_there"] == ["orders", "search"]
    assert run("127.0.0.1:1", command="evacuations").exit_code == 3


@pytest.fixture
def respond():
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


@pytest.mark.parametrize(
    ("response", "status"),
    [
        (b"", 3),
        (b"HTTP/1.1 200 OK\r\nContent-Le", 1),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{}", 3),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", 1),
        (b"HTTP/1.1 404 No\r\nContent-Length: 2\r\n\r\nno", 1),
    ],
)
def test_malformed_responses(respond, response, status):
    """Guards against a traceback, and against a state that was not read whole."""
    result = run(respond(response))
    assert result.exit_code == status
    assert result.stderr.startswith("arbutusflow: 127.0.0.1:")
    assert len(result.stderr.splitlines()) == 1


def test_a_refused_connection_has_exit_status_3():
    """Guards against a traceback for an instance that does not run."""
    # A bound port that does not listen refuses, and no other process can take it.
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        result = run(f"127.0.0.1:{sock.getsockname()[1]}")
    assert result.exit_code == 3
    assert "does not respond ([Errno 111] Connection refused)" in result.stderr


@pytest.mark.parametrize("text", ["", "host", "host:", ":1", "h:0", "h:65536", "h:x"])
def test_a_malformed_address_is_a_usage_error(text):
    """Guards against a traceback for a mistyped address."""
    result = run(text)
    assert result.exit_code == 2
    assert "write host:port" in result.stderr


def test_a_stop_shows_in_the_state_of_the_instance(tmp_path):
    """Guards against a state that goes on saying ready after SIGTERM."""

    async def scenario(cluster):
        gateway = cluster.gateways["n1"]
        before = gateway.state()
        gateway._stop()
        target = STATE_PATH.encode()
        rooms = gateway.endpoints.rooms = RoomExchange()
        rooms.apply((RoomFigure("e0", 250, 40, 9),), asyncio.get_running_loop().time())
        reply = await gateway._metrics(CallerRequest(b"GET", target, [], b"", 0.0))
        return before, msgspec.json.decode(reply.body, type=InstanceState)

    before, after = run_with_cluster(scenario, tmp_path)
    assert (before.phase, before.ends_in_seconds) == ("ready", None)
    assert before.configuration is not None
    assert after.phase == "leaving_rotation"
    assert before.rooms == {}
    figure = after.rooms["e0"]
    assert (figure.seconds, figure.in_flight, figure.answers) == (0.25, 4.0, 9.0)
    assert 0.0 <= figure.changed_seconds < 5.0
    assert 5.0 < after.ends_in_seconds <= 5.6
