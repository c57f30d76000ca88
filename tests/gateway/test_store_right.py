"""The right to grant keys by reading the store ends, and is confirmed, as records say.

An instance that nobody hears may have ended, or may read the store and grant keys. Its
record tells: others revoke the right there, and one that reads the store confirms it.
"""

import asyncio

import pytest

from arbutusflow.gateway.fleet import (
    CONTACT_SLACK_SECONDS,
    CONTACT_TIMEOUT_SECONDS,
    INSTANCE_PREFIX,
    StoreRight,
)
from arbutusflow.gateway.key_table import lease_expiry
from arbutusflow.gateway.peers import ALIVE_SECONDS
from arbutusflow.platform.store import StoredObject
from tests.gateway.sim_fleet import SERVICE, TABLE_NAME, SimFleet, run_fleet

SETTLED_SECONDS = 12.0
CONFIRMED_SECONDS = 0.2  # To revoke a right, to read that, and to confirm it.
# After the end of an instance, until no move waits for it: until the others exclude it,
# it has lost the right, and the leases that it may have granted have expired.
FREE_SECONDS = lease_expiry(
    ALIVE_SECONDS + CONTACT_TIMEOUT_SECONDS + CONTACT_SLACK_SECONDS + CONFIRMED_SECONDS
)
TABLE = f"{TABLE_NAME}-{SERVICE}"
MOVE_SECONDS = 0.5  # Two tables, a release and the grants.


def _cut_peers(sim: SimFleet, name: str) -> None:
    """Let no message of an instance arrive, and none reach it."""
    others = sim.instances.keys() - {name}
    sim.blocked_datagrams |= {(name, b) for b in others} | {(b, name) for b in others}


def _right(sim: SimFleet, name: str) -> str:
    return sim.store.objects[INSTANCE_PREFIX + name].spec["store_right"]


def _owners(sim: SimFleet) -> set[str]:
    return {r["endpoint"] for r in sim.store.objects[TABLE].spec["ranges"]}


@pytest.mark.parametrize("seconds", [3.0, 5.0, 7.0, FREE_SECONDS, 10.5])
def test_an_instance_that_has_ended_holds_up_moves_for_a_fixed_time(seconds):
    """It cannot have read the table, but neither does it say that it has ended.

    Guards against moves that wait anew for each table until its record is removed.
    """

    async def scenario(sim):
        await asyncio.sleep(SETTLED_SECONDS)
        ended_at = sim.now
        sim.instances.pop("n0").kill()
        await asyncio.sleep(seconds)
        recorded = INSTANCE_PREFIX + "n0" in sim.store.objects
        sim.unlisted.add("e1")
        await asyncio.sleep(max(0.0, ended_at + FREE_SECONDS - sim.now) + MOVE_SECONDS)
        return recorded, _owners(sim), sim.held_key_share(), sim.violations

    recorded, owners, share, violations = run_fleet(scenario)
    assert (recorded, share, violations) == (True, 1.0, [])
    assert "e1" not in owners


def test_an_instance_that_reads_the_store_confirms_that_it_does():
    """Guards against leases that end because an instance reaches its endpoints and the
    store, but no other instance; and against a record that is never as before."""

    async def scenario(sim):
        await asyncio.sleep(SETTLED_SECONDS)
        _cut_peers(sim, "n1")
        seen, rights = [], []
        for _ in range(80):
            await asyncio.sleep(0.1)
            seen.append(_right(sim, "n1"))
            rights.append(sim.instances["n1"].task.fleet.may_grant(sim.now))
        sim.blocked_datagrams.clear()
        await asyncio.sleep(2.0)
        lost = rights.count(False) / 10
        return seen[-1], lost < CONFIRMED_SECONDS, _right(sim, "n1"), sim.violations

    assert run_fleet(scenario) == (StoreRight.CONFIRMED, True, StoreRight.HELD, [])


def test_what_was_read_before_the_confirmation_gives_no_right():
    """Others may have moved keys between the reading and the confirmation.

    Guards against renewals by a table of before, until 3 s after it was read.
    """

    async def scenario(sim):
        await asyncio.sleep(SETTLED_SECONDS)
        _cut_peers(sim, "n1")
        await asyncio.sleep(4.0)
        sim.store.unreachable_for.add("n1")
        task = sim.instances["n1"].task
        had_right = task.fleet.may_grant(sim.now)
        known = task.copy.objects[INSTANCE_PREFIX + "n1"]
        sim.store.revision += 1
        written = StoredObject(known.name, sim.store.point, known.spec, known.raw)
        task.copy.adopt(written)
        return had_right, task.fleet.may_grant(sim.now)

    assert run_fleet(scenario) == (True, False)


def test_two_planners_that_do_not_hear_each_other_do_not_move_keys_in_turns():
    """Both read the store, and each would close the range that the other one marked.

    Guards against tables that are written without end while the keys wait.
    """

    async def scenario(sim):
        await asyncio.sleep(SETTLED_SECONDS)
        for name in sim.instances:
            _cut_peers(sim, name)
        await asyncio.sleep(4.0)
        first = len(sim.store.history)
        sim.closed_ports.add("e1")
        sim.unlisted.add("e1")
        await asyncio.sleep(12.0)
        written = sum(c.object.name == TABLE for _, c in sim.store.history[first:])
        return written, sim.violations, sim.held_key_share(), _owners(sim)

    written, violations, share, owners = run_fleet(scenario, instances=2)
    assert (violations, share) == ([], 1.0)
    assert written < 8 and "e1" not in owners
