"""Measure how the costs of each role grow and print them as JSON lines."""

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
    """Measure all roles, or only the given ones."""
    roles = {item.role for item in SWEEPS}
    if set(only) - roles:
        raise click.BadParameter(f"roles are {', '.join(sorted(roles))}")
    for item in SWEEPS:
        if not only or item.role in only:
            for slope in sweep.run(item):
                click.echo(msgspec.json.encode(slope))
                sys.stdout.flush()
    click.echo(f"load average {os.getloadavg()[0]:.1f}", err=True)


if __name__ == "__main__":
    main()
