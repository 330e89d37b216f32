"""Puts runs together to series along an axis, and extrapolates them to the planned fleet."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass

from capacity_fit import Fit, Point, Verdict, fit_line
from capacity_runs import FLEET_OPTIONS, OptionValue, ScaleRun

# A service for so many upstreams, where a run derives one from the other.
UPSTREAMS_PER_SERVICE = 18
SECONDS_A_DAY = 86_400


@dataclass(frozen=True)
class Axis:
    """An option that differs between the runs of a series, and those that grow with it."""

    name: str
    option: str
    target: float | None  # None: not planned for, so that it stays as in the runs
    growing: tuple[str, ...] = ()

    @property
    def varied(self) -> tuple[str, ...]:
        return (self.option, *self.growing)


FLEET_AXIS = Axis("fleet (members, as many upstreams, a service for 18)", "members", 37_000, ("upstreams", "services"))
AXES = {
    "fleet": FLEET_AXIS,
    "members": Axis("members", "members", 37_000),
    "services": Axis("services", "services", 2_000),
    "upstreams": Axis("upstreams", "upstreams", 37_000),
    "changes": Axis("changes a second", "changes_per_second", 110_000 / SECONDS_A_DAY),
    "duties": Axis("duties", "duties", None),
    "zones": Axis("zones", "zones", 10),
    "restarts": Axis("restarts a second", "restarts_per_second", 2_200 / SECONDS_A_DAY),
}


@dataclass(frozen=True)
class Measure:
    """One figure of one role."""

    role: str
    figure: str
    statistic: str  # a Spread's


@dataclass(frozen=True)
class Series:
    """Runs that are equal but for one axis, by it."""

    axis: Axis
    runs: tuple[ScaleRun, ...]

    def option(self, name: str) -> OptionValue:
        """Of one that is the same in all runs."""
        return self.runs[0].options[name]

    def place(self, run: ScaleRun) -> float:
        return float(run.options[self.axis.option])

    def points(self, measure: Measure) -> list[Point]:
        points = []
        for run in self.runs:
            spread = run.roles.get(measure.role, {}).get(measure.figure)
            if spread is not None:
                points.append(Point(self.place(run), getattr(spread, measure.statistic)))
        return points

    def fit(self, measure: Measure) -> Fit | None:
        """None where there are too few points."""
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
    """All series along the axis with at least two sizes."""
    groups = defaultdict(list)
    for run in runs:
        if run.options.get(axis.option) is None or not _grows_along(run, axis):
            continue
        same = tuple(str(run.options[name]) for name in FLEET_OPTIONS if name not in axis.varied)
        groups[same].append(run)
    series = [Series(axis, tuple(sorted(group, key=lambda run: run.options[axis.option]))) for group in groups.values()]
    return [one for one in series if len({one.place(run) for run in one.runs}) >= 2]


def _grows_along(run: ScaleRun, axis: Axis) -> bool:
    if not axis.growing:
        return True
    upstreams, services = run.options["upstreams"], run.options["services"]
    if upstreams != run.options["members"]:
        return False
    return services is None or services == max(1.0, upstreams // UPSTREAMS_PER_SERVICE)


@dataclass(frozen=True)
class Step:
    """The part of a figure at the target that one axis brings."""

    axis: Axis
    factor: float  # target over the largest measured size
    series: Series


@dataclass(frozen=True)
class Extrapolation:
    """A figure at the planned fleet."""

    measure: Measure
    steps: tuple[Step, ...]  # the first is the line itself, the others are added to it
    value: float | None  # None: the points show no line
    standard_error: float | None
    exponent: float | None  # of points that show no line
    verdict: Verdict
    unlike_target: dict[str, OptionValue]  # options of the runs that differ from the plan and were not followed

    @property
    def source(self) -> ScaleRun:
        """The largest run of the line."""
        return self.steps[0].series.runs[-1]


def extrapolate(all_series: dict[str, list[Series]], base: Series, measure: Measure) -> Extrapolation | None:
    """Along the base series' axis to its target; then the slopes of other axes are added for what is left."""
    fit = base.fit(measure)
    if fit is None or base.axis.target is None:
        return None
    steps = [Step(base.axis, base.axis.target / fit.greatest_x(), base)]
    usable = fit.verdict is not Verdict.NOT_LINEAR
    value = fit.at(base.axis.target)
    unlike = {}
    for axis in AXES.values():
        if axis.growing or axis.target is None or axis.option in base.axis.varied:
            continue
        size = base.option(axis.option)
        if size is None or size == axis.target:
            continue
        series = _best_series(all_series, axis, base, measure)
        slope_fit = series.fit(measure) if series else None
        if slope_fit is None or slope_fit.verdict is Verdict.NOT_LINEAR:
            unlike[axis.option] = size
            continue
        value += slope_fit.slope * (axis.target - size)
        steps.append(Step(axis, axis.target / slope_fit.greatest_x(), series))
    return Extrapolation(
        measure=measure,
        steps=tuple(steps),
        value=value if usable else None,
        standard_error=fit.standard_error_at(base.axis.target),
        exponent=fit.power_law.exponent if fit.power_law and not usable else None,
        verdict=fit.verdict,
        unlike_target=unlike,
    )


def _best_series(
    all_series: dict[str, list[Series]], axis: Axis, base: Series, measure: Measure
) -> Series | None:
    """The one most like the base, with the same mechanism for lists, both of real processes or both virtual."""
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
    compared = [name for name in FLEET_OPTIONS if name not in (*base.axis.varied, *axis.varied)]
    return max(
        alike, key=lambda series: (sum(series.option(name) == base.option(name) for name in compared), len(series.runs))
    )


def _key_of(axis: Axis) -> str:
    return next(key for key, value in AXES.items() if value == axis)


def base_series(all_series: dict[str, list[Series]]) -> list[Series]:
    """For each mechanism for lists, of real processes and virtual: the series whose runs come nearest the plan."""
    best: dict[tuple, Series] = {}
    for series in all_series.get("fleet", []) + all_series.get("members", []):
        if series.option("trouble") != "none":
            continue
        key = (str(series.option("lists")), bool(series.option("virtual")))
        if key not in best or _nearness(series) > _nearness(best[key]):
            best[key] = series
    return [best[key] for key in sorted(best)]


def _nearness(series: Series) -> tuple[bool, int, float]:
    """Three sizes check a line; then runs that grow in all that is planned count, then the largest size."""
    sizes = {series.place(run) for run in series.runs}
    return len(sizes) >= 3, len(series.axis.varied), max(sizes)
