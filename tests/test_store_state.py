"""The state of the stand-in stores, and its return to an earlier copy."""

import asyncio
import random

from arbutusflow.platform.store import CONFIGURATION_KIND, ENDPOINTS_KIND
from arbutusflow.standins.store_state import HEARTBEAT_SECONDS, StoreState
from tests.gateway import virtual_time

SYSTEM_KIND = "arbutusflow"


class Clock:
    """Clock that a test sets."""

    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


def _with_lost_part():
    """Return a state that has lost a write of the system, and the lost object."""
    clock = Clock()
    state = StoreState(clock)
    state.era = 1
    state.put(SYSTEM_KIND, "kept", 1)
    clock.now += 1.0
    state.put(SYSTEM_KIND, "kept", 2)
    lost = state.put(SYSTEM_KIND, "lost", 3)
    clock.now += 1.0
    state.go_back(clock.now - 1.5)
    return state, lost


def test_what_the_system_wrote_since_the_copy_is_gone():
    """Guards against a drill that loses nothing, in which no fault would show."""
    state, _ = _with_lost_part()
    assert state.objects[SYSTEM_KIND, "kept"]["spec"] == 1
    assert (SYSTEM_KIND, "lost") not in state.objects


def test_revisions_are_given_out_again_in_a_higher_era():
    """Guards against a store that keeps its order by number although it went back."""
    state, lost = _with_lost_part()
    state.put(SYSTEM_KIND, "new", 1)
    state.put(SYSTEM_KIND, "other", 1)
    revision = lost["metadata"]["revision"]
    assert state.objects[SYSTEM_KIND, "other"]["metadata"]["revision"] == revision
    assert state.era == 2
    assert state.era_headers == ((b"store-era", b"2"),)


def test_no_era_is_told_unless_it_is_switched_on():
    """Guards against a stand-in that cannot be a store without eras."""
    assert StoreState().era_headers == ()


def test_a_revision_that_the_store_does_not_have_has_no_history():
    """Guards against a watch that waits for revisions of a lost part."""
    state, lost = _with_lost_part()
    assert not state.has_history(lost["metadata"]["revision"])
    assert state.has_history(state.revision)


def test_changes_of_the_lost_part_are_not_told():
    """Guards against a history that holds a lost and a new change of one revision."""
    state, lost = _with_lost_part()
    state.put(SYSTEM_KIND, "new", 1)
    state.put(SYSTEM_KIND, "other", 1)
    names = [c.item["metadata"]["name"] for c in state.changes_since(SYSTEM_KIND, 0)]
    assert names == ["kept", "new", "other"]


def test_the_second_copy_of_two_drills_is_not_later_than_the_first():
    """Guards against a second drill that brings the lost part back."""
    clock = Clock()
    state = StoreState(clock)
    for value in range(6):
        state.put(SYSTEM_KIND, "a", value)
        clock.now += 1.0
    state.go_back(clock.now - 2.5)
    assert state.objects[SYSTEM_KIND, "a"]["spec"] == 3
    clock.now += 0.5
    state.go_back(clock.now - 1.0)
    assert state.objects[SYSTEM_KIND, "a"]["spec"] == 3
    state.go_back(clock.now - 4.5)
    assert state.objects[SYSTEM_KIND, "a"]["spec"] == 2
    assert state.era == 3


def test_a_copy_older_than_all_kept_ones_is_the_oldest():
    """Guards against a drill that fails because the store was too young."""
    clock = Clock()
    state = StoreState(clock)
    clock.now += 1.0
    state.put(SYSTEM_KIND, "a", 1)
    state.go_back(0.0)
    assert state.objects == {}


def test_the_operator_and_endpoints_write_again():
    """Guards against configurations, entries or removals that stay lost."""

    async def scenario():
        loop = asyncio.get_running_loop()
        state = StoreState(loop.time)
        state.put_outside(ENDPOINTS_KIND, "left", 1)
        state.put_outside(CONFIGURATION_KIND, "main", 1)
        await asyncio.sleep(2.0)
        state.put_outside(CONFIGURATION_KIND, "main", 2)
        state.put_outside(ENDPOINTS_KIND, "new", 1)
        state.remove_outside(ENDPOINTS_KIND, "left")
        state.go_back(loop.time() - 1.0)
        before = {key: item["spec"] for key, item in state.objects.items()}
        writes = asyncio.ensure_future(state.write_again(random.Random(1)))
        await asyncio.sleep(0.0)
        at_once = state.objects[CONFIGURATION_KIND, "main"]["spec"]
        await asyncio.sleep(HEARTBEAT_SECONDS)
        after_heartbeat = (ENDPOINTS_KIND, "new") in state.objects
        await writes
        after = {key: item["spec"] for key, item in state.objects.items()}
        return before, at_once, after_heartbeat, after

    before, at_once, after_heartbeat, after = virtual_time.run(scenario())
    main = (CONFIGURATION_KIND, "main")
    assert before == {main: 1, (ENDPOINTS_KIND, "left"): 1}
    assert at_once == 2
    assert after_heartbeat
    assert after == {main: 2, (ENDPOINTS_KIND, "new"): 1}
