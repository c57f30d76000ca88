"""Slopes of cost against size: repeated measurements and a straight line.

Processor time and memory are those of the machine that runs the measurement.
"""

import dataclasses
import statistics
import time
import tracemalloc
from collections.abc import Callable, Iterator, Sequence
from typing import Self

import numpy

REPETITIONS = 7
SAMPLE_SECONDS = 0.02  # Far above the resolution of the processor clock.


@dataclasses.dataclass(frozen=True, slots=True)
class Fit:
    """A least-squares line through the medians measured at some sizes.

    `residual` is the root of the mean square deviation from the line over the
    mean value. `unit` is that of the values, `per` that of the sizes.
    """

    name: str
    unit: str
    per: str
    sizes: tuple[int, ...]
    values: tuple[float, ...]
    slope: float
    intercept: float
    residual: float

    @classmethod
    def through(
        cls,
        name: str,
        unit: str,
        per: str,
        sizes: Sequence[int],
        values: Sequence[float],
    ) -> Self:
        """Fit the line."""
        design = numpy.vstack([sizes, numpy.ones(len(sizes))]).T
        slope, intercept = numpy.linalg.lstsq(design, numpy.array(values), rcond=None)[
            0
        ]
        errors = numpy.array(values) - design @ (slope, intercept)
        mean = float(numpy.mean(values))
        residual = float(numpy.sqrt(numpy.mean(errors**2))) / mean if mean else 0.0
        return cls(
            name,
            unit,
            per,
            tuple(sizes),
            tuple(values),
            float(slope),
            float(intercept),
            residual,
        )

    def at(self, size: float) -> float:
        """Return the value that the line gives for `size`."""
        return self.intercept + self.slope * size


def median_seconds(call: Callable[[], object]) -> float:
    """Return the median processor seconds of one call over some repetitions."""
    call()
    started = time.process_time()
    call()
    once = max(time.process_time() - started, 1e-7)
    count = max(1, round(SAMPLE_SECONDS / once))
    samples = []
    for _ in range(REPETITIONS):
        started = time.process_time()
        for _ in range(count):
            call()
        samples.append((time.process_time() - started) / count)
    return statistics.median(samples)


def heap_bytes(make: Callable[[], object]) -> int:
    """Return the heap bytes that the made object keeps."""
    make()  # Caches filled by the first call do not count.
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        made = make()
        after, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    del made
    return after - before


def processor_fit(
    name: str,
    per: str,
    sizes: Sequence[int],
    make: Callable[[int], Callable[[], object]],
) -> Fit:
    """Return the microseconds of the call that `make` prepares for each size."""
    values = [1e6 * median_seconds(make(size)) for size in sizes]
    return Fit.through(name, "us", per, sizes, values)


def memory_fit(
    name: str,
    per: str,
    sizes: Sequence[int],
    make: Callable[[int], Callable[[], object]],
) -> Fit:
    """Return the heap bytes of what the prepared call makes for each size."""
    values = [heap_bytes(make(size)) for size in sizes]
    return Fit.through(name, "B", per, sizes, values)


def size_fit(
    name: str, per: str, sizes: Sequence[int], encode: Callable[[int], bytes]
) -> Fit:
    """Return the encoded bytes for each size."""
    return Fit.through(name, "B", per, sizes, [len(encode(size)) for size in sizes])


def by_name(fits: Iterator[Fit] | Sequence[Fit]) -> dict[str, Fit]:
    """Return the fits by name."""
    return {fit.name: fit for fit in fits}
