"""Measurements by name."""

from collections.abc import Callable, Iterator, Sequence

from attrs import field, frozen

from .fit import Fit, Point, fit_line


@frozen(kw_only=True)
class Series:
    """One cost at several sizes."""

    name: str
    """Stable name, by which the roles look the series up."""

    title: str
    size_name: str
    unit: str
    points: tuple[Point, ...]
    fit: Fit = field(init=False)

    @fit.default
    def _fit_points(self) -> Fit:
        return fit_line(self.points)

    def predict(self, size: float) -> float:
        """Return the cost at a size: a measured point, else the fitted line."""
        for point in self.points:
            if point.size == size:
                return point.value
        return self.fit.predict(size)


Measure = Callable[[], Sequence[Series]]

_MEASURES: dict[str, Measure] = {}


def register_measure(name: str) -> Callable[[Measure], Measure]:
    """Register what takes one or more series under a name."""

    def register(measure: Measure) -> Measure:
        _MEASURES[name] = measure
        return measure

    return register


def iterate_measures() -> Iterator[tuple[str, Measure]]:
    """Yield all measurements in the order in which they were registered."""
    yield from _MEASURES.items()
