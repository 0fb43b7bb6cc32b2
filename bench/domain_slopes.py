"""Costs of a failure domain's leader by workers, tasks and jobs."""

import time

from bench import domain_load, sweep
from marjoramusher.core import announcement, codec
from marjoramusher.jobs import machine
from marjoramusher.workers import events

ROUNDS = 200
ANNOUNCED = 2000
RACK = 8
GANG_WORKERS = 64


def leader(workers: int) -> sweep.Values:
    """Measure a full domain directly."""
    base = sweep.rss_bytes()
    domain = domain_load.Domain(workers)
    domain.settle()
    domain.fill()
    found: sweep.Values = {
        "tasks": domain.tasks,
        "jobs": len(domain.jobs.jobs()),
        "memory_mb": (sweep.rss_bytes() - base) / 1e6,
    }
    found |= _announcements(domain)
    found |= _ticks(domain)
    found |= _lives(domain)
    found |= _snapshot(domain)
    found |= _takeover(domain)
    found |= _rack_lost(domain)
    found["peak_memory_mb"] = (sweep.rss_bytes() - base) / 1e6
    return found


def _announcements(domain: domain_load.Domain) -> sweep.Values:
    names = [f"w{n:04}" for n in range(len(domain.core.workers))][:ANNOUNCED]
    bodies = [codec.to_json(domain.said(name)) for name in names]
    replies = []
    before = time.process_time()
    for body in bodies:
        codec.from_json(body, announcement.WorkerAnnouncement)
    codec_s = time.process_time() - before
    domain.cost = domain_load.Cost()
    for name in names:
        for effect in domain.announce(name):
            if isinstance(effect, events.AnnouncementReply):
                reply = announcement.WorkerReply("", effect.renewals, effect.stop)
                replies.append(codec.to_json(reply))
    return {
        "announcement_core_us": domain.cost.core_s / len(names) * 1e6,
        "announcement_codec_us": codec_s / len(names) * 1e6,
        "announcement_bytes": sum(map(len, bodies)) / len(names),
        "announcement_reply_bytes": sum(map(len, replies)) / len(names),
    }


def _ticks(domain: domain_load.Domain) -> sweep.Values:
    domain.cost = domain_load.Cost()
    for _ in range(20):
        domain.advance(0.005)
        domain.tick()
    return {"tick_us": domain.cost.core_s / 20 * 1e6}


def _lives(domain: domain_load.Domain) -> sweep.Values:
    """Measure whole lives of jobs in a full domain: one ends, another comes."""
    domain.cost = cost = domain_load.Cost()
    tasks = 0
    for _ in range(ROUNDS):
        tasks += domain.end()
        domain.submit(domain.draw_shape())
        domain.advance(0.01)
        domain.tick()
    return {
        "job_core_us": cost.core_s / ROUNDS * 1e6,
        "job_apply_us": cost.apply_s / ROUNDS * 1e6,
        "job_commands": cost.commands / ROUNDS,
        "job_command_bytes": cost.command_bytes / ROUNDS,
        "job_calls": cost.calls / ROUNDS,
        "job_call_bytes": cost.call_bytes / ROUNDS,
        "job_tasks": tasks / ROUNDS,
    }


def _snapshot(domain: domain_load.Domain) -> sweep.Values:
    before = time.process_time()
    data = domain.jobs.snapshot()
    taken = time.process_time()
    machine.JobsMachine(domain_load.DOMAIN).restore(data)
    restored = time.process_time()
    return {
        "snapshot_bytes": len(data),
        "snapshot_ms": (taken - before) * 1e3,
        "restore_ms": (restored - taken) * 1e3,
    }


def _takeover(domain: domain_load.Domain) -> sweep.Values:
    domain.cost = cost = domain_load.Cost()
    began = domain.now
    domain.take_over()
    made_s = cost.core_s
    domain.settle()
    return {
        "takeover_make_ms": made_s * 1e3,
        "takeover_cpu_ms": cost.core_s * 1e3,
        "takeover_until_placing_s": domain.now - began,
    }


def _rack_lost(domain: domain_load.Domain) -> sweep.Values:
    """Lose one rack and wait until no gang stops or starts any more."""
    # The rack that holds tasks of the largest gang.
    largest = max(domain.core.gangs, key=lambda one: len(one.tasks))
    first = min(int(task.worker[1:]) for task in largest.tasks.values())
    first -= first % RACK
    lost = [f"w{n:04}" for n in range(first, first + RACK)]
    hit = {
        holding.job_id
        for worker in lost
        for holding in domain.jobs.ledger.holdings(worker)
    }
    sizes = [len(one.tasks) for one in domain.core.gangs if one.job_id in hit]
    domain.silence(lost)
    domain.cost = cost = domain_load.Cost()
    began = domain.now
    worst_s = busy_until = 0.0
    fed_s = 0.0
    for tick in range(120):
        if tick % 10 == 0:
            before_s = cost.core_s
            domain.announce_all()
            fed_s += cost.core_s - before_s
        before_s, commands = cost.core_s + cost.apply_s, cost.commands
        domain.tick()
        worst_s = max(worst_s, cost.core_s + cost.apply_s - before_s)
        domain.advance(0.1)
        if cost.commands != commands:
            busy_until = domain.now - began
    running = [domain.jobs.job(job_id) for job_id in hit]
    return {
        "rack_lost_gangs": len(hit),
        "rack_lost_largest_gang": max(sizes, default=0),
        "rack_lost_tasks": sum(sizes),
        "rack_lost_calls": cost.calls,
        "rack_lost_call_bytes": cost.call_bytes,
        "rack_lost_commands": cost.commands,
        "rack_lost_command_bytes": cost.command_bytes,
        "rack_lost_cpu_ms": (cost.core_s + cost.apply_s - fed_s) * 1e3,
        "rack_lost_worst_step_ms": worst_s * 1e3,
        "rack_lost_busy_s": busy_until,
        "rack_lost_holding_again": sum(
            one is not None and one.allocation is not None for one in running
        ),
    }


def gang_start(tasks: int) -> sweep.Values:
    """Measure the start and stop of one gang on idle workers, 8 tasks to a worker."""
    domain = domain_load.Domain(GANG_WORKERS)
    domain.settle()
    domain.cost = cost = domain_load.Cost()
    domain.submit(domain_load.make_shape(tasks, 1))
    for _ in range(20):
        domain.advance(0.1)
        domain.tick()
    if domain.tasks != tasks:
        raise RuntimeError(f"{domain.tasks} of {tasks} tasks run")
    found: sweep.Values = {
        "gang_core_ms": cost.core_s * 1e3,
        "gang_apply_ms": cost.apply_s * 1e3,
        "gang_calls": cost.calls,
        "gang_call_bytes": cost.call_bytes,
        "gang_commands": cost.commands,
        "gang_command_bytes": cost.command_bytes,
    }
    domain.cost = cost = domain_load.Cost()
    domain.end()
    found["gang_end_core_ms"] = (cost.core_s + cost.apply_s) * 1e3
    return found


SWEEPS = (
    sweep.Sweep("domain_leader", "worker", (24, 96, 384, 1450, 5800), leader),
    sweep.Sweep("domain_leader", "gang_task", (8, 32, 64, 128, 256), gang_start),
)
