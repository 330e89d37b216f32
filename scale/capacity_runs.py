"""Reads the JSON files of scale, virtual and latency runs.

Missing optional keys count as not measured. A file that is not a run raises RunFileError, whose text is one line with
the file's name.
"""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from pathlib import Path

# Options that describe the fleet and its load: runs that differ in one of them are points along that axis. Seed, commit
# and measured seconds describe the measurement and may differ between the runs of a series.
FLEET_OPTIONS = (
    "members",
    "real",
    "voters",
    "services",
    "upstreams",
    "duties",
    "zones",
    "changes_per_second",
    "restarts_per_second",
    "lists",
    "trouble",
    "hollow_per_process",
    "virtual",
)
FIGURES = ("cpu_percent", "rss_mb", "kb_per_second", "messages_per_second")
ROLE_NAMES = {"holder.list": "list_holder"}
NOT_ROLES = {"run", "roles", "totals", "machine", "state", "trouble", "change_in_force_seconds"}

OptionValue = str | float | bool | None


class RunFileError(Exception):
    """A file that cannot be read as a run."""

    def __init__(self, path: Path, why: str):
        super().__init__(f"{path}: {why}")


@dataclass(frozen=True)
class Spread:
    """Summary of a figure over the members of one role."""

    median: float
    greatest: float


@dataclass(frozen=True)
class ChangeTimes:
    """Seconds from a change at discovery until it is in force, over all members."""

    p50: float
    p99: float
    greatest: float
    counted: int
    missing: int | None


@dataclass(frozen=True)
class DisruptionOutcome:
    """Effect of a disruption on a fleet; the peaks are relative to the traffic before it."""

    traffic_peak_over_rest: float | None
    bytes_peak_over_rest: float | None
    seconds_until_agreed: float | None


@dataclass(frozen=True)
class ScaleRun:
    """One run of firtide-scale or of firtide-simulation scale."""

    path: Path
    command: str
    seed: OptionValue
    commit: str
    seconds: float | None
    options: dict[str, OptionValue]
    roles: dict[str, dict[str, Spread]]
    change_times: ChangeTimes | None
    disruption: DisruptionOutcome | None
    other_cpu_cores: float | None

    @property
    def is_virtual(self) -> bool:
        return self.options["virtual"] is True


@dataclass(frozen=True)
class Range:
    """Median and extremes of the differences of several rounds."""

    median: float
    least: float
    greatest: float


@dataclass(frozen=True)
class AddedLatency:
    """Latency that balancers add to a call, in milliseconds."""

    calls_per_second: float
    balancers: int
    direct_p50: float
    direct_p99: float
    added_p50: Range
    added_p99: Range
    answered: int
    failed: int


@dataclass(frozen=True)
class LatencyRun:
    """One run that compared calls through balancers with direct calls."""

    path: Path
    command: str
    seed: OptionValue
    commit: str
    load_before: str
    rates: tuple[AddedLatency, ...] = field(default=())
    chains: tuple[AddedLatency, ...] = field(default=())


def read_scale_run(path: Path) -> ScaleRun:
    record = _read_record(path)
    try:
        return _decode_scale_run(path, record)
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        raise RunFileError(path, f"is not a scale run: {_one_line(error)}") from error


def read_latency_run(path: Path) -> LatencyRun:
    record = _read_record(path)
    try:
        return _decode_latency_run(path, record)
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        raise RunFileError(path, f"is not a latency run: {_one_line(error)}") from error


def _read_record(path: Path) -> dict:
    try:
        record = json.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise RunFileError(path, f"cannot be read as JSON: {_one_line(error)}") from error
    if not isinstance(record, dict) or not isinstance(record.get("run"), dict):
        raise RunFileError(path, "missing object 'run'")
    return record


def _one_line(error: Exception) -> str:
    return f"{type(error).__name__}: {error}".replace("\n", " ")


def _decode_scale_run(path: Path, record: dict) -> ScaleRun:
    options = _decode_options(record["run"])
    machine = record.get("machine") or {}
    return ScaleRun(
        path=path,
        command=record["run"].get("command", ""),
        seed=options.get("seed"),
        commit=str(options.get("commit") or ""),
        seconds=options.get("seconds"),
        options={name: options.get(name) for name in FLEET_OPTIONS},
        roles=_decode_roles(record),
        change_times=_decode_change_times(record),
        disruption=_decode_disruption(record.get("trouble")),
        other_cpu_cores=machine.get("other_cpu_cores"),
    )


def _decode_options(run: dict) -> dict[str, OptionValue]:
    """Decodes options that are stored as command-line text or as JSON values."""
    merged = {**run, **(run.get("options") or {})}
    options = {name.replace("-", "_"): _parse_value(value) for name, value in merged.items()}
    options["virtual"] = options.get("virtual") is True
    if "deltas" in options:
        options.setdefault("lists", "deltas" if options["deltas"] else "whole")
    options.setdefault("lists", "whole")
    options.setdefault("trouble", "none")
    options.setdefault("restarts_per_second", 0.0)
    if not isinstance(options.get("members"), float):
        raise ValueError("run.members is not a number")
    return options


def _parse_value(value: object) -> OptionValue:
    if isinstance(value, bool) or value is None:
        return value
    if isinstance(value, (int, float)):
        return float(value)
    try:
        return float(str(value))
    except ValueError:
        return str(value)


def _decode_roles(record: dict) -> dict[str, dict[str, Spread]]:
    by_name = record.get("roles")
    if by_name is None:
        by_name = {name: value for name, value in record.items() if name not in NOT_ROLES}
    roles = {}
    for name, figures in by_name.items():
        if not isinstance(figures, dict) or figures.get("members") == 0:
            continue
        decoded = {figure: _decode_spread(figures[figure]) for figure in FIGURES if figure in figures}
        if decoded:
            roles[ROLE_NAMES.get(name, name)] = decoded
    return roles


def _decode_spread(spread: dict) -> Spread:
    return Spread(float(spread["median"]), float(spread["greatest"]))


def _decode_change_times(record: dict) -> ChangeTimes | None:
    times = record.get("change_in_force_seconds")
    if not times or not times.get("counted"):
        return None
    return ChangeTimes(
        p50=float(times["p50"]),
        p99=float(times["p99"]),
        greatest=float(times["max"]),
        counted=int(times["counted"]),
        missing=record.get("changes_missing"),
    )


def _decode_disruption(outcome: dict | None) -> DisruptionOutcome | None:
    if not isinstance(outcome, dict):
        return None
    return DisruptionOutcome(
        outcome.get("traffic_peak_over_rest"),
        outcome.get("bytes_peak_over_rest"),
        outcome.get("seconds_until_agreed"),
    )


def _decode_latency_run(path: Path, record: dict) -> LatencyRun:
    run = record["run"]
    chains = record.get("chain") or []
    if isinstance(chains, dict):
        chains = [chains]
    return LatencyRun(
        path=path,
        command=run.get("command", ""),
        seed=_parse_value(run.get("seed")),
        commit=str(run.get("commit") or ""),
        load_before=str(run.get("load_average_before") or ""),
        rates=tuple(_decode_added_latency(one) for one in record.get("rates") or []),
        chains=tuple(_decode_added_latency(one) for one in chains),
    )


def _decode_added_latency(record: dict) -> AddedLatency:
    return AddedLatency(
        calls_per_second=float(record["calls_per_second"]),
        balancers=int(record.get("balancers", 1)),
        direct_p50=float(record["direct_ms"]["p50"]),
        direct_p99=float(record["direct_ms"]["p99"]),
        added_p50=_decode_range(record["added_ms"]["p50"]),
        added_p99=_decode_range(record["added_ms"]["p99"]),
        answered=int(record.get("answered", 0)),
        failed=int(record.get("failed", 0)),
    )


def _decode_range(spread: dict) -> Range:
    return Range(float(spread["median"]), float(spread["min"]), float(spread["max"]))
