"""Run the benches and print one JSON line for each measure."""

import importlib
import os
import re
import sys
from collections.abc import Callable, Iterator, Sequence

import click
import msgspec

from bench import measure

# Measures of each module, so that `--only` starts only the modules it needs.
MODULES = {
    "routing_bench": (
        "hol_short_p99_ratio",
        "crest_goodput_ratio",
        "crest_worst_account_share",
        "crest_recovery_s",
        "crest_goodput_silent",
        "crest_goodput_cut",
        "crest_goodput_cut_often",
        "request_doubled",
        "refusal_false",
        "route_decision_us",
    ),
    "claims_bench": (
        "claim_refused_share_cut",
        "claim_added_p50_ms",
        "claim_added_p99_ms",
    ),
    "placement_bench": (
        "job_completion_mean_ratio",
        "job_completion_p99_ratio",
        "fragmentation_share",
        "fragmentation_share_any_wait",
        "placement_idle_us",
        "placement_decision_slope",
        "reclaim_silent_p99_s",
        "reclaim_silent_count",
        "reclaim_count",
        "urgent_start_count",
        "shortfall_false",
        "job_refused_wrongly",
        "worker_quarantined_wrongly",
        "urgent_start_p99_s",
        "reclaim_p99_s",
        "guarantee_broken",
        "gang_partial",
        "job_lost",
        "worker_bad_quarantine_s",
        "placement_decision_us",
    ),
    "workflow_bench": (
        "workflow_earned_share",
        "workflow_urgent_start_p99_s",
        "workflow_wasted_share",
        "workflow_faults",
    ),
    "plan_bench": ("workflow_plan_ms",),
    "run_time_bench": ("run_time_error",),
    "telemetry_bench": (
        "log_line_us",
        "log_bytes_per_job",
    ),
    "process_bench": (
        "instance_idle_cpu_share",
        "instance_control_kb_s",
        "instance_rss_mb",
        "instance_requests_per_s",
        "instance_request_cpu_ms",
        "instance_claimed_request_cpu_ms",
        "instance_peak_cpu_share",
        "worker_announcement_cpu_ms",
        "worker_announcements_per_s",
        "config_in_force_p99_s",
        "config_in_force_p50_s",
        "claim_added_p50_ms",
        "claim_added_p99_ms",
    ),
}

QUICK_MODULES = ("process_bench", "workflow_bench")


def run(
    only: Sequence[str], seeds: Sequence[int], quick: bool
) -> Iterator[measure.Measure]:
    """Yield all measures, or those whose module or name is in `only`."""
    for module, names in MODULES.items():
        if only and module not in only and not set(names) & set(only):
            continue
        measures: Callable[..., Iterator[measure.Measure]] = importlib.import_module(
            f"bench.{module}"
        ).measures
        options = {"quick": quick} if module in QUICK_MODULES else {}
        for measured in measures(seeds, **options):
            name = re.split(r"[/\[]", measured.measure, maxsplit=1)[0]
            if not only or module in only or name in only:
                yield measured


@click.command()
@click.option("--only", multiple=True, help="Module or measure; may be repeated.")
@click.option("--seeds", default="1,2,3", show_default=True)
@click.option("--quick", is_flag=True, help="One seed, and short runs of processes.")
def main(only: tuple[str, ...], seeds: str, quick: bool) -> None:
    """Print all measures; exit with 1 if one misses its target."""
    valid_names = {*MODULES, *(name for names in MODULES.values() for name in names)}
    unknown_names = set(only) - valid_names
    if unknown_names:
        raise click.BadParameter(f"unknown: {', '.join(sorted(unknown_names))}")
    seed_numbers = [int(seed) for seed in seeds.split(",")]
    missed_count = 0
    for measured in run(only, seed_numbers[:1] if quick else seed_numbers, quick):
        click.echo(msgspec.json.encode(measured))
        missed_count += measured.met is False
    click.echo(
        f"load average {os.getloadavg()[0]:.1f}, missed {missed_count}", err=True
    )
    sys.exit(1 if missed_count else 0)


if __name__ == "__main__":
    main()
