"""Least-squares lines through measured points, and whether a line is what they show.

A figure is extrapolated by its line only where the line describes the points. It does not where one point lies
too far off it, or where a power law whose exponent is not about 1 describes them clearly better.
"""

from __future__ import annotations

import enum
import math
from dataclasses import dataclass

# The largest residual of a line, as a share of the range of the values.
GREATEST_RESIDUAL_SHARE = 0.15
# Values whose range is at most this share of their mean do not change with the axis.
FLAT_RANGE_SHARE = 0.05
# Log-log exponents within these are about 1.
LEAST_LINEAR_EXPONENT = 0.8
GREATEST_LINEAR_EXPONENT = 1.25
# A power law describes the points clearly better where its squared error is at most this share of the line's,
POWER_LAW_ERROR_SHARE = 0.5
# and the line's largest residual is more than noise: this share of the range.
NOISE_RESIDUAL_SHARE = 0.03


class Verdict(enum.Enum):
    """What a series of points shows."""

    LINEAR = "linear"
    FLAT = "flat"
    NOT_LINEAR = "not linear"
    UNCHECKED = "two sizes only, not checked"


@dataclass(frozen=True)
class Point:
    """One measured value."""

    x: float
    y: float


@dataclass(frozen=True)
class PowerLaw:
    """y = factor * x ** exponent."""

    factor: float
    exponent: float

    def at(self, x: float) -> float:
        return self.factor * x**self.exponent


@dataclass(frozen=True)
class Fit:
    """A line through points, in their order."""

    points: tuple[Point, ...]
    intercept: float
    slope: float
    residuals: tuple[float, ...]
    r_squared: float
    verdict: Verdict
    power_law: PowerLaw | None

    def at(self, x: float) -> float:
        return self.intercept + self.slope * x

    def standard_error_at(self, x: float) -> float | None:
        """Of the line's value at x; None where there are too few points to tell."""
        count = len(self.points)
        if count < 3:
            return None
        mean = sum(point.x for point in self.points) / count
        spread = sum((point.x - mean) ** 2 for point in self.points)
        variance = sum(residual**2 for residual in self.residuals) / (count - 2)
        return math.sqrt(variance * (1 / count + (x - mean) ** 2 / spread))

    def largest_residual_share(self) -> float:
        """The largest residual, as a share of the range of the values."""
        return _largest_residual_share([point.y for point in self.points], self.residuals)

    def greatest_x(self) -> float:
        return max(point.x for point in self.points)


def fit_line(points: list[Point]) -> Fit:
    """The least-squares line; ValueError where the points have fewer than two different x."""
    if len({point.x for point in points}) < 2:
        raise ValueError("a line needs points at two different places")
    intercept, slope = _least_squares([(point.x, point.y) for point in points])
    residuals = tuple(point.y - intercept - slope * point.x for point in points)
    power_law = _fit_power_law(points)
    return Fit(
        points=tuple(points),
        intercept=intercept,
        slope=slope,
        residuals=residuals,
        r_squared=_r_squared(points, residuals),
        verdict=_verdict(points, residuals, power_law),
        power_law=power_law,
    )


def _least_squares(pairs: list[tuple[float, float]]) -> tuple[float, float]:
    """Intercept and slope."""
    count = len(pairs)
    mean_x = sum(x for x, _ in pairs) / count
    mean_y = sum(y for _, y in pairs) / count
    spread = sum((x - mean_x) ** 2 for x, _ in pairs)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in pairs) / spread
    return mean_y - slope * mean_x, slope


def _r_squared(points: list[Point], residuals: tuple[float, ...]) -> float:
    mean = sum(point.y for point in points) / len(points)
    total = sum((point.y - mean) ** 2 for point in points)
    if total == 0:
        return 1.0
    return 1 - sum(residual**2 for residual in residuals) / total


def _fit_power_law(points: list[Point]) -> PowerLaw | None:
    """None where a value is not positive."""
    if any(point.x <= 0 or point.y <= 0 for point in points):
        return None
    logarithms = [(math.log(point.x), math.log(point.y)) for point in points]
    intercept, exponent = _least_squares(logarithms)
    return PowerLaw(math.exp(intercept), exponent)


def _largest_residual_share(values: list[float], residuals: tuple[float, ...]) -> float:
    value_range = max(values) - min(values)
    if value_range == 0:
        return 0.0
    return max(abs(residual) for residual in residuals) / value_range


def _verdict(points: list[Point], residuals: tuple[float, ...], power_law: PowerLaw | None) -> Verdict:
    values = [point.y for point in points]
    if len({point.x for point in points}) < 3:
        return Verdict.UNCHECKED
    mean = sum(values) / len(values)
    if max(values) - min(values) <= FLAT_RANGE_SHARE * abs(mean):
        return Verdict.FLAT
    share = _largest_residual_share(values, residuals)
    if share > GREATEST_RESIDUAL_SHARE:
        return Verdict.NOT_LINEAR
    if share > NOISE_RESIDUAL_SHARE and _is_power_law(points, residuals, power_law):
        return Verdict.NOT_LINEAR
    return Verdict.LINEAR


def _is_power_law(points: list[Point], residuals: tuple[float, ...], power_law: PowerLaw | None) -> bool:
    """Whether an exponent that is not about 1 describes the points clearly better than a line does.

    The exponent alone would not tell: a line with a large intercept has a log-log exponent far below 1.
    """
    if power_law is None:
        return False
    if LEAST_LINEAR_EXPONENT <= power_law.exponent <= GREATEST_LINEAR_EXPONENT:
        return False
    line_error = sum(residual**2 for residual in residuals)
    power_error = sum((point.y - power_law.at(point.x)) ** 2 for point in points)
    return power_error <= POWER_LAW_ERROR_SHARE * line_error
