"""Table of fault cases.

A case acts on a cluster that is ready and under load. It repairs what it broke; the
driver then settles the cluster and checks the histories.
"""

import asyncio
import random
import time
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec

from . import cluster as clusters
from . import history

LEASE_S = 4.04
STORM_S = 10.0
DISKLESS = ("fd-a-2", "fd-b-2", "fd-c-2")


class Context(msgspec.Struct, frozen=True):
    """What a case works on."""

    cluster: clusters.Cluster
    random: random.Random

    def mark(self, stage: str, note: str) -> None:
        """Record a stage of the case."""
        self.cluster.recorder.record(history.CaseMarked(time.time(), stage, note))


class Case(msgspec.Struct, frozen=True):
    """A case of the table."""

    name: str
    run: Callable[[Context], Awaitable[None]]
    diskless: tuple[str, ...] = ()


async def _kill_and_restart(context: Context, name: str, down_s: float) -> None:
    context.mark("fault", f"kill {name}")
    await context.cluster.kill(name)
    await asyncio.sleep(down_s)
    context.mark("heal", f"restart {name}")
    await context.cluster.restart(name)


async def kill_entry(context: Context) -> None:
    """Kill an instance that leads no group."""
    leaders = {
        await context.cluster.leader(group) for group in _groups(context.cluster)
    }
    followers = sorted(context.cluster.instances.keys() - leaders)
    if not followers:
        raise clusters.PreconditionError("every instance leads a group")
    await _kill_and_restart(context, context.random.choice(followers), 5.0)


async def kill_domain_leader(context: Context) -> None:
    """Kill the leader of a domain group."""
    name = await context.cluster.leader(_domain_group(context))
    await _kill_and_restart(context, name, 5.0)


async def kill_records_leader(context: Context) -> None:
    """Kill the leader of the records group."""
    name = await context.cluster.leader(clusters.RECORDS_GROUP)
    await _kill_and_restart(context, name, 5.0)


async def pause_domain_leader(context: Context) -> None:
    """Stop the leader of a domain group for 5 s."""
    name = await context.cluster.leader(_domain_group(context))
    context.mark("fault", f"pause {name}")
    await context.cluster.pause(name, 5.0)


async def pause_entry(context: Context) -> None:
    """Stop any instance for 5 s."""
    name = context.random.choice(context.cluster.reachable)
    context.mark("fault", f"pause {name}")
    await context.cluster.pause(name, 5.0)


async def stale_folder(context: Context) -> None:
    """Restart an instance with a copy of its folder from before many changes."""
    name = await context.cluster.leader(_domain_group(context))
    context.mark("fault", f"copy the folder of {name}")
    await context.cluster.kill(name)
    copy = context.cluster.copy_data(name)
    await context.cluster.restart(name)
    await asyncio.sleep(5.0)
    context.mark("fault", f"start {name} with the copy")
    await context.cluster.kill(name)
    context.cluster.restore_data(name, copy)
    await context.cluster.restart(name)


async def empty_folder(context: Context) -> None:
    """Restart an instance with an empty folder."""
    name = await context.cluster.leader(_domain_group(context))
    context.mark("fault", f"kill {name} and remove its folder")
    await context.cluster.kill(name)
    context.cluster.erase_data(name)
    await asyncio.sleep(1.0)
    await context.cluster.restart(name)


async def second_loss(context: Context) -> None:
    """Replace an instance, then lose the other one of its domain at once."""
    domain = context.random.choice(sorted(context.cluster.failure_domains))
    first, second = context.cluster.instances_of(domain)
    context.mark("fault", f"kill {first.name} and remove its folder")
    await context.cluster.kill(first.name)
    context.cluster.erase_data(first.name)
    await asyncio.sleep(1.0)
    await context.cluster.restart(first.name)
    context.mark("fault", f"kill {second.name} right after the repair")
    await context.cluster.kill(second.name)
    await asyncio.sleep(5.0)
    context.mark("heal", f"restart {second.name}")
    await context.cluster.restart(second.name)


async def cut_domain(context: Context) -> None:
    """Cut a failure domain off from the others, and heal the links."""
    domain = context.random.choice(sorted(context.cluster.failure_domains))
    names = [instance.name for instance in context.cluster.instances_of(domain)]
    mode = context.random.choice(["silent", "refuse"])
    context.mark("fault", f"cut {domain} off, mode {mode}")
    await context.cluster.cut(names, mode)
    await asyncio.sleep(8.0)
    context.mark("heal", f"reconnect {domain}")
    await context.cluster.heal(names)


async def isolate_domain_leader(context: Context) -> None:
    """Isolate the leader of a domain group silently; its callers still reach it."""
    name = await context.cluster.leader(_domain_group(context))
    context.mark("fault", f"isolate {name}")
    await context.cluster.cut([name])
    await asyncio.sleep(8.0)
    context.mark("heal", f"reconnect {name}")
    await context.cluster.heal([name])


async def isolate_records_leader(context: Context) -> None:
    """Isolate the leader of the records group silently."""
    name = await context.cluster.leader(clusters.RECORDS_GROUP)
    context.mark("fault", f"isolate {name}")
    await context.cluster.cut([name])
    await asyncio.sleep(8.0)
    context.mark("heal", f"reconnect {name}")
    await context.cluster.heal([name])


async def silent_connections(context: Context) -> None:
    """Silence the open connections to runners and workers; new ones work."""
    for _ in range(3):
        count = sum(link.silence() for link in context.cluster.forwarders.values())
        context.mark("fault", f"silence {count} connections")
        await asyncio.sleep(3.0)


async def runner_faults(context: Context) -> None:
    """Kill a runner, stop another for 5 s, and restart the first."""
    killed, paused = context.random.sample(sorted(context.cluster.runners), 2)
    context.mark("fault", f"kill {killed}, pause {paused}")
    await context.cluster.runners[killed].kill()
    context.cluster.runners[paused].pause()
    await asyncio.sleep(5.0)
    context.mark("heal", f"resume {paused}, restart {killed}")
    context.cluster.runners[paused].resume()
    await context.cluster.runners[killed].start()
    await asyncio.sleep(2.0)


async def worker_faults(context: Context) -> None:
    """Kill a worker, stop another beyond its lease, and restart the first."""
    killed, paused = context.random.sample(sorted(context.cluster.workers), 2)
    context.mark("fault", f"kill {killed}, pause {paused}")
    await context.cluster.workers[killed].kill()
    context.cluster.workers[paused].pause()
    await asyncio.sleep(context.random.uniform(LEASE_S - 0.5, LEASE_S + 3.0))
    context.mark("heal", f"resume {paused}, restart {killed}")
    context.cluster.workers[paused].resume()
    await context.cluster.workers[killed].start()
    await asyncio.sleep(2.0)


async def _drain(context: Context, name: str) -> None:
    context.mark("fault", f"drain {name}")
    context.cluster.mark_unreachable(name)
    code = await context.cluster.instances[name].terminate(15.0)
    if code != 0:
        raise clusters.PreconditionError(f"{name} ended with code {code} on SIGTERM")
    await asyncio.sleep(1.0)
    context.mark("heal", f"restart {name}")
    await context.cluster.restart(name)


async def drain_instance(context: Context) -> None:
    """Shut an instance down gracefully under load."""
    name = context.random.choice(context.cluster.reachable)
    await _drain(context, name)


async def drain_runner(context: Context) -> None:
    """Shut a runner down gracefully under load."""
    name = context.random.choice(sorted(context.cluster.runners))
    context.mark("fault", f"drain {name}")
    code = await context.cluster.runners[name].terminate(15.0)
    if code != 0:
        raise clusters.PreconditionError(f"{name} ended with code {code} on SIGTERM")
    await asyncio.sleep(3.0)


async def rolling_restart(context: Context) -> None:
    """Kill and restart every instance of two domains, one after another."""
    for domain in context.random.sample(sorted(context.cluster.failure_domains), 2):
        for instance in context.cluster.instances_of(domain):
            await _kill_and_restart(context, instance.name, 0.5)
            await asyncio.sleep(1.0)


async def lose_domain(context: Context) -> None:
    """Kill both instances of a failure domain at once, and restart them."""
    domain = context.random.choice(sorted(context.cluster.failure_domains))
    names = [instance.name for instance in context.cluster.instances_of(domain)]
    await _kill_together(context, names, 6.0)


async def lose_all(context: Context) -> None:
    """Kill all instances at once, and restart them."""
    await _kill_together(context, sorted(context.cluster.instances), 1.0)


async def storm(context: Context) -> None:
    """Overlap faults of every kind at random times, several on some processes.

    Only one data folder is lost, since the loss of two voters' folders needs an
    operator's recovery.
    """
    cluster, generator = context.cluster, context.random
    locks: dict[str, asyncio.Lock] = {}

    async def instance_fault(name: str, kind: str, after_s: float, for_s: float):
        await asyncio.sleep(after_s)
        async with locks.setdefault(name, asyncio.Lock()):
            context.mark("fault", f"{kind} {name} for {for_s:.1f} s")
            if kind == "pause":
                await cluster.pause(name, for_s)
            elif kind == "cut":
                await cluster.cut([name], generator.choice(["silent", "refuse"]))
                await asyncio.sleep(for_s)
                await cluster.heal([name])
            else:
                await cluster.kill(name)
                if kind == "erase":
                    cluster.erase_data(name)
                await asyncio.sleep(for_s)
                await cluster.restart(name)

    async def standin_fault(name: str, kind: str, after_s: float, for_s: float):
        await asyncio.sleep(after_s)
        process = cluster.runners.get(name) or cluster.workers[name]
        async with locks.setdefault(name, asyncio.Lock()):
            context.mark("fault", f"{kind} {name} for {for_s:.1f} s")
            if kind == "pause":
                process.pause()
                await asyncio.sleep(for_s)
                process.resume()
            else:
                await process.kill()
                await asyncio.sleep(for_s)
                await process.start()

    def timing() -> tuple[float, float]:
        return generator.uniform(0, STORM_S), generator.uniform(0.3, 6.0)

    kinds = ["kill", "kill", "pause", "pause", "cut", "cut", "kill"]
    kinds += ["erase"] if generator.random() < 0.5 else []
    faults = [
        instance_fault(generator.choice(sorted(cluster.instances)), kind, *timing())
        for kind in kinds
    ]
    faults += [
        standin_fault(
            generator.choice(sorted(cluster.runners | cluster.workers)), kind, *timing()
        )
        for kind in ("kill", "kill", "pause", "pause")
    ]
    await asyncio.gather(*faults, silent_connections(context))


async def relay_faults(context: Context) -> None:
    """Drain, kill and cut off instances that serve another domain's requests."""
    empty, other, third = context.random.sample(
        sorted(context.cluster.failure_domains), 3
    )
    context.mark("fault", f"drain the runners of {empty}")
    leaving = [name for name in context.cluster.runners if f"-{empty}-" in name]
    for name in leaving:
        await context.cluster.runners[name].terminate(15.0)
    await asyncio.sleep(2.0)
    await _drain(context, context.cluster.instances_of(other)[0].name)
    await _kill_and_restart(context, context.cluster.instances_of(third)[0].name, 1.0)
    name = context.cluster.instances_of(other)[1].name
    context.mark("fault", f"cut {name} off")
    await context.cluster.cut([name])
    await asyncio.sleep(3.0)
    context.mark("heal", f"reconnect {name}, restart the runners of {empty}")
    await context.cluster.heal([name])
    for name in leaving:
        await context.cluster.runners[name].start()
    await asyncio.sleep(2.0)


async def kill_diskless(context: Context) -> None:
    """Kill one diskless instance after another; each comes back without memory."""
    for name in context.random.sample(DISKLESS, 2):
        await _kill_and_restart(context, name, 1.0)
        await asyncio.sleep(2.0)


async def recover_with_loss(context: Context) -> None:
    """Lose two of a domain group's voters for good, and recover from the third."""
    cluster = context.cluster
    groups = await _voters(context)
    choices = [
        (domain, survivor)
        for domain in sorted(cluster.failure_domains)
        for survivor in groups[f"domain:{domain}"]
        if _keeps_others(groups, f"domain:{domain}", survivor)
    ]
    if not choices:
        raise clusters.PreconditionError(f"no two voters lose one group only: {groups}")
    domain, survivor = context.random.choice(choices)
    group = f"domain:{domain}"
    lost = [name for name in groups[group] if name != survivor]
    context.mark("fault", f"kill {' and '.join(lost)} and remove their folders")
    local = {instance.name for instance in cluster.instances_of(domain)}
    cluster.recorder.record(
        history.MajorityLost(time.time(), domain, survivor, survivor in local)
    )
    await asyncio.gather(*(cluster.kill(name) for name in lost))
    for name in lost:
        cluster.erase_data(name)
    await asyncio.sleep(context.random.uniform(0.0, 3.0))
    context.mark("heal", f"recover {group} at {survivor}")
    await cluster.recover(survivor, group)
    await asyncio.sleep(context.random.uniform(0.0, 2.0))
    await asyncio.gather(*(cluster.restart(name) for name in lost))

    def repaired(status: dict[str, Any]) -> bool:
        voters = clusters.voters_of(status, group)
        return len(voters) == 3 and local <= set(voters)

    await cluster.wait_status(
        survivor, f"{group} has three voters, two of them local", repaired, 40.0
    )


async def disk_full(context: Context) -> None:
    """Let the disk of a domain leader fail and heal, then that of the records leader.

    After the repair another voter of the group is lost, so that the group depends on
    the acknowledgements of the repaired one.
    """
    cluster = context.cluster
    for group in (_domain_group(context), clusters.RECORDS_GROUP):
        name = await cluster.leader(group)
        context.mark("fault", f"fill the disk of {name}, leader of {group}")
        cluster.fill_disk(name)
        await cluster.wait_status(
            name, "it reports its disk", lambda status: status["store_failure"], 5.0
        )
        other = await cluster.leader(group)
        await asyncio.sleep(context.random.uniform(3.0, 5.0))
        status = await cluster.status(name)
        if clusters.role_of(status, group) == "leader":
            raise clusters.PreconditionError(f"{name} still leads {group}")
        if not clusters.participation_failure_of(status, group):
            raise clusters.PreconditionError(f"{name} still votes in {group}")
        context.mark("heal", f"lift the limit of {name}")
        await cluster.heal_disk(name)
        await cluster.wait_caught_up(name, other, group)
        voters = clusters.voters_of(await cluster.status(name), group)
        if name not in voters:
            raise clusters.PreconditionError(f"{name} no longer votes in {group}")
        lost = context.random.choice([voter for voter in voters if voter != name])
        await _kill_and_restart(context, lost, 5.0)


async def quiet(context: Context) -> None:
    """Break nothing: operators race and callers resend all the same."""
    await asyncio.sleep(8.0)


async def _kill_together(context: Context, names: list[str], down_s: float) -> None:
    context.mark("fault", f"kill {', '.join(names)}")
    await asyncio.gather(*(context.cluster.kill(name) for name in names))
    await asyncio.sleep(down_s)
    context.mark("heal", "restart them")
    await asyncio.gather(*(context.cluster.restart(name) for name in names))


CASES: tuple[Case, ...] = (
    Case("quiet", quiet),
    Case("kill-entry", kill_entry),
    Case("kill-domain-leader", kill_domain_leader),
    Case("kill-records-leader", kill_records_leader),
    Case("pause-domain-leader", pause_domain_leader),
    Case("pause-entry", pause_entry),
    Case("stale-folder", stale_folder),
    Case("empty-folder", empty_folder),
    Case("second-loss", second_loss),
    Case("cut-domain", cut_domain),
    Case("isolate-domain-leader", isolate_domain_leader),
    Case("isolate-records-leader", isolate_records_leader),
    Case("silent-connections", silent_connections),
    Case("runner-faults", runner_faults),
    Case("worker-faults", worker_faults),
    Case("drain-instance", drain_instance),
    Case("drain-runner", drain_runner),
    Case("rolling-restart", rolling_restart),
    Case("lose-domain", lose_domain),
    Case("lose-all", lose_all),
    Case("relay-faults", relay_faults),
    Case("kill-diskless", kill_diskless, DISKLESS),
    Case("recover-with-loss", recover_with_loss),
    Case("disk-full", disk_full),
    Case("storm", storm),
)


def _groups(cluster: clusters.Cluster) -> list[str]:
    return [
        clusters.RECORDS_GROUP,
        *(f"domain:{domain}" for domain in cluster.failure_domains),
    ]


async def _voters(context: Context) -> dict[str, tuple[str, ...]]:
    """Return the voters of each group."""
    found = {}
    for group in _groups(context.cluster):
        leader = await context.cluster.leader(group)
        found[group] = clusters.voters_of(await context.cluster.status(leader), group)
    return found


def _keeps_others(
    groups: dict[str, tuple[str, ...]], group: str, survivor: str
) -> bool:
    """Tell whether all other groups keep a majority if only the survivor is kept."""
    lost = set(groups[group]) - {survivor}
    return all(
        2 * len(lost & set(voters)) < len(voters)
        for other, voters in groups.items()
        if other != group
    )


def _domain_group(context: Context) -> str:
    return f"domain:{context.random.choice(sorted(context.cluster.failure_domains))}"
