"""An endpoint crashes and starts again at once under its old identifier."""

import asyncio
import pathlib
import sys

import ownership
import stand_ins as s

CRASHES = 3
DOWN_SECONDS = 1.0
REGISTER_SECONDS = 0.1  # From its start to the write of its entry.


async def case(world: s.World) -> int:
    """Run the case."""
    audit = await ownership.start_world(world)
    if audit is None:
        return 2
    for _ in range(CRASHES):
        owner = ownership.owner_of_hot_key(world)
        if owner is None:
            return 2
        if s.trouble():
            owner.crash()
            await asyncio.sleep(DOWN_SECONDS)
            await owner.start(register_after=REGISTER_SECONDS)
        await asyncio.sleep(10)
    return ownership.result(world, audit)


if __name__ == "__main__":
    sys.exit(s.run_case(pathlib.Path(__file__).resolve().parent, case))
