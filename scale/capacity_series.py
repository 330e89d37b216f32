"""Groups runs into series along an axis and extrapolates the series to the planned fleet."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass

from capacity_fit import Fit, Point, Verdict, fit_line
from capacity_runs import FLEET_OPTIONS, OptionValue, ScaleRun

# Upstreams per service in runs that derive their number of services from their upstreams.
UPSTREAMS_PER_SERVICE = 18
SECONDS_PER_DAY = 86_400


@dataclass(frozen=True)
class Axis:
    """The option that differs between the runs of a series, and the options that are scaled along with it."""

    name: str
    option: str
    target: float | None  # None: the plan gives no value, so it stays as in the runs
    scaled_options: tuple[str, ...] = ()

    @property
    def varied_options(self) -> tuple[str, ...]:
        return (self.option, *self.scaled_options)


FLEET_AXIS = Axis("fleet (members, as many upstreams, a service for 18)", "members", 37_000, ("upstreams", "services"))
AXES = {
    "fleet": FLEET_AXIS,
    "members": Axis("members", "members", 37_000),
    "services": Axis("services", "services", 2_000),
    "upstreams": Axis("upstreams", "upstreams", 37_000),
    "changes": Axis("changes a second", "changes_per_second", 110_000 / SECONDS_PER_DAY),
    "duties": Axis("duties", "duties", None),
    "zones": Axis("zones", "zones", 10),
    "restarts": Axis("restarts a second", "restarts_per_second", 2_200 / SECONDS_PER_DAY),
}


@dataclass(frozen=True)
class Measure:
    """A statistic of one figure of one role."""

    role: str
    figure: str
    statistic: str  # a field of Spread


@dataclass(frozen=True)
class Series:
    """Runs that differ only along one axis, in the order of that axis."""

    axis: Axis
    runs: tuple[ScaleRun, ...]

    def option(self, name: str) -> OptionValue:
        """Value of an option that all runs of the series share."""
        return self.runs[0].options[name]

    def position(self, run: ScaleRun) -> float:
        return float(run.options[self.axis.option])

    def points(self, measure: Measure) -> list[Point]:
        points = []
        for run in self.runs:
            spread = run.roles.get(measure.role, {}).get(measure.figure)
            if spread is not None:
                points.append(Point(self.position(run), getattr(spread, measure.statistic)))
        return points

    def fit(self, measure: Measure) -> Fit | None:
        """Returns None for fewer than two sizes."""
        points = self.points(measure)
        if len({point.x for point in points}) < 2:
            return None
        return fit_line(points)

    def measures(self) -> list[Measure]:
        found = {
            (role, figure): spread
            for run in self.runs
            for role, figures in run.roles.items()
            for figure, spread in figures.items()
        }
        return [Measure(role, figure, statistic) for role, figure in found for statistic in ("median", "greatest")]


def find_series(runs: list[ScaleRun], axis: Axis) -> list[Series]:
    """Finds all series along the axis with at least two sizes."""
    groups = defaultdict(list)
    for run in runs:
        if run.options.get(axis.option) is None or not _scales_along(run, axis):
            continue
        key = tuple(str(run.options[name]) for name in FLEET_OPTIONS if name not in axis.varied_options)
        groups[key].append(run)
    series = [Series(axis, tuple(sorted(group, key=lambda run: run.options[axis.option]))) for group in groups.values()]
    return [item for item in series if len({item.position(run) for run in item.runs}) >= 2]


def _scales_along(run: ScaleRun, axis: Axis) -> bool:
    if not axis.scaled_options:
        return True
    upstreams, services = run.options["upstreams"], run.options["services"]
    if upstreams != run.options["members"]:
        return False
    return services is None or services == max(1.0, upstreams // UPSTREAMS_PER_SERVICE)


@dataclass(frozen=True)
class Step:
    """Contribution of one axis to the value at the target."""

    axis: Axis
    factor: float  # target over the largest measured size
    series: Series


@dataclass(frozen=True)
class Extrapolation:
    """A measure extrapolated to the planned fleet."""

    measure: Measure
    steps: tuple[Step, ...]  # the first is the base line; the others add their slopes
    value: float | None  # None: the points are not linear
    standard_error: float | None
    exponent: float | None  # of the power law, if the points are not linear
    verdict: Verdict
    unmatched_options: dict[str, OptionValue]  # differ from the plan and are not extrapolated

    @property
    def source(self) -> ScaleRun:
        """The largest run of the base line."""
        return self.steps[0].series.runs[-1]


def extrapolate(all_series: dict[str, list[Series]], base: Series, measure: Measure) -> Extrapolation | None:
    """Extrapolates along the base series' axis, then adds the slopes of the other axes that are off their targets."""
    fit = base.fit(measure)
    if fit is None or base.axis.target is None:
        return None
    steps = [Step(base.axis, base.axis.target / fit.max_x(), base)]
    usable = fit.verdict is not Verdict.NOT_LINEAR
    value = fit.at(base.axis.target)
    unmatched = {}
    for axis in AXES.values():
        if axis.scaled_options or axis.target is None or axis.option in base.axis.varied_options:
            continue
        size = base.option(axis.option)
        if size is None or size == axis.target:
            continue
        series = _best_series(all_series, axis, base, measure)
        slope_fit = series.fit(measure) if series else None
        if slope_fit is None or slope_fit.verdict is Verdict.NOT_LINEAR:
            unmatched[axis.option] = size
            continue
        value += slope_fit.slope * (axis.target - size)
        steps.append(Step(axis, axis.target / slope_fit.max_x(), series))
    return Extrapolation(
        measure=measure,
        steps=tuple(steps),
        value=value if usable else None,
        standard_error=fit.standard_error_at(base.axis.target),
        exponent=fit.power_law.exponent if fit.power_law and not usable else None,
        verdict=fit.verdict,
        unmatched_options=unmatched,
    )


def _best_series(
    all_series: dict[str, list[Series]], axis: Axis, base: Series, measure: Measure
) -> Series | None:
    """Finds the series most similar to the base, with the same list mechanism, trouble and virtual flag."""
    alike = [
        series
        for series in all_series.get(_key_of(axis), [])
        if series.option("lists") == base.option("lists")
        and series.option("virtual") == base.option("virtual")
        and series.option("trouble") == base.option("trouble")
        and series.fit(measure) is not None
    ]
    if not alike:
        return None
    compared = [name for name in FLEET_OPTIONS if name not in (*base.axis.varied_options, *axis.varied_options)]
    return max(
        alike, key=lambda series: (sum(series.option(name) == base.option(name) for name in compared), len(series.runs))
    )


def _key_of(axis: Axis) -> str:
    return next(key for key, value in AXES.items() if value == axis)


def base_series(all_series: dict[str, list[Series]]) -> list[Series]:
    """For each list mechanism, real and virtual: the series whose runs come closest to the planned fleet."""
    best: dict[tuple, Series] = {}
    for series in all_series.get("fleet", []) + all_series.get("members", []):
        if series.option("trouble") != "none":
            continue
        key = (str(series.option("lists")), bool(series.option("virtual")))
        if key not in best or _closeness_to_plan(series) > _closeness_to_plan(best[key]):
            best[key] = series
    return [best[key] for key in sorted(best)]


def _closeness_to_plan(series: Series) -> tuple[bool, int, float]:
    """Ranks by at least three sizes, which check a line, then by the number of scaled options, then by size."""
    sizes = {series.position(run) for run in series.runs}
    return len(sizes) >= 3, len(series.axis.varied_options), max(sizes)
