"""Statements that may be of a process whose entry was read later.

Guards against requests to a process that said that it leaves before its entry was read,
and against restarted endpoints that get no work because an earlier process left.
"""

import pytest

from arbutusflow.gateway import leaving_checks
from arbutusflow.gateway.endpoint_directory import OUTDATED_ENTRY_SECONDS
from arbutusflow.gateway.leaving_checks import CHECK_INTERVAL_SECONDS, LeavingChecks
from arbutusflow.gateway.model import Address, HttpResponse
from tests.gateway.statement_instance import DRAIN_SECONDS, Entry, configuration
from tests.gateway.statement_world import StatementWorld, _Connection
from tests.gateway.stepped_time import until
from tests.gateway.test_statements_over_connections import LEAVING, play as play_site
from tests.gateway.virtual_time import run

ADDRESS = Address("h", 1)
CHECK = "endpoint_leaving_checked"


def play(scenario):
    async def main():
        world = StatementWorld(["n0"])
        world.start_endpoint("e0", ADDRESS, "b")
        world.publish("e0")
        try:
            await scenario(world, world.members["n0"].inst)
        finally:
            world.close()
        assert world.violations == []

    run(main())


def checks(inst):
    """Return the results of the checks of an instance."""
    return [fields["leaving"] for event, fields in inst.events if event == CHECK]


async def leave_and_restart(world, *, leaves):
    """Let an endpoint say that it leaves, and start again; return its new process."""
    world.processes["e0"].leaving = True
    assert await world.send("n0", b"/safe/1") == 200
    process = world.start_endpoint("e0", ADDRESS, "b")
    process.leaving = leaves
    return process


def test_a_restarted_endpoint_gets_work_as_soon_as_it_has_answered_the_check():
    async def scenario(world, inst):
        process = await leave_and_restart(world, leaves=False)
        world.publish("e0")
        for _ in range(5):
            assert await world.send("n0", b"/safe/1") == 200
        assert (checks(inst), process.arrivals) == ([False], 5)

    play(scenario)


def test_a_process_that_says_that_it_is_cold_gets_no_more_than_its_limit():
    """This instance is no granter, so it may send nothing. Guards against wiring that
    leaves out the limit, and against the usual load for a cold process."""

    async def scenario(world, inst):
        document = configuration(8)
        document["services"] = [s | {"coldPerS": 5} for s in document["services"]]
        inst.configure(document)
        process = await leave_and_restart(world, leaves=False)
        process.cold_ms = b"3000"
        world.publish("e0")
        for _ in range(58):
            assert await world.send("n0", b"/safe/1") == 503
            await world.run(0.05)
        assert (checks(inst), process.arrivals) == ([False], 0)
        await world.run(0.2)
        assert await world.send("n0", b"/safe/1") == 200

    play(scenario)


def test_a_restarted_endpoint_is_checked_once_for_each_statement():
    async def scenario(world, inst):
        for _ in range(3):
            await leave_and_restart(world, leaves=False)
            world.publish("e0")
            await world.run(0.1)
            world.publish("e0")
            await world.run(0.1)
        assert checks(inst) == [False] * 3

    play(scenario)


def test_an_endpoint_that_restarts_without_a_statement_is_not_checked():
    async def scenario(world, inst):
        world.start_endpoint("e0", ADDRESS, "b")
        world.publish("e0")
        assert await world.send("n0", b"/safe/1") == 200
        assert checks(inst) == []

    play(scenario)


@pytest.mark.parametrize("path", [b"/safe/1", b"/keyed/1"])
@pytest.mark.parametrize("seconds", [0.1, DRAIN_SECONDS - 0.1, DRAIN_SECONDS + 0.1])
def test_a_process_that_left_before_its_entry_was_read_gets_nothing(path, seconds):
    """Requests with keys are sent for a part of the drain period from then on."""

    async def scenario(world, inst):
        process = world.start_endpoint("e0", ADDRESS, "b")
        process.leaving = True
        assert await world.send("n0", b"/safe/1", "e0") == 200
        await world.run(seconds)
        world.publish("e0")
        for _ in range(30):
            await world.send("n0", path, "e0")
            await world.run(0.1)
        assert checks(inst) == [True]
        assert process.arrivals < 20 if seconds < 1 else process.arrivals == 1

    play(scenario)


def test_an_answer_to_a_request_of_before_the_entry_counts_for_the_new_process():
    async def scenario(world, inst):
        process = world.start_endpoint("e0", ADDRESS, "b")
        process.work_seconds = 0.5
        task = world.send("n0", b"/safe/1")
        await world.run(0.2)
        world.publish("e0")
        process.leaving = True
        assert await task == 200
        await world.run(0.1)
        assert checks(inst) == [True]
        assert inst.is_leaving("e0")
        for _ in range(30):
            assert await world.send("n0", b"/safe/1") == 503
            await world.run(0.1)

    play(scenario)


def test_a_check_without_an_answer_is_repeated():
    async def scenario(world, inst):
        process = await leave_and_restart(world, leaves=False)
        process.running = False
        world.publish("e0")
        await world.run(1.0)
        assert await world.send("n0", b"/safe/1") == 503
        process.running = True
        await world.run(CHECK_INTERVAL_SECONDS + 0.05)
        assert await world.send("n0", b"/safe/1") == 200

    play(scenario)


def test_the_answer_of_another_endpoint_at_the_address_decides_nothing():
    async def scenario(world, inst):
        process = await leave_and_restart(world, leaves=True)
        other = world.start_endpoint("e1", ADDRESS, "b")
        world.publish("e0")
        await world.run(1.0)
        assert checks(inst) == []
        assert await world.send("n0", b"/safe/1") == 503
        other.running, process.running = False, True
        world.at[ADDRESS] = process
        await world.run(1.0)
        assert checks(inst) == [True]

    play(scenario)


def test_a_statement_that_is_read_during_a_check_is_checked_again(monkeypatch):
    """The answer to the check may have been sent before the process began to leave."""
    answers = []

    async def exchange(self, head, body, timeout, request_id=None, head_only=False):
        inst = self._member.inst
        if not answers:
            inst.gateway._on_leaving(("e0", 2000))
        answers.append(head)
        headers = ((b"Server-Leaving", b"1"),) if len(answers) > 1 else ()
        return HttpResponse(200, b"", headers, b"", reusable=True)

    async def scenario(world, inst):
        await leave_and_restart(world, leaves=False)
        monkeypatch.setattr(_Connection, "exchange", exchange)
        world.publish("e0")
        await world.run(1.0)
        assert (checks(inst), len(answers)) == ([True], 2)

    play(scenario)


def test_entries_without_a_start_time_do_not_leave_for_good():
    async def scenario(world, inst):
        world.processes["e0"].started_ms = 0
        world.publish("e0")
        await world.run(OUTDATED_ENTRY_SECONDS + 0.1)
        process = await leave_and_restart(world, leaves=False)
        process.started_ms = 0
        world.publish("e0")
        await world.run(0.1)
        assert await world.send("n0", b"/safe/1") == 200
        assert checks(inst) == [False]

    play(scenario)


@pytest.mark.parametrize(
    "path, target",
    [
        ("/health", b"/health"),
        ("health?full=1", b"/health?full=1"),
        ("/a b\r\nX: 1", b"/a%20b%0D%0AX:%201"),
        ("//ü", b"/%2F%C3%BC".replace(b"%2F", b"/")),
        (None, b"/None"),
    ],
)
def test_any_path_of_a_health_check_makes_one_request(path, target, monkeypatch):
    """The operator's configuration may hold any value as the path."""
    heads = []

    async def exchange(self, head, body, timeout, request_id=None, head_only=False):
        heads.append(head)
        return HttpResponse(404, b"", (), b"", reusable=True)

    async def scenario(world, inst):
        document = configuration(8)
        services = [item | {"healthPath": path} for item in document["services"]]
        inst.configure(document | {"services": services})
        await leave_and_restart(world, leaves=False)
        await world.run(0.1)
        monkeypatch.setattr(_Connection, "exchange", exchange)
        world.publish("e0")
        await world.run(0.1)
        assert len(heads) == 1
        lines = heads[0].split(b"\r\n")
        assert lines[0] == b"GET %b HTTP/1.1" % target
        assert lines[1:] == [b"Host: h:1", b"expect-instance: e0", b"", b""]

    play(scenario)


def test_the_memory_for_statements_is_bounded(monkeypatch):
    """What is discarded keeps no process from work."""
    monkeypatch.setattr(leaving_checks, "MAX_STATEMENTS", 3)

    async def scenario(world, inst):
        process = await leave_and_restart(world, leaves=False)
        process.running = False
        world.publish("e0")
        found: LeavingChecks = inst.gateway.leaving_checks
        for number in range(9):
            found.record((f"gone{number}", 1))
        assert len(found._statements) == 3
        process.running = True
        await world.run(1.0)
        assert await world.send("n0", b"/safe/1") == 200
        assert found._checks == {}

    play(scenario)


def test_a_process_is_checked_over_a_new_connection():
    """Guards against the answer of an earlier process, and plays real connections."""

    async def scenario(site):
        inst = site.instances["n0"]
        endpoint = await site.add_endpoint("e0")
        task = site.send()
        (await endpoint.arrival(1)).answer(200, LEAVING)
        assert (await task).status == 200
        opened = inst.gateway.pool.opened
        known = site.entries["e0"]
        site.entries["e0"] = Entry("e0", known.address, 2000, known.service)
        inst.list(site.entries.values())
        state = inst.gateway.endpoints.states["e0"]
        assert state.pending_check
        await until(lambda: not state.pending_check)
        assert inst.gateway.pool.opened == opened + 1
        assert checks(inst) == [False]

    play_site(scenario)
