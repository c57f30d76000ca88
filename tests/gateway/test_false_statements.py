"""Endpoints that say without need that they leave or want no requests.

Guards against services that are refused although an endpoint could serve them, and
against operators who cannot see why requests went elsewhere.
"""

import pytest

from arbutusflow.gateway.callers.messages import CallerRequest
from arbutusflow.gateway.model import Address
from tests.gateway.statement_world import StatementWorld
from tests.gateway.virtual_time import run

HOUR_SECONDS = 3600.0


def play(scenario, count=3):
    async def main():
        world = StatementWorld(["n0"])
        for number in range(count):
            world.start_endpoint(f"e{number}", Address("h", 1 + number), "b")
            world.publish(f"e{number}")
        try:
            return await scenario(world, world.members["n0"].inst)
        finally:
            world.close()

    return run(main())


async def statuses(world, count, seconds=0.1):
    """Return the statuses of requests that are sent one after the other."""
    result = []
    for _ in range(count):
        result.append(await world.send("n0", b"/safe/1"))
        await world.run(seconds)
    return result


async def metrics(inst):
    req = CallerRequest(b"GET", b"/metrics", [], b"", 0.0)
    lines = (await inst.gateway._metrics(req)).body.decode().splitlines()
    return dict(line.rsplit(" ", 1) for line in lines if not line.startswith("#"))


def outcome(name):
    return f'arbutusflow_requests_total{{outcome="{name}"}}'


def logged(inst, event):
    return [fields for name, fields in inst.events if name == event]


def test_endpoints_that_ask_to_wait_in_turns_leave_requests_to_the_others():
    async def scenario(world, inst):
        result = []
        for turn in range(12):
            world.processes[f"e{turn % 3}"].wait_until = world.now + 1.0
            result += await statuses(world, 10)
        assert set(result) == {200}
        gauge = 'arbutusflow_state{name="choices_past_waiting"}'
        assert float((await metrics(inst))[gauge]) >= 60
        assert {line["endpoint"] for line in logged(inst, "endpoint_asks_to_wait")} == {
            "e0",
            "e1",
            "e2",
        }
        assert world.violations == []

    play(scenario)


def test_endpoints_that_ask_to_wait_for_an_hour_are_left_alone_for_an_hour():
    """All do: requests are refused at once, and served when the hour is over."""

    async def scenario(world, inst):
        for process in world.processes.values():
            process.wait_until = world.now + HOUR_SECONDS
        assert set(await statuses(world, 20)) == {503}
        asked = sum(process.arrivals for process in world.processes.values())
        assert asked == 3
        began = world.now
        assert await world.send("n0", b"/safe/1") == 503
        assert world.now == began
        name = outcome("endpoints_asked_to_wait")
        assert float((await metrics(inst))[name]) >= 19
        refused = logged(inst, "request_refused")[-1]
        assert HOUR_SECONDS - 10 < refused["retry_after"] < 1.3 * (HOUR_SECONDS + 1)
        await world.run(HOUR_SECONDS)
        assert set(await statuses(world, 5)) == {200}
        assert world.violations == []

    play(scenario)


def test_endpoints_that_all_say_that_they_leave_are_believed_until_they_restart():
    async def scenario(world, inst):
        for process in world.processes.values():
            process.leaving = True
        await statuses(world, 3)
        began = world.now
        assert await world.send("n0", b"/safe/1") == 503
        assert world.now == began
        assert float((await metrics(inst))[outcome("endpoints_leaving")]) == 1
        said = logged(inst, "endpoint_says_it_leaves")
        assert len(said) == 3
        assert [line["started_ms"] for line in said] == [
            world.processes[line["endpoint"]].started_ms for line in said
        ]
        await world.run(60.0)
        for name in world.processes:
            world.publish(name)  # Their entries say that they are ready.
        assert await world.send("n0", b"/safe/1") == 503
        world.start_endpoint("e1", Address("h", 2), "b")
        world.publish("e1")
        assert set(await statuses(world, 5)) == {200}
        gauge = 'arbutusflow_state{name="choices_past_leaving"}'
        assert float((await metrics(inst))[gauge]) >= 5
        assert world.violations == []

    play(scenario)


def test_a_key_whose_owner_says_that_it_leaves_is_refused_in_its_name():
    async def scenario(world, inst):
        world.start_endpoint("k0", Address("h", 9), "a").leaving = True
        world.publish("k0")
        assert await world.send("n0", b"/keyed/1", "k0") == 200
        await world.run(2.0)
        assert await world.send("n0", b"/keyed/1", "k0") == 503
        assert float((await metrics(inst))[outcome("owner_leaving")]) == 1
        assert world.processes["k0"].arrivals == 1

    play(scenario)


@pytest.mark.parametrize("seconds", [0.0, 1.0])
def test_an_endpoint_that_asks_to_wait_and_leaves_gets_nothing_after_either(seconds):
    async def scenario(world, inst):
        process = world.processes["e0"]
        process.leaving, process.wait_until = True, world.now + seconds
        await statuses(world, 3)
        await world.run(5.0)
        assert await world.send("n0", b"/safe/1") == 503
        assert process.arrivals == 1

    play(scenario, count=1)
