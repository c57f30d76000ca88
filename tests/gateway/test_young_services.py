"""Keys keep one owner when the store returns from before a service had a table.

Hypothesis mixes these returns, also several in a row, with all instances or some of
them replaced, and with the faults of `test_store_era_machine`.

Guards against taking the lack of a table, of a record or of an instance that knows an
earlier era for proof that nobody holds the keys.
"""

import asyncio

from hypothesis import strategies as st
from hypothesis.stateful import rule

from arbutusflow.gateway.fleet import Fleet, parse_table_name
from tests.gateway.test_store_era_machine import (
    AWAY_SECONDS,
    ENDPOINTS,
    ERA_SECONDS,
    INSTANCES,
    RESTARTED,
    START_SECONDS,
    StoreEraMachine,
    TestStoreEraMachine,
)

YOUNG_SECONDS = 3.0  # Since the first endpoints of the service.


class YoungServiceMachine(StoreEraMachine):
    """Plays a fleet that was there before its service."""

    unlisted_at_start = ENDPOINTS

    async def _start(self):
        await super()._start()
        self.sim.unlisted = set()
        await asyncio.sleep(YOUNG_SECONDS)

    @rule(
        seconds=st.lists(st.sampled_from(ERA_SECONDS), max_size=2),
        away=st.sampled_from(AWAY_SECONDS),
        restarted=st.sampled_from(RESTARTED),
        other=st.sampled_from(ENDPOINTS),
    )
    def lose_all_tables(self, seconds, away, restarted, other):
        """Return to before the first table; another set of endpoints gets the keys."""
        for lasted in [*seconds, 0.2]:
            for instance in restarted:
                self.restart(instance)
            self.store_goes_back(self.sim.now - START_SECONDS / 2, away)
            self.list_endpoint(other, listed=False)
            self.run(lasted)
        self.run(2.0)
        self.come_back(other)


TestYoungServiceMachine = YoungServiceMachine.TestCase
TestYoungServiceMachine.settings = TestStoreEraMachine.settings


def test_keys_that_are_assigned_at_once_for_lack_of_a_table_are_detected(monkeypatch):
    """Shows that the machine fails if nothing that is known counts as proof."""

    def knows_of_earlier_era(self):
        tables = map(parse_table_name, self._copy.objects)
        return self.eras.knew_earlier or any(t and t[1] != self.era for t in tables)

    monkeypatch.setattr(Fleet, "has_earlier_era", property(knows_of_earlier_era))
    machine = YoungServiceMachine()
    try:
        machine.lose_all_tables([], AWAY_SECONDS[0], INSTANCES, "e1")
        machine.run(5.0)
        assert machine.sim.violations
    finally:
        machine.close()
