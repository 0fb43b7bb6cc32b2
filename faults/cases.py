"""Define the fault cases.

A case injects faults into a cluster that is ready and under load, and repairs them.
Afterwards the driver lets the cluster settle and checks the histories.
"""

import asyncio
import random
import time
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec

from . import cluster as clusters
from . import history

TASK_LEASE_S = 4.04
STORM_DURATION_S = 10.0
DISKLESS_INSTANCES = ("fd-a-2", "fd-b-2", "fd-c-2")


class Context(msgspec.Struct, frozen=True):
    """Cluster and random numbers that a case uses."""

    cluster: clusters.Cluster
    rng: random.Random

    def mark(self, stage: str, note: str) -> None:
        """Record a stage of the case."""
        self.cluster.recorder.record(history.CaseMarked(time.time(), stage, note))


class Case(msgspec.Struct, frozen=True):
    """Fault case: its name, its function and the instances without a data directory."""

    name: str
    run: Callable[[Context], Awaitable[None]]
    diskless: tuple[str, ...] = ()


async def _kill_and_restart(context: Context, name: str, downtime_s: float) -> None:
    context.mark("fault", f"kill {name}")
    await context.cluster.kill(name)
    await asyncio.sleep(downtime_s)
    context.mark("heal", f"restart {name}")
    await context.cluster.restart(name)


async def kill_follower(context: Context) -> None:
    """Kill an instance that leads no group."""
    leaders = {
        await context.cluster.leader(group) for group in _group_names(context.cluster)
    }
    followers = sorted(context.cluster.instances.keys() - leaders)
    if not followers:
        raise clusters.PreconditionError("every instance leads a group")
    await _kill_and_restart(context, context.rng.choice(followers), 5.0)


async def kill_domain_leader(context: Context) -> None:
    """Kill the leader of a domain group."""
    name = await context.cluster.leader(_domain_group(context))
    await _kill_and_restart(context, name, 5.0)


async def kill_records_leader(context: Context) -> None:
    """Kill the leader of the records group."""
    name = await context.cluster.leader(clusters.RECORDS_GROUP)
    await _kill_and_restart(context, name, 5.0)


async def pause_domain_leader(context: Context) -> None:
    """Suspend the leader of a domain group for 5 s."""
    name = await context.cluster.leader(_domain_group(context))
    context.mark("fault", f"pause {name}")
    await context.cluster.pause(name, 5.0)


async def pause_instance(context: Context) -> None:
    """Suspend a random instance for 5 s."""
    name = context.rng.choice(context.cluster.reachable)
    context.mark("fault", f"pause {name}")
    await context.cluster.pause(name, 5.0)


async def stale_data(context: Context) -> None:
    """Restart a domain leader with an outdated copy of its data directory."""
    name = await context.cluster.leader(_domain_group(context))
    context.mark("fault", f"copy the data directory of {name}")
    await context.cluster.kill(name)
    copy = context.cluster.copy_data(name)
    await context.cluster.restart(name)
    await asyncio.sleep(5.0)
    context.mark("fault", f"start {name} with the outdated copy")
    await context.cluster.kill(name)
    context.cluster.restore_data(name, copy)
    await context.cluster.restart(name)


async def empty_data(context: Context) -> None:
    """Restart a domain leader with an empty data directory."""
    name = await context.cluster.leader(_domain_group(context))
    context.mark("fault", f"kill {name} and remove its data directory")
    await context.cluster.kill(name)
    context.cluster.erase_data(name)
    await asyncio.sleep(1.0)
    await context.cluster.restart(name)


async def second_loss(context: Context) -> None:
    """Replace an instance, then kill the other one of its domain right away."""
    domain = context.rng.choice(sorted(context.cluster.failure_domains))
    first, second = context.cluster.instances_of(domain)
    context.mark("fault", f"kill {first.name} and remove its data directory")
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
    """Partition a failure domain from the others, then heal the partition."""
    domain = context.rng.choice(sorted(context.cluster.failure_domains))
    names = [instance.name for instance in context.cluster.instances_of(domain)]
    mode = context.rng.choice(["silent", "refuse"])
    context.mark("fault", f"cut {domain} off, mode {mode}")
    await context.cluster.cut(names, mode)
    await asyncio.sleep(8.0)
    context.mark("heal", f"reconnect {domain}")
    await context.cluster.heal(names)


async def isolate_domain_leader(context: Context) -> None:
    """Isolate the leader of a domain group from its peers, but not from its callers.

    Messages are dropped without an error.
    """
    name = await context.cluster.leader(_domain_group(context))
    context.mark("fault", f"isolate {name}")
    await context.cluster.cut([name])
    await asyncio.sleep(8.0)
    context.mark("heal", f"reconnect {name}")
    await context.cluster.heal([name])


async def isolate_records_leader(context: Context) -> None:
    """Isolate the leader of the records group from its peers without an error."""
    name = await context.cluster.leader(clusters.RECORDS_GROUP)
    context.mark("fault", f"isolate {name}")
    await context.cluster.cut([name])
    await asyncio.sleep(8.0)
    context.mark("heal", f"reconnect {name}")
    await context.cluster.heal([name])


async def silent_connections(context: Context) -> None:
    """Stall the open connections to runners and workers; new connections work."""
    for _ in range(3):
        count = sum(
            forwarder.silence() for forwarder in context.cluster.forwarders.values()
        )
        context.mark("fault", f"stall {count} connections")
        await asyncio.sleep(3.0)


async def runner_faults(context: Context) -> None:
    """Kill a runner, suspend another for 5 s, and restart the first."""
    killed, paused = context.rng.sample(sorted(context.cluster.runners), 2)
    context.mark("fault", f"kill {killed}, pause {paused}")
    await context.cluster.runners[killed].kill()
    context.cluster.runners[paused].pause()
    await asyncio.sleep(5.0)
    context.mark("heal", f"resume {paused}, restart {killed}")
    context.cluster.runners[paused].resume()
    await context.cluster.runners[killed].start()
    await asyncio.sleep(2.0)


async def worker_faults(context: Context) -> None:
    """Kill a worker, suspend another until about the end of its lease or later.

    Restart the killed worker afterwards.
    """
    killed, paused = context.rng.sample(sorted(context.cluster.workers), 2)
    context.mark("fault", f"kill {killed}, pause {paused}")
    await context.cluster.workers[killed].kill()
    context.cluster.workers[paused].pause()
    await asyncio.sleep(context.rng.uniform(TASK_LEASE_S - 0.5, TASK_LEASE_S + 3.0))
    context.mark("heal", f"resume {paused}, restart {killed}")
    context.cluster.workers[paused].resume()
    await context.cluster.workers[killed].start()
    await asyncio.sleep(2.0)


async def _drain_and_restart(context: Context, name: str) -> None:
    context.mark("fault", f"drain {name}")
    context.cluster.mark_unreachable(name)
    code = await context.cluster.instances[name].terminate(15.0)
    if code != 0:
        raise clusters.PreconditionError(f"{name} exited with code {code} on SIGTERM")
    await asyncio.sleep(1.0)
    context.mark("heal", f"restart {name}")
    await context.cluster.restart(name)


async def drain_instance(context: Context) -> None:
    """Drain an instance under load with SIGTERM, then restart it."""
    name = context.rng.choice(context.cluster.reachable)
    await _drain_and_restart(context, name)


async def drain_runner(context: Context) -> None:
    """Drain a runner under load with SIGTERM."""
    name = context.rng.choice(sorted(context.cluster.runners))
    context.mark("fault", f"drain {name}")
    code = await context.cluster.runners[name].terminate(15.0)
    if code != 0:
        raise clusters.PreconditionError(f"{name} exited with code {code} on SIGTERM")
    await asyncio.sleep(3.0)


async def rolling_restart(context: Context) -> None:
    """Kill and restart every instance of two domains, one after another."""
    for domain in context.rng.sample(sorted(context.cluster.failure_domains), 2):
        for instance in context.cluster.instances_of(domain):
            await _kill_and_restart(context, instance.name, 0.5)
            await asyncio.sleep(1.0)


async def lose_domain(context: Context) -> None:
    """Kill both instances of a failure domain at once, and restart them."""
    domain = context.rng.choice(sorted(context.cluster.failure_domains))
    names = [instance.name for instance in context.cluster.instances_of(domain)]
    await _kill_all_and_restart(context, names, 6.0)


async def lose_all(context: Context) -> None:
    """Kill all instances at once, and restart them."""
    await _kill_all_and_restart(context, sorted(context.cluster.instances), 1.0)


async def storm(context: Context) -> None:
    """Inject overlapping faults of every kind at random times.

    A process may get several of them. At most one data directory is lost, since the
    loss of two voters' data requires a recovery by an operator.
    """
    cluster, rng = context.cluster, context.rng
    locks: dict[str, asyncio.Lock] = {}

    async def inject_instance_fault(
        name: str, kind: str, delay_s: float, duration_s: float
    ):
        await asyncio.sleep(delay_s)
        async with locks.setdefault(name, asyncio.Lock()):
            context.mark("fault", f"{kind} {name} for {duration_s:.1f} s")
            if kind == "pause":
                await cluster.pause(name, duration_s)
            elif kind == "cut":
                await cluster.cut([name], rng.choice(["silent", "refuse"]))
                await asyncio.sleep(duration_s)
                await cluster.heal([name])
            else:
                await cluster.kill(name)
                if kind == "erase":
                    cluster.erase_data(name)
                await asyncio.sleep(duration_s)
                await cluster.restart(name)

    async def inject_standin_fault(
        name: str, kind: str, delay_s: float, duration_s: float
    ):
        await asyncio.sleep(delay_s)
        process = cluster.runners.get(name) or cluster.workers[name]
        async with locks.setdefault(name, asyncio.Lock()):
            context.mark("fault", f"{kind} {name} for {duration_s:.1f} s")
            if kind == "pause":
                process.pause()
                await asyncio.sleep(duration_s)
                process.resume()
            else:
                await process.kill()
                await asyncio.sleep(duration_s)
                await process.start()

    def random_timing() -> tuple[float, float]:
        return rng.uniform(0, STORM_DURATION_S), rng.uniform(0.3, 6.0)

    kinds = ["kill", "kill", "pause", "pause", "cut", "cut", "kill"]
    kinds += ["erase"] if rng.random() < 0.5 else []
    faults = [
        inject_instance_fault(
            rng.choice(sorted(cluster.instances)), kind, *random_timing()
        )
        for kind in kinds
    ]
    faults += [
        inject_standin_fault(
            rng.choice(sorted(cluster.runners | cluster.workers)),
            kind,
            *random_timing(),
        )
        for kind in ("kill", "kill", "pause", "pause")
    ]
    await asyncio.gather(*faults, silent_connections(context))


async def relay_faults(context: Context) -> None:
    """Drain, kill and isolate instances that relay requests of another domain."""
    runnerless, other, third = context.rng.sample(
        sorted(context.cluster.failure_domains), 3
    )
    context.mark("fault", f"drain the runners of {runnerless}")
    drained_runners = [
        name for name in context.cluster.runners if f"-{runnerless}-" in name
    ]
    for name in drained_runners:
        await context.cluster.runners[name].terminate(15.0)
    await asyncio.sleep(2.0)
    await _drain_and_restart(context, context.cluster.instances_of(other)[0].name)
    await _kill_and_restart(context, context.cluster.instances_of(third)[0].name, 1.0)
    name = context.cluster.instances_of(other)[1].name
    context.mark("fault", f"cut {name} off")
    await context.cluster.cut([name])
    await asyncio.sleep(3.0)
    context.mark("heal", f"reconnect {name}, restart the runners of {runnerless}")
    await context.cluster.heal([name])
    for name in drained_runners:
        await context.cluster.runners[name].start()
    await asyncio.sleep(2.0)


async def kill_diskless(context: Context) -> None:
    """Kill and restart two diskless instances in turn; each loses its state."""
    for name in context.rng.sample(DISKLESS_INSTANCES, 2):
        await _kill_and_restart(context, name, 1.0)
        await asyncio.sleep(2.0)


async def recover_with_loss(context: Context) -> None:
    """Lose two voters of a domain group with their data, and recover from the third."""
    cluster = context.cluster
    voters_by_group = await _voters_by_group(context)
    candidates = [
        (domain, survivor)
        for domain in sorted(cluster.failure_domains)
        for survivor in voters_by_group[f"domain:{domain}"]
        if _other_groups_keep_majority(voters_by_group, f"domain:{domain}", survivor)
    ]
    if not candidates:
        raise clusters.PreconditionError(
            f"the loss of any two voters breaks more than one group: {voters_by_group}"
        )
    domain, survivor = context.rng.choice(candidates)
    group = f"domain:{domain}"
    lost = [name for name in voters_by_group[group] if name != survivor]
    context.mark(
        "fault", f"kill {' and '.join(lost)} and remove their data directories"
    )
    local_names = {instance.name for instance in cluster.instances_of(domain)}
    cluster.recorder.record(
        history.MajorityLost(time.time(), domain, survivor, survivor in local_names)
    )
    await asyncio.gather(*(cluster.kill(name) for name in lost))
    for name in lost:
        cluster.erase_data(name)
    await asyncio.sleep(context.rng.uniform(0.0, 3.0))
    context.mark("heal", f"recover {group} at {survivor}")
    await cluster.recover(survivor, group)
    await asyncio.sleep(context.rng.uniform(0.0, 2.0))
    await asyncio.gather(*(cluster.restart(name) for name in lost))

    def has_full_voters(status: dict[str, Any]) -> bool:
        voters = clusters.voters_of(status, group)
        return len(voters) == 3 and local_names <= set(voters)

    await cluster.wait_status(
        survivor, f"{group} has three voters, two of them local", has_full_voters, 40.0
    )


async def disk_full(context: Context) -> None:
    """Fail and heal the disk of a domain leader, then that of the records leader.

    After the repair another voter of the group is killed, so that a quorum needs the
    acknowledgements of the repaired one.
    """
    cluster = context.cluster
    for group in (_domain_group(context), clusters.RECORDS_GROUP):
        name = await cluster.leader(group)
        context.mark("fault", f"fill the disk of {name}, leader of {group}")
        cluster.fill_disk(name)
        await cluster.wait_status(
            name,
            "the store failure is reported",
            lambda status: status["store_failure"],
            5.0,
        )
        new_leader = await cluster.leader(group)
        await asyncio.sleep(context.rng.uniform(3.0, 5.0))
        status = await cluster.status(name)
        if clusters.role_of(status, group) == "leader":
            raise clusters.PreconditionError(f"{name} still leads {group}")
        if not clusters.participation_failure_of(status, group):
            raise clusters.PreconditionError(f"{name} still votes in {group}")
        context.mark("heal", f"lift the disk limit of {name}")
        await cluster.heal_disk(name)
        await cluster.wait_caught_up(name, new_leader, group)
        voters = clusters.voters_of(await cluster.status(name), group)
        if name not in voters:
            raise clusters.PreconditionError(f"{name} no longer votes in {group}")
        killed = context.rng.choice([voter for voter in voters if voter != name])
        await _kill_and_restart(context, killed, 5.0)


async def quiet(context: Context) -> None:
    """Inject no fault; the load has racing operators and resent requests anyway."""
    await asyncio.sleep(8.0)


async def _kill_all_and_restart(
    context: Context, names: list[str], downtime_s: float
) -> None:
    context.mark("fault", f"kill {', '.join(names)}")
    await asyncio.gather(*(context.cluster.kill(name) for name in names))
    await asyncio.sleep(downtime_s)
    context.mark("heal", "restart all killed instances")
    await asyncio.gather(*(context.cluster.restart(name) for name in names))


CASES: tuple[Case, ...] = (
    Case("quiet", quiet),
    Case("kill-entry", kill_follower),
    Case("kill-domain-leader", kill_domain_leader),
    Case("kill-records-leader", kill_records_leader),
    Case("pause-domain-leader", pause_domain_leader),
    Case("pause-entry", pause_instance),
    Case("stale-folder", stale_data),
    Case("empty-folder", empty_data),
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
    Case("kill-diskless", kill_diskless, DISKLESS_INSTANCES),
    Case("recover-with-loss", recover_with_loss),
    Case("disk-full", disk_full),
    Case("storm", storm),
)


def _group_names(cluster: clusters.Cluster) -> list[str]:
    return [
        clusters.RECORDS_GROUP,
        *(f"domain:{domain}" for domain in cluster.failure_domains),
    ]


async def _voters_by_group(context: Context) -> dict[str, tuple[str, ...]]:
    """Return the voters of each group by its name."""
    voters = {}
    for group in _group_names(context.cluster):
        leader = await context.cluster.leader(group)
        voters[group] = clusters.voters_of(await context.cluster.status(leader), group)
    return voters


def _other_groups_keep_majority(
    voters_by_group: dict[str, tuple[str, ...]], group: str, survivor: str
) -> bool:
    """Return whether losing the other voters of `group` breaks no other group."""
    lost = set(voters_by_group[group]) - {survivor}
    return all(
        2 * len(lost & set(voters)) < len(voters)
        for other, voters in voters_by_group.items()
        if other != group
    )


def _domain_group(context: Context) -> str:
    return f"domain:{context.rng.choice(sorted(context.cluster.failure_domains))}"
