"""Fits least-squares lines to measured points and checks whether the points are linear.

A figure is extrapolated only if its line fits the points. It does not fit if one point lies too far off the line,
or if a power law with an exponent that is not about 1 fits clearly better.
"""

from __future__ import annotations

import enum
import math
from dataclasses import dataclass

# Largest residual that a line may have, as a share of the range of the values.
MAX_RESIDUAL_SHARE = 0.15
# Values whose range is at most this share of their mean are taken as constant along the axis.
FLAT_RANGE_SHARE = 0.05
# Log-log exponents in this range count as about 1.
MIN_LINEAR_EXPONENT = 0.8
MAX_LINEAR_EXPONENT = 1.25
# A power law fits clearly better if its squared error is at most this share of the line's and the line's largest
# residual exceeds NOISE_RESIDUAL_SHARE.
POWER_LAW_ERROR_SHARE = 0.5
# Residuals up to this share of the range of the values count as noise.
NOISE_RESIDUAL_SHARE = 0.03


class Verdict(enum.Enum):
    """Whether a line describes a series of points."""

    LINEAR = "linear"
    FLAT = "flat"
    NOT_LINEAR = "not linear"
    UNCHECKED = "two sizes only, not checked"


@dataclass(frozen=True)
class Point:
    """A measured value y at the size x."""

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
    """A fitted line; residuals are in the order of the points."""

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
        """Standard error of the line's value at x; None for fewer than three points."""
        count = len(self.points)
        if count < 3:
            return None
        mean = sum(point.x for point in self.points) / count
        spread = sum((point.x - mean) ** 2 for point in self.points)
        variance = sum(residual**2 for residual in self.residuals) / (count - 2)
        return math.sqrt(variance * (1 / count + (x - mean) ** 2 / spread))

    def largest_residual_share(self) -> float:
        """Largest residual as a share of the range of the values."""
        return _largest_residual_share([point.y for point in self.points], self.residuals)

    def max_x(self) -> float:
        return max(point.x for point in self.points)


def fit_line(points: list[Point]) -> Fit:
    """Fits a least-squares line; raises ValueError for fewer than two different x."""
    if len({point.x for point in points}) < 2:
        raise ValueError("a line needs points at two different x")
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
    """Returns intercept and slope."""
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
    """Returns None if a coordinate is not positive, as its logarithm is undefined."""
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
    if share > MAX_RESIDUAL_SHARE:
        return Verdict.NOT_LINEAR
    if share > NOISE_RESIDUAL_SHARE and _is_power_law(points, residuals, power_law):
        return Verdict.NOT_LINEAR
    return Verdict.LINEAR


def _is_power_law(points: list[Point], residuals: tuple[float, ...], power_law: PowerLaw | None) -> bool:
    """Whether a power law with an exponent that is not about 1 fits the points clearly better than a line.

    The exponent alone is not enough: a line with a large intercept has a log-log exponent far below 1.
    """
    if power_law is None:
        return False
    if MIN_LINEAR_EXPONENT <= power_law.exponent <= MAX_LINEAR_EXPONENT:
        return False
    line_error = sum(residual**2 for residual in residuals)
    power_error = sum((point.y - power_law.at(point.x)) ** 2 for point in points)
    return power_error <= POWER_LAW_ERROR_SHARE * line_error
