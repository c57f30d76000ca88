"""Instances tell each other which endpoints say that they leave, and move their keys.

Guards against an instance that sends work to an endpoint because only another instance
has read its statement, and against keys that stay at an endpoint that leaves.
"""

import asyncio
import itertools

import pytest

from arbutusflow.gateway.model import Address
from tests.gateway.statement_instance import Entry, StatementInstance
from tests.gateway.test_whole_path import run_with_cluster, wait_until
from tests.gateway.virtual_time import run

PROCESS = ("e0", 1000)
ENTRY = Entry("e0", Address("h", 1), 1000)
GRANTER = Address("granter", 1)


class Fleet:
    """Instances that know one endpoint, and the reports that they send."""

    def __init__(self, count):
        self.sent = []
        self.instances = [StatementInstance(f"n{n}") for n in range(count)]
        for inst in self.instances:
            inst.list([ENTRY])
            inst.gateway.fleet_task.peers.send = self._record

    def _record(self, message, targets):
        self.sent.append(message)

    def task(self, number):
        return self.instances[number].gateway.fleet_task

    def report(self, kind, number):
        """Return the report of this kind that an instance sends next."""
        task = self.task(number)
        if kind == "report":
            return task._make_report({}, {}, vouches=True)
        if kind == "follower":
            task.following.target = lambda now: GRANTER
            task.report_to_granter()
        else:
            task._send_digest([GRANTER])
        return self.sent[-1]

    def apply(self, kind, number, report):
        gateway = self.instances[number].gateway
        if kind == "report":
            gateway.apply_report(report)
        elif kind == "follower":
            gateway.apply_follower(report)
        else:
            gateway.apply_digest(report, {})


def play(scenario, count=3):
    async def main():
        return scenario(Fleet(count))

    return run(main())


KINDS = ("report", "follower", "digest")


@pytest.mark.parametrize("first, second", list(itertools.product(KINDS, KINDS)))
def test_each_kind_of_report_tells_it_and_what_was_told_is_passed_on(first, second):
    """A follower tells its granter, which tells others, which tell their followers."""

    def scenario(fleet):
        fleet.instances[0].gateway._on_leaving(PROCESS)
        fleet.apply(first, 1, fleet.report(first, 0))
        assert fleet.instances[1].is_leaving("e0")
        assert fleet.instances[1].gateway.endpoints.choose("b", set(), 1000.0) is None
        fleet.apply(second, 2, fleet.report(second, 1))
        assert fleet.instances[2].is_leaving("e0")

    play(scenario)


def test_a_statement_is_reported_at_once_and_only_once():
    def scenario(fleet):
        fleet.task(0).following.target = lambda now: GRANTER
        fleet.instances[0].gateway._on_leaving(PROCESS)
        assert [m.leaving_endpoints for m in fleet.sent] == [dict([PROCESS])]
        fleet.instances[0].gateway._on_leaving(PROCESS)
        assert len(fleet.sent) == 1

    play(scenario, count=1)


def test_what_others_tell_of_an_earlier_process_says_nothing_of_the_next():
    def scenario(fleet):
        fleet.instances[0].gateway._on_leaving(PROCESS)
        fleet.instances[1].list([Entry("e0", ENTRY.address, 2000)])
        fleet.apply("report", 1, fleet.report("report", 0))
        assert not fleet.instances[1].is_leaving("e0")

    play(scenario, count=2)


def test_a_statement_takes_the_leases_of_the_endpoint_into_account():
    """The planner goes by the endpoints that the leases know."""

    def scenario(fleet):
        fleet.instances[0].gateway._on_leaving(PROCESS)
        assert fleet.task(0).leases.endpoints["e0"].draining

    play(scenario, count=1)


def test_keys_move_from_an_endpoint_that_says_that_it_leaves(tmp_path):
    """Real instances; the store shows it as ready, its answers to renewals do not."""

    async def scenario(cluster):
        await wait_until(lambda: cluster.is_served("n1", key=b"7"))
        leaving = cluster.endpoints[0]
        leaving.leaving = True

        async def moved():
            ranges = cluster.store.spec("arbutusflow", "keys-a")["ranges"]
            return {part["endpoint"] for part in ranges} == {"i-2"}

        await wait_until(moved)
        await wait_until(lambda: cluster.is_key_served("n2"))
        assert cluster.store.spec("servers", "i-1")["status"]["state"] == "ready"
        ran = len(leaving.ran)
        for name in ("n1", "n2"):
            assert all([await cluster.is_served(name) for _ in range(10)])
        assert len(leaving.ran) == ran

    run_with_cluster(scenario, tmp_path)


def test_an_instance_obeys_what_only_another_one_has_read(tmp_path):
    """Real instances; the endpoint owns no keys, and one of them sends it a request."""

    async def scenario(cluster):
        await wait_until(lambda: cluster.is_served("n1", path=b"/y/1"))
        leaving = cluster.endpoints[2]
        leaving.leaving = True
        assert (await cluster.send_request("n1", b"/y/1")).status == 200

        async def known():
            await asyncio.sleep(0)
            return cluster.gateways["n2"].directory.endpoints["i-3"].draining

        await wait_until(known)
        ran = len(leaving.ran)
        assert (await cluster.send_request("n2", b"/y/1")).status == 503
        assert len(leaving.ran) == ran

    run_with_cluster(scenario, tmp_path)
