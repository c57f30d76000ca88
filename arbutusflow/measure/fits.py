"""Linear fits of cost against size.

Processor time depends on the host, heap memory on the Python build.
"""

import dataclasses
import statistics
import time
import tracemalloc
from collections.abc import Callable, Iterator, Sequence
from typing import Self

import numpy

REPETITIONS = 7
SAMPLE_SECONDS = 0.02  # Much longer than the resolution of the processor clock.


@dataclasses.dataclass(frozen=True, slots=True)
class Fit:
    """A least-squares line through the values measured at several sizes.

    `residual` is the root-mean-square deviation from the line, divided by the mean
    value. `unit` is the unit of the values, `per` that of the sizes.
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
        """Fit a line to `values` at `sizes`."""
        design_matrix = numpy.vstack([sizes, numpy.ones(len(sizes))]).T
        slope, intercept = numpy.linalg.lstsq(
            design_matrix, numpy.array(values), rcond=None
        )[0]
        deviations = numpy.array(values) - design_matrix @ (slope, intercept)
        mean = float(numpy.mean(values))
        residual = float(numpy.sqrt(numpy.mean(deviations**2))) / mean if mean else 0.0
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
        """Return the value of the line at `size`."""
        return self.intercept + self.slope * size


def median_seconds(call: Callable[[], object]) -> float:
    """Return the processor seconds of one call, the median of `REPETITIONS` samples."""
    call()
    started = time.process_time()
    call()
    seconds_per_call = max(time.process_time() - started, 1e-7)
    calls_per_sample = max(1, round(SAMPLE_SECONDS / seconds_per_call))
    samples = []
    for _ in range(REPETITIONS):
        started = time.process_time()
        for _ in range(calls_per_sample):
            call()
        samples.append((time.process_time() - started) / calls_per_sample)
    return statistics.median(samples)


def heap_bytes(make: Callable[[], object]) -> int:
    """Return the heap bytes that the object returned by `make` occupies."""
    make()  # Fill caches, which are not counted.
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
    """Fit processor time in microseconds; `make(size)` returns the function to time."""
    values = [1e6 * median_seconds(make(size)) for size in sizes]
    return Fit.through(name, "us", per, sizes, values)


def memory_fit(
    name: str,
    per: str,
    sizes: Sequence[int],
    make: Callable[[int], Callable[[], object]],
) -> Fit:
    """Fit heap bytes; `make(size)` returns the function that creates the object."""
    values = [heap_bytes(make(size)) for size in sizes]
    return Fit.through(name, "B", per, sizes, values)


def size_fit(
    name: str, per: str, sizes: Sequence[int], encode: Callable[[int], bytes]
) -> Fit:
    """Fit the length of the encoded bytes for each size."""
    return Fit.through(name, "B", per, sizes, [len(encode(size)) for size in sizes])


def by_name(fits: Iterator[Fit] | Sequence[Fit]) -> dict[str, Fit]:
    """Return the fits by name; of those with the same name, the last one."""
    return {fit.name: fit for fit in fits}
