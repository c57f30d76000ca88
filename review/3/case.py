"""The last write of a crashed endpoint is carried out in its new life."""

import asyncio
import pathlib
import sys

import ownership
import stand_ins as s

CRASHES = 3
DOWN_SECONDS = 1.0
# From the last write of the old life to its execution; at most 6 s.
LATE_SECONDS = 5.8
# Review case 1 shows that the restart alone can have two holders, for up to 4 s. Here
# only what begins later is judged.
UNJUDGED_SECONDS = 5.7


async def case(world: s.World) -> int:
    """Run the case."""
    audit = await ownership.start_world(world)
    if audit is None:
        return 2
    for _ in range(CRASHES):
        owner = ownership.owner_of_hot_key(world)
        if owner is None:
            return 2
        audit.judges = False
        last_write = owner.entry()
        owner.crash()
        await asyncio.sleep(DOWN_SECONDS)
        await owner.start()
        await asyncio.sleep(UNJUDGED_SECONDS - DOWN_SECONDS)
        audit.judges = True
        await asyncio.sleep(LATE_SECONDS - UNJUDGED_SECONDS)
        if s.trouble():
            world.store.put("servers", owner.name, last_write)
            world.record.write(f"the last write of {owner.name}'s old life is done")
        await asyncio.sleep(8)
    return ownership.result(world, audit)


if __name__ == "__main__":
    sys.exit(s.run_case(pathlib.Path(__file__).resolve().parent, case))
