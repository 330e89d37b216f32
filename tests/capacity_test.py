"""Tests the capacity page: line fits, series of runs and the generated tables."""

import contextlib
import io
import json
import sys
import tempfile
import unittest
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "scale"))

import capacity  # noqa: E402
from capacity_fit import Point, Verdict, fit_line  # noqa: E402
from capacity_runs import RunFileError, read_latency_run, read_scale_run  # noqa: E402
from capacity_series import AXES, Measure, base_series, extrapolate, find_series  # noqa: E402

MEMBER_KB = Measure("member", "kb_per_second", "median")


def points(function, places=(50, 100, 200, 400)):
    return [Point(x, function(x)) for x in places]


def spread(median, greatest=None):
    return {"median": median, "greatest": median if greatest is None else greatest}


def real_run(kb=2.0, **options):
    """A run in the format of firtide-scale, whose options are text as on its command line."""
    values = {
        "members": 50,
        "real": 5,
        "voters": 3,
        "upstreams": 100,
        "services": 5,
        "duties": 3,
        "zones": 3,
        "changes-per-second": 1,
        "restarts-per-second": 0,
        "lists": "whole",
        "trouble": "none",
    }
    values.update({name.replace("_", "-"): value for name, value in options.items()})
    return {
        "run": {
            "command": "firtide-scale run",
            "options": {name: str(value) for name, value in values.items()},
            "seed": 1,
            "commit": "abc1234",
        },
        "leader": {"members": 1, "kb_per_second": spread(kb * 10)},
        "list_holder": {"members": 0, "kb_per_second": spread(0)},
        "member": {"members": 2, "kb_per_second": spread(kb, kb + 1)},
    }


def virtual_run(kb=2.0, **options):
    """A run in the format of firtide-simulation scale."""
    run = {
        "command": "firtide-simulation scale",
        "members": 50,
        "voters": 3,
        "duties": 3,
        "zones": 3,
        "upstreams": 100,
        "changes_per_second": 1.0,
        "seed": 7,
        "trouble": "none",
        "deltas": False,
        "virtual": True,
    }
    run.update(options)
    return {"run": run, "roles": {"member": {"members": 49, "kb_per_second": spread(kb)}, "holder.list": {}}}


LATENCY_RUN = {
    "run": {"command": "firtide-latency", "seed": 1, "load_average_before": "0.50 0.40 0.30 1/100 4711"},
    "rates": [
        {
            "calls_per_second": 154.0,
            "direct_ms": {"p50": 0.1, "p99": 0.2},
            "added_ms": {
                "p50": {"median": 0.1, "min": 0.1, "max": 0.1},
                "p99": {"median": 0.5, "min": 0.4, "max": 0.6},
            },
            "answered": 100,
            "failed": 1,
        }
    ],
}


class FolderTest(unittest.TestCase):
    """Gives each test a temporary folder for runs."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        (self.folder / "runs").mkdir()
        (self.folder / "virtual").mkdir()
        self.page = self.folder / "PAGE.md"

    def write_run(self, name, record):
        path = self.folder / name
        path.write_text(record if isinstance(record, str) else json.dumps(record), encoding="utf-8")
        return path

    def read(self, *records):
        return [read_scale_run(self.write_run(f"runs/{i}.json", record)) for i, record in enumerate(records)]

    def write_page(self, text):
        """Returns the exit status, standard error and the resulting page."""
        self.page.write_text(text, encoding="utf-8")
        errors = io.StringIO()
        with contextlib.redirect_stderr(errors):
            status = capacity.main(["--folder", str(self.folder), "--page", str(self.page)])
        return status, errors.getvalue(), self.page.read_text(encoding="utf-8")


class FitTest(unittest.TestCase):
    def test_exact_line(self):
        fit = fit_line(points(lambda x: 3 + 0.25 * x))
        self.assertAlmostEqual(fit.intercept, 3)
        self.assertAlmostEqual(fit.slope, 0.25)
        self.assertAlmostEqual(fit.r_squared, 1)
        self.assertAlmostEqual(fit.at(37_000), 9253)
        self.assertAlmostEqual(fit.standard_error_at(37_000), 0)
        self.assertIs(fit.verdict, Verdict.LINEAR)

    def test_residuals_and_errors_of_points_off_the_line(self):
        fit = fit_line([Point(0, 0), Point(1, 2), Point(2, 1), Point(3, 3)])
        self.assertAlmostEqual(fit.intercept, 0.3)
        self.assertAlmostEqual(fit.slope, 0.8)
        for residual, expected in zip(fit.residuals, (-0.3, 0.9, -0.9, 0.3), strict=True):
            self.assertAlmostEqual(residual, expected)
        self.assertAlmostEqual(fit.r_squared, 0.64)
        self.assertAlmostEqual(fit.largest_residual_share(), 0.3)
        # s² = 1.8 / 2; at x = 3: s² (1/4 + 1.5² / 5).
        self.assertAlmostEqual(fit.standard_error_at(3), (0.9 * 0.7) ** 0.5)

    def test_line_with_a_large_intercept_is_linear(self):
        self.assertIs(fit_line(points(lambda x: 1000 + x)).verdict, Verdict.LINEAR)

    def test_small_noise_is_linear(self):
        noise = {50: 0.5, 100: -0.5, 200: 0.5, 400: -0.5}
        self.assertIs(fit_line(points(lambda x: 2 + 0.1 * x + noise[x])).verdict, Verdict.LINEAR)

    def test_square_is_not_linear(self):
        fit = fit_line(points(lambda x: 0.01 * x**2))
        self.assertIs(fit.verdict, Verdict.NOT_LINEAR)
        self.assertAlmostEqual(fit.power_law.exponent, 2)
        self.assertAlmostEqual(fit.power_law.at(1000), 10_000)

    def test_power_under_the_residual_limit_is_not_linear(self):
        fit = fit_line(points(lambda x: x**1.4))
        self.assertLess(fit.largest_residual_share(), 0.15)
        self.assertIs(fit.verdict, Verdict.NOT_LINEAR)
        self.assertAlmostEqual(fit.power_law.exponent, 1.4)

    def test_one_point_far_off_is_not_linear(self):
        fit = fit_line([Point(1, 1), Point(2, 2), Point(3, 6), Point(4, 4), Point(5, 5)])
        self.assertIs(fit.verdict, Verdict.NOT_LINEAR)

    def test_values_without_change_are_flat(self):
        fit = fit_line([Point(50, 12), Point(100, 12.2), Point(200, 11.9)])
        self.assertIs(fit.verdict, Verdict.FLAT)
        self.assertEqual(fit_line([Point(50, 0), Point(100, 0), Point(200, 0)]).verdict, Verdict.FLAT)

    def test_two_sizes_are_not_checked(self):
        fit = fit_line([Point(50, 1), Point(100, 2)])
        self.assertIs(fit.verdict, Verdict.UNCHECKED)
        self.assertIsNone(fit.standard_error_at(200))

    def test_one_size_has_no_line(self):
        with self.assertRaises(ValueError):
            fit_line([Point(50, 1), Point(50, 2)])


class RunFileTest(FolderTest):
    def test_real_run(self):
        (run,) = self.read(real_run(kb=2.5, members=200))
        self.assertEqual(run.options["members"], 200)
        self.assertEqual(run.options["changes_per_second"], 1)
        self.assertFalse(run.is_virtual)
        self.assertEqual((run.seed, run.commit), (1, "abc1234"))
        self.assertEqual(run.roles["member"]["kb_per_second"].greatest, 3.5)
        self.assertNotIn("list_holder", run.roles)  # it has no members

    def test_virtual_run(self):
        (run,) = self.read(virtual_run(kb=1.5, deltas=True))
        self.assertTrue(run.is_virtual)
        self.assertEqual(run.options["lists"], "deltas")
        self.assertIsNone(run.options["services"])
        self.assertEqual(run.roles["member"]["kb_per_second"].median, 1.5)

    def test_errors_name_the_file(self):
        for record in ("{", "[]", {}, {"run": {}}, {"run": {"members": "many"}}, {"run": {"members": 5}, "roles": 3}):
            with self.subTest(record=record), self.assertRaises(RunFileError) as fault:
                read_scale_run(self.write_run("runs/wrong.json", record))
            self.assertIn("wrong.json: ", str(fault.exception))
            self.assertNotIn("\n", str(fault.exception))

    def test_latency_error_names_the_file(self):
        path = self.write_run("runs/latency-1.json", {"run": {}, "rates": [{"calls_per_second": 154}]})
        with self.assertRaisesRegex(RunFileError, "latency-1.json: is not a latency run"):
            read_latency_run(path)


class SeriesTest(FolderTest):
    def test_runs_belong_to_an_axis_if_all_other_options_are_equal(self):
        runs = self.read(
            real_run(members=200),
            real_run(members=50),
            real_run(members=100),
            real_run(members=400, zones=4),
            real_run(members=400, lists="deltas"),
            real_run(members=400, trouble="killed"),
            virtual_run(members=400),
        )
        (series,) = find_series(runs, AXES["members"])
        self.assertEqual([series.position(run) for run in series.runs], [50, 100, 200])

    def test_seeds_and_seconds_are_not_fleet_options(self):
        one, other = real_run(members=50, seed=1, seconds=20), real_run(members=100, seed=2, seconds=60)
        self.assertEqual(len(find_series(self.read(one, other), AXES["members"])), 1)

    def test_one_size_is_not_a_series(self):
        self.assertEqual(find_series(self.read(real_run(), real_run()), AXES["members"]), [])

    def test_fleet_axis_takes_options_scaled_together(self):
        runs = self.read(
            real_run(members=90, upstreams=90, services=5),
            real_run(members=180, upstreams=180, services=10),
            real_run(members=360, upstreams=100, services=5),
            real_run(members=360, upstreams=360, services=5),
        )
        (series,) = find_series(runs, AXES["fleet"])
        self.assertEqual([series.position(run) for run in series.runs], [90, 180])

    def extrapolated(self, *records):
        runs = self.read(*records)
        all_series = {key: find_series(runs, axis) for key, axis in AXES.items()}
        (base,) = base_series(all_series)
        return extrapolate(all_series, base, MEMBER_KB)

    def test_extrapolation_of_a_line(self):
        found = self.extrapolated(*(real_run(kb=1 + 0.001 * n, members=n) for n in (50, 100, 200)))
        self.assertAlmostEqual(found.value, 38)
        self.assertAlmostEqual(found.steps[0].factor, 185)
        self.assertEqual(found.source.options["members"], 200)
        self.assertEqual(found.unmatched_options["upstreams"], 100)

    def test_extrapolation_adds_the_slopes_of_other_axes(self):
        members = [real_run(kb=1 + 0.001 * n, members=n) for n in (50, 100, 200)]
        upstreams = [real_run(kb=1.05 + 0.01 * (n - 100), upstreams=n) for n in (200, 400)]
        found = self.extrapolated(*members, *upstreams)
        self.assertAlmostEqual(found.value, 38 + 0.01 * (37_000 - 100))
        self.assertEqual([step.axis.option for step in found.steps], ["members", "upstreams"])
        self.assertNotIn("upstreams", found.unmatched_options)

    def test_nonlinear_fit_is_not_extrapolated(self):
        found = self.extrapolated(*(real_run(kb=0.01 * n**2, members=n) for n in (50, 100, 200)))
        self.assertIsNone(found.value)
        self.assertAlmostEqual(found.exponent, 2)


class PageTest(FolderTest):
    def test_tables_are_replaced_and_the_rest_stays(self):
        for n in (50, 100, 200):
            self.write_run(f"runs/members-{n}.json", real_run(kb=1 + 0.001 * n, members=n))
        self.write_run("runs/latency-1.json", LATENCY_RUN)
        marked = "<!-- table {} -->\nold\n<!-- end -->\n"
        status, errors, page = self.write_page(
            "before\n" + "between\n".join(marked.format(name) for name in ("axis-members", "target", "latency")) + "after\n"
        )
        self.assertEqual((status, errors), (0, ""))
        self.assertNotIn("old", page)
        self.assertTrue(page.startswith("before\n<!-- table axis-members -->\n"))
        self.assertTrue(page.endswith("<!-- end -->\nafter\n"))
        self.assertEqual(page.count("between"), 2)
        self.assertIn("| 50: 1.05 (0); 100: 1.1 (0); 200: 1.2 (0) | 1 | 0.001 | 1.000 | 0 % | linear |", page)
        self.assertIn("| whole, real | member | KB/s, median | 38 ± 0 | over 21 |", page)
        self.assertIn("`runs/members-200.json` | 1 | abc1234 |", page)
        self.assertIn("| over 0.43 | 100 | 1 |", page)

    def test_depth_is_fitted_where_a_rate_has_two_depths(self):
        rate = LATENCY_RUN["rates"][0]

        def chain(balancers, p50):
            added = {"p50": {"median": p50, "min": p50, "max": p50}, "p99": rate["added_ms"]["p99"]}
            return {**rate, "balancers": balancers, "added_ms": added}

        chains = [chain(1, 0.2), chain(4, 0.5), chain(11, 1.2)]
        for i, one in enumerate(chains):
            self.write_run(f"runs/latency-{i}.json", {"run": LATENCY_RUN["run"], "chain": one})
        _, _, page = self.write_page("<!-- table axis-depth -->\n<!-- end -->\n")
        self.assertIn("| 154 | added p50 ms | 1: 0.2 (0); 4: 0.5 (0); 11: 1.2 (0) | 0.1 | 0.1 | 1.000 | 0 % | linear |", page)
        self.assertIn("| under 4.73 |", page)  # 11 balancers, 0.43 ms at each

    def test_writing_again_changes_nothing(self):
        self.write_run("runs/a.json", real_run())
        _, _, first = self.write_page("<!-- table runs -->\n<!-- end -->\n")
        _, _, second = self.write_page(first)
        self.assertEqual(first, second)

    def test_nonlinear_fit_is_reported(self):
        for n in (50, 100, 200):
            self.write_run(f"virtual/members-{n}.json", virtual_run(kb=0.01 * n**2, members=n))
        _, _, page = self.write_page("<!-- table axis-members -->\n<!-- end -->\n<!-- table target -->\n<!-- end -->\n")
        self.assertIn("**not linear**, exponent 2.00", page)
        self.assertIn("not extrapolated: not linear (exponent 2.00)", page)

    def test_without_runs(self):
        status, _, page = self.write_page("<!-- table axis-zones -->\n<!-- end -->\n")
        self.assertEqual(status, 0)
        self.assertIn("No run yet.", page)

    def test_bad_json_gives_one_line_and_status_2(self):
        self.write_run("runs/broken.json", "{")
        status, errors, page = self.write_page("<!-- table runs -->\nkept\n<!-- end -->\n")
        self.assertEqual(status, 2)
        self.assertEqual(errors.count("\n"), 1)
        self.assertTrue(errors.startswith(str(self.folder / "runs" / "broken.json") + ": "))
        self.assertIn("kept", page)

    def test_unknown_table_gives_one_line_and_status_2(self):
        status, errors, _ = self.write_page("<!-- table planets -->\n<!-- end -->\n")
        self.assertEqual((status, errors), (2, f"{self.page}: unknown table 'planets'\n"))


if __name__ == "__main__":
    unittest.main()
