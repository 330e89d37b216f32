#!/usr/bin/env python3
"""Generates the tables of docs/CAPACITY.md from the JSON files of runs.

    python3 scale/capacity.py [--folder docs/capacity] [--page docs/CAPACITY.md]

The text between `<!-- table NAME -->` and `<!-- end -->` is replaced by the table of that name. Exits with 0, or with 2
and one line on standard error if a run file or the page cannot be read or names an unknown table.
"""

from __future__ import annotations

import argparse
import re
import sys
from dataclasses import dataclass
from pathlib import Path

from capacity_fit import Fit, Point, Verdict, fit_line
from capacity_runs import (
    AddedLatency,
    LatencyRun,
    RunFileError,
    ScaleRun,
    read_latency_run,
    read_scale_run,
)
from capacity_series import AXES, Extrapolation, Series, base_series, extrapolate, find_series

EXIT_INVALID_INPUT = 2
LATENCY_PREFIX = "latency-"
TABLE_PATTERN = re.compile(r"(<!-- table (?P<name>[\w-]+) -->\n).*?(<!-- end -->)", re.DOTALL)
NO_RUNS_TEXT = "No run yet."
FIGURE_TITLES = {
    "cpu_percent": "% of a core",
    "rss_mb": "MB resident",
    "kb_per_second": "KB/s",
    "messages_per_second": "messages/s",
}
# Resources that a balancer may spend on the control plane, by figure.
BALANCER_BUDGET = {"cpu_percent": 2.0, "rss_mb": 64.0, "kb_per_second": 21.0}
# A process runs one event loop, so a control role on a machine reserved for control can use one core.
CONTROL_BUDGET = {"cpu_percent": 100.0}
CONTROL_ROLES = ("leader", "voter", "list_holder")
HIDDEN_ROLES = ("hollow",)  # in runs with real members, hollow members only bring the fleet to its size
ADDED_LATENCY_BUDGET_MS = 0.43
CHANGE_BUDGET_SECONDS = 12.0


class PageError(Exception):
    """The page cannot be read or names an unknown table."""


@dataclass(frozen=True)
class Runs:
    """All runs found in the folder."""

    scale: list[ScaleRun]
    latency: list[LatencyRun]

    def series(self) -> dict[str, list[Series]]:
        return {key: find_series(self.scale, axis) for key, axis in AXES.items()}


def read_runs(folder: Path) -> Runs:
    measured = sorted((folder / "runs").glob("*.json"))
    virtual = sorted((folder / "virtual").glob("*.json"))
    latency = [path for path in measured if path.name.startswith(LATENCY_PREFIX)]
    scale = [path for path in measured if path not in latency]
    return Runs([read_scale_run(path) for path in scale + virtual], [read_latency_run(path) for path in latency])


def format_number(value: float | None) -> str:
    """Formats a value with three significant digits and no exponent, or a dash for None."""
    if value is None:
        return "—"
    if abs(value) >= 1000:
        return f"{value:,.0f}"
    text = f"{value:.3g}"
    return f"{value:.6f}".rstrip("0").rstrip(".") if "e" in text else text


def format_signed(value: float) -> str:
    text = format_number(abs(value))
    return text if text == "0" else f"{'-' if value < 0 else '+'}{text}"


def compare_to_budget(value: float | None, budget: float | None) -> str:
    if value is None or budget is None:
        return ""
    return f"{'over' if value > budget else 'under'} {format_number(budget)}"


def markdown_table(headers: list[str], rows: list[list[str]]) -> str:
    if not rows:
        return NO_RUNS_TEXT + "\n"
    lines = [headers, ["---"] * len(headers), *rows]
    return "".join("| " + " | ".join(cells) + " |\n" for cells in lines)


def run_label(run: ScaleRun | LatencyRun) -> str:
    return f"`{run.path.parent.name}/{run.path.name}`"


def format_seed(run: ScaleRun | LatencyRun) -> str:
    return format_number(run.seed) if isinstance(run.seed, float) else str(run.seed or "—")


# Tables with a row per run.


def runs_table(runs: Runs) -> str:
    rows = []
    for run in runs.scale:
        other = f"{format_number(run.other_cpu_cores)} cores" if run.other_cpu_cores is not None else "—"
        if run.is_virtual:
            other = "virtual time"
        seconds = format_number(run.seconds)
        rows.append([run_label(run), f"`{run.command}`", format_seed(run), run.commit or "—", seconds, other])
    for run in runs.latency:
        load = run.load_before.split(" ")[0]
        rows.append([run_label(run), f"`{run.command}`", format_seed(run), run.commit or "—", "—", f"load {load or '—'}"])
    return markdown_table(["run", "command", "seed", "commit", "seconds", "other programs meanwhile"], rows)


def changes_table(runs: Runs) -> str:
    rows = []
    for run in runs.scale:
        times = run.change_times
        if times is None:
            continue
        rows.append(
            [
                run_label(run),
                format_number(run.options["members"]),
                format_number(run.options["upstreams"]),
                str(run.options["lists"]),
                str(run.options["trouble"]),
                format_number(times.p50),
                format_number(times.p99),
                format_number(times.greatest),
                format_number(times.missing),
                compare_to_budget(times.greatest, CHANGE_BUDGET_SECONDS),
            ]
        )
    headers = ["run", "members", "upstreams", "lists", "trouble", "p50 s", "p99 s", "greatest s", "missing", "budget s"]
    return markdown_table(headers, rows)


def disruptions_table(runs: Runs) -> str:
    rows = []
    for run in runs.scale:
        outcome = run.disruption
        if outcome is None:
            continue
        until = outcome.seconds_until_agreed
        rows.append(
            [
                run_label(run),
                format_number(run.options["members"]),
                str(run.options["lists"]),
                str(run.options["trouble"]),
                format_number(outcome.traffic_peak_over_rest),
                format_number(outcome.bytes_peak_over_rest),
                format_number(until) if until is not None else "not agreed",
            ]
        )
    headers = ["run", "members", "lists", "trouble", "messages, peak over rest", "bytes, peak over rest"]
    return markdown_table([*headers, "s until all agree"], rows)


def mechanism_table(runs: Runs) -> str:
    """Compares whole lists with deltas for runs with the same members, upstreams and change rate."""
    with_deltas = {load_of(run): run for run in undisturbed_runs(runs) if run.options["lists"] == "deltas"}
    rows = []
    for whole in undisturbed_runs(runs):
        deltas = with_deltas.get(load_of(whole))
        if whole.options["lists"] != "whole" or deltas is None:
            continue
        row = [format_number(value) for value in load_of(whole)]
        for figure in ("kb_per_second", "cpu_percent", "rss_mb"):
            row += [format_number(run.roles["balancer"][figure].median) for run in (whole, deltas)]
        row += [format_number(run.change_times.p99) if run.change_times else "—" for run in (whole, deltas)]
        rows.append([*row, f"{run_label(whole)}, {run_label(deltas)}"])
    headers = ["members", "upstreams", "changes a second", "KB/s whole", "deltas", "% of a core whole", "deltas"]
    return markdown_table([*headers, "MB whole", "deltas", "p99 s in force whole", "deltas", "runs"], rows)


def undisturbed_runs(runs: Runs) -> list[ScaleRun]:
    """Runs of the real program without a disruption and without restarts."""
    return [
        run
        for run in runs.scale
        if not run.is_virtual
        and run.options["trouble"] in (None, "none")
        and not run.options["restarts_per_second"]
        and set(run.roles.get("balancer", {})) >= {"kb_per_second", "cpu_percent", "rss_mb"}
    ]


def load_of(run: ScaleRun) -> tuple:
    return tuple(run.options[option] for option in ("members", "upstreams", "changes_per_second"))


# Tables with the fits of series.


def shown_statistics(series: Series, role: str, figure: str) -> list[str]:
    """Includes the greatest value only if it differs from the median, as in roles with several members."""
    spreads = [run.roles.get(role, {}).get(figure) for run in series.runs]
    differ = any(spread and spread.median != spread.greatest for spread in spreads)
    return ["median", "greatest"] if differ else ["median"]


def is_shown(series: Series, role: str) -> bool:
    return series.option("virtual") is True or role not in HIDDEN_ROLES


def format_points(fit: Fit) -> str:
    pairs = zip(fit.points, fit.residuals)
    return "; ".join(
        f"{format_number(point.x)}: {format_number(point.y)} ({format_signed(residual)})" for point, residual in pairs
    )


def fit_headers(axis: str) -> list[str]:
    return [f"{axis}: value (residual)", "intercept", "slope", "R²", "largest residual of the range", "verdict"]


def fit_cells(fit: Fit) -> list[str]:
    return [
        format_points(fit),
        format_number(fit.intercept),
        format_number(fit.slope),
        f"{fit.r_squared:.3f}",
        f"{100 * fit.largest_residual_share():.0f} %",
        format_verdict(fit),
    ]


def format_verdict(fit: Fit) -> str:
    if fit.verdict is not Verdict.NOT_LINEAR:
        return fit.verdict.value
    exponent = f", exponent {fit.power_law.exponent:.2f}" if fit.power_law else ""
    return f"**not linear**{exponent}"


def describe_conditions(series: Series) -> str:
    """Lists the options that all runs of a series have in common."""
    shared = []
    for name, value in series.runs[0].options.items():
        if value is None or name in (*series.axis.varied_options, "virtual", "hollow_per_process"):
            continue
        if (name, value) in (("trouble", "none"), ("restarts_per_second", 0.0)):
            continue
        shown_value = format_number(value) if isinstance(value, float) else str(value)
        shared.append(f"{name.replace('_', ' ')} {shown_value}")
    where = "virtual time" if series.option("virtual") else "real processes"
    return f"{where}; " + ", ".join(shared)


def axis_table(all_series: dict[str, list[Series]], key: str) -> str:
    parts = [series_table(series) for series in all_series[key]]
    return "\n".join(parts) if parts else NO_RUNS_TEXT + "\n"


def series_table(series: Series) -> str:
    rows = []
    for measure in series.measures():
        if not is_shown(series, measure.role) or measure.statistic not in shown_statistics(
            series, measure.role, measure.figure
        ):
            continue
        fit = series.fit(measure)
        if fit is None:
            continue
        rows.append([measure.role, f"{FIGURE_TITLES[measure.figure]}, {measure.statistic}", *fit_cells(fit)])
    table = markdown_table(["role", "figure", *fit_headers(series.axis.name)], rows)
    files = ", ".join(run_label(run) for run in series.runs)
    return f"*{series.axis.name}* — {describe_conditions(series)}. Runs: {files}.\n\n{table}"


# Extrapolation to the planned fleet.


def target_table(all_series: dict[str, list[Series]]) -> str:
    rows = []
    for base in base_series(all_series):
        for measure in base.measures():
            if not is_shown(base, measure.role) or measure.statistic not in shown_statistics(
                base, measure.role, measure.figure
            ):
                continue
            at_target = extrapolate(all_series, base, measure)
            if at_target is not None:
                rows.append(target_row(base, at_target))
    headers = ["lists", "role", "figure", "at the planned size", "balancer's budget", "one core of 24 machines"]
    headers += ["extrapolated", "largest run", "seed", "commit", "not as planned in the runs"]
    return markdown_table(headers, rows)


def target_row(base: Series, at_target: Extrapolation) -> list[str]:
    measure, source = at_target.measure, at_target.source
    control = CONTROL_BUDGET.get(measure.figure) if measure.role in CONTROL_ROLES else None
    return [
        f"{base.option('lists')}, {'virtual' if base.option('virtual') else 'real'}",
        measure.role,
        f"{FIGURE_TITLES[measure.figure]}, {measure.statistic}",
        format_value(at_target),
        compare_to_budget(at_target.value, BALANCER_BUDGET.get(measure.figure)),
        compare_to_budget(at_target.value, control),
        ", ".join(f"{step.axis.option} ×{format_number(step.factor)}" for step in at_target.steps),
        run_label(source),
        format_seed(source),
        source.commit or "—",
        ", ".join(f"{name} {format_number(value)}" for name, value in at_target.unmatched_options.items()) or "—",
    ]


def format_value(at_target: Extrapolation) -> str:
    if at_target.value is None:
        exponent = f" (exponent {at_target.exponent:.2f})" if at_target.exponent is not None else ""
        return f"not extrapolated: not linear{exponent}"
    error = f" ± {format_number(2 * at_target.standard_error)}" if at_target.standard_error is not None else ""
    unchecked = ", from two sizes only" if at_target.verdict is Verdict.UNCHECKED else ""
    return f"{format_number(at_target.value)}{error}{unchecked}"


# Added latency.


def latency_table(runs: Runs) -> str:
    rows = [latency_row(run, one) for run in runs.latency for one in run.rates]
    return markdown_table(latency_headers("calls/s"), rows)


def depth_table(runs: Runs) -> str:
    rows = [latency_row(run, one) for run in runs.latency for one in run.chains]
    measured = markdown_table(latency_headers("balancers in a row, calls/s"), rows)
    fits = depth_fits([one for run in runs.latency for one in run.chains])
    return f"{measured}\n{fits}" if fits else measured


def depth_fits(chains: list[AddedLatency]) -> str:
    """Fits added latency to the length of the chain; empty if no rate was measured at two lengths."""
    rows = []
    for rate in sorted({one.calls_per_second for one in chains}):
        at_rate = [one for one in chains if one.calls_per_second == rate]
        if len({one.balancers for one in at_rate}) < 2:
            continue
        for name, value in (("p50", lambda one: one.added_p50.median), ("p99", lambda one: one.added_p99.median)):
            fit = fit_line([Point(one.balancers, value(one)) for one in at_rate])
            rows.append([format_number(rate), f"added {name} ms", *fit_cells(fit)])
    return markdown_table(["calls/s", "figure", *fit_headers("balancers in a row")], rows) if rows else ""


def latency_headers(first: str) -> list[str]:
    direct = ["direct p50 ms", "direct p99 ms"]
    added = ["added p50 ms (least to greatest)", "added p99 ms (least to greatest)", "budget ms, 0.43 at each"]
    return ["run", first, *direct, *added, "answered", "failed"]


def latency_row(run: LatencyRun, one: AddedLatency) -> list[str]:
    rate = format_number(one.calls_per_second)
    return [
        run_label(run),
        rate if one.balancers == 1 else f"{one.balancers}, {rate}",
        format_number(one.direct_p50),
        format_number(one.direct_p99),
        format_range(one.added_p50),
        format_range(one.added_p99),
        compare_to_budget(one.added_p99.median, ADDED_LATENCY_BUDGET_MS * one.balancers),
        str(one.answered),
        str(one.failed),
    ]


def format_range(added) -> str:
    return f"{format_number(added.median)} ({format_number(added.least)} to {format_number(added.greatest)})"


# Filling the page.


def build_tables(runs: Runs) -> dict[str, str]:
    all_series = runs.series()
    tables = {f"axis-{key}": axis_table(all_series, key) for key in AXES}
    tables["axis-depth"] = depth_table(runs)
    tables["runs"] = runs_table(runs)
    tables["changes"] = changes_table(runs)
    tables["troubles"] = disruptions_table(runs)
    tables["mechanism"] = mechanism_table(runs)
    tables["target"] = target_table(all_series)
    tables["latency"] = latency_table(runs)
    return tables


def fill_page(text: str, tables: dict[str, str]) -> str:
    def filled(match: re.Match) -> str:
        name = match["name"]
        if name not in tables:
            raise PageError(f"unknown table '{name}'")
        return f"{match[1]}\n{tables[name]}\n{match[3]}"

    return TABLE_PATTERN.sub(filled, text)


def write_page(folder: Path, page: Path) -> None:
    try:
        text = page.read_text(encoding="utf-8")
    except OSError as error:
        raise PageError(f"cannot be read: {error.strerror}") from error
    filled = fill_page(text, build_tables(read_runs(folder)))
    page.write_text(filled, encoding="utf-8")


def main(arguments: list[str]) -> int:
    parser = argparse.ArgumentParser(description="Writes the tables of the capacity page from runs.")
    parser.add_argument("--folder", type=Path, default=Path("docs/capacity"), help="with runs/ and virtual/")
    parser.add_argument("--page", type=Path, default=Path("docs/CAPACITY.md"))
    options = parser.parse_args(arguments)
    try:
        write_page(options.folder, options.page)
    except RunFileError as error:
        print(error, file=sys.stderr)
        return EXIT_INVALID_INPUT
    except PageError as error:
        print(f"{options.page}: {error}", file=sys.stderr)
        return EXIT_INVALID_INPUT
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
