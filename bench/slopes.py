"""Print how the cost of each role grows, as JSON lines."""

import os
import sys

import click
import msgspec

from bench import (
    consensus_slopes,
    domain_slopes,
    peer_slopes,
    role_slopes,
    sweep,
    telemetry_slopes,
)

SWEEPS = (
    domain_slopes.SWEEPS
    + consensus_slopes.SWEEPS
    + role_slopes.SWEEPS
    + telemetry_slopes.SWEEPS
    + peer_slopes.SWEEPS
)


@click.command()
@click.option("--only", multiple=True, help="Role; may be repeated.")
def main(only: tuple[str, ...]) -> None:
    """Measure all roles, or those that are asked for."""
    known = {one.role for one in SWEEPS}
    if set(only) - known:
        raise click.BadParameter(f"roles are {', '.join(sorted(known))}")
    for one in SWEEPS:
        if not only or one.role in only:
            for found in sweep.run(one):
                click.echo(msgspec.json.encode(found))
                sys.stdout.flush()
    click.echo(f"load average {os.getloadavg()[0]:.1f}", err=True)


if __name__ == "__main__":
    main()
