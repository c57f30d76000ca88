"""Choice of owners for units, and rendezvous hashing over instances.

Invariants: a choice depends only on its arguments; units that have a healthy
owner are never touched.
"""

from collections.abc import Iterable, Sequence

import xxhash

from arbutusflow.domain.configuration import Endpoint
from arbutusflow.domain.partitions import OwnershipTable


def rendezvous_score(subject: str, candidate: str) -> int:
    """Return the score of `candidate` for `subject`; the highest one is chosen."""
    return xxhash.xxh3_64_intdigest(f"{subject}\0{candidate}".encode())


def rendezvous(subject: str, candidates: Iterable[str]) -> str | None:
    """Return the candidate with the highest score for `subject`."""
    return max(
        candidates,
        key=lambda name: (rendezvous_score(subject, name), name),
        default=None,
    )


def choose_owners(
    table: OwnershipTable, units: Sequence[int], candidates: Sequence[Endpoint]
) -> dict[int, str]:
    """Return an owner among `candidates` for each of `units`.

    Each unit goes to the candidate with the fewest units per weight so far.
    """
    counts = table.counts()
    load = {item.name: counts.get(item.name, 0) for item in candidates}
    weights = {item.name: item.weight for item in candidates}
    chosen = {}
    for unit in units:
        subject = f"{table.service}/{unit}"
        owner = min(
            load,
            key=lambda name: (
                (load[name] + 1) / weights[name],
                rendezvous_score(subject, name),  # noqa: B023
            ),
        )
        load[owner] += 1
        chosen[unit] = owner
    return chosen
