"""Measure the costs of a failure domain's leader by workers and gang size."""

import time

from bench import domain_load, sweep
from marjoramusher.core import announcement, codec
from marjoramusher.jobs import machine
from marjoramusher.workers import events

JOB_ROUNDS = 200
MAX_ANNOUNCEMENTS = 2000
WORKERS_PER_RACK = 8
GANG_WORKERS = 64


def leader(workers: int) -> sweep.Values:
    """Measure the leader of a failure domain whose workers are full."""
    base_bytes = sweep.rss_bytes()
    domain = domain_load.Domain(workers)
    domain.settle()
    domain.fill()
    measured: sweep.Values = {
        "tasks": domain.tasks,
        "jobs": len(domain.jobs.jobs()),
        "memory_mb": (sweep.rss_bytes() - base_bytes) / 1e6,
    }
    measured |= _announcements(domain)
    measured |= _ticks(domain)
    measured |= _job_turnover(domain)
    measured |= _snapshot(domain)
    measured |= _takeover(domain)
    measured |= _rack_lost(domain)
    measured["peak_memory_mb"] = (sweep.rss_bytes() - base_bytes) / 1e6
    return measured


def _announcements(domain: domain_load.Domain) -> sweep.Values:
    names = [f"w{n:04}" for n in range(len(domain.core.workers))][:MAX_ANNOUNCEMENTS]
    bodies = [codec.to_json(domain.make_announcement(name)) for name in names]
    replies = []
    cpu_before_s = time.process_time()
    for body in bodies:
        codec.from_json(body, announcement.WorkerAnnouncement)
    codec_s = time.process_time() - cpu_before_s
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


def _job_turnover(domain: domain_load.Domain) -> sweep.Values:
    """Measure a full domain in which each round completes one job and submits one."""
    domain.cost = cost = domain_load.Cost()
    tasks = 0
    for _ in range(JOB_ROUNDS):
        tasks += domain.complete_random_job()
        domain.submit(domain.draw_shape())
        domain.advance(0.01)
        domain.tick()
    return {
        "job_core_us": cost.core_s / JOB_ROUNDS * 1e6,
        "job_apply_us": cost.apply_s / JOB_ROUNDS * 1e6,
        "job_commands": cost.commands / JOB_ROUNDS,
        "job_command_bytes": cost.command_bytes / JOB_ROUNDS,
        "job_calls": cost.calls / JOB_ROUNDS,
        "job_call_bytes": cost.call_bytes / JOB_ROUNDS,
        "job_tasks": tasks / JOB_ROUNDS,
    }


def _snapshot(domain: domain_load.Domain) -> sweep.Values:
    started_s = time.process_time()
    data = domain.jobs.snapshot()
    snapshot_done_s = time.process_time()
    machine.JobsMachine(domain_load.DOMAIN).restore(data)
    restored_s = time.process_time()
    return {
        "snapshot_bytes": len(data),
        "snapshot_ms": (snapshot_done_s - started_s) * 1e3,
        "restore_ms": (restored_s - snapshot_done_s) * 1e3,
    }


def _takeover(domain: domain_load.Domain) -> sweep.Values:
    domain.cost = cost = domain_load.Cost()
    started_s = domain.now
    domain.take_over()
    make_core_s = cost.core_s
    domain.settle()
    return {
        "takeover_make_ms": make_core_s * 1e3,
        "takeover_cpu_ms": cost.core_s * 1e3,
        "takeover_until_placing_s": domain.now - started_s,
    }


def _rack_lost(domain: domain_load.Domain) -> sweep.Values:
    """Silence one rack and measure 12 s in which its gangs stop and start again."""
    # Choose a rack with tasks of the largest gang.
    largest = max(domain.core.gangs, key=lambda gang: len(gang.tasks))
    first = min(int(task.worker[1:]) for task in largest.tasks.values())
    first -= first % WORKERS_PER_RACK
    lost_workers = [f"w{n:04}" for n in range(first, first + WORKERS_PER_RACK)]
    affected_job_ids = {
        holding.job_id
        for worker in lost_workers
        for holding in domain.jobs.ledger.holdings(worker)
    }
    sizes = [
        len(gang.tasks) for gang in domain.core.gangs if gang.job_id in affected_job_ids
    ]
    domain.silence(lost_workers)
    domain.cost = cost = domain_load.Cost()
    started_s = domain.now
    worst_step_s = busy_s = 0.0
    announcements_s = 0.0
    for tick in range(120):
        if tick % 10 == 0:
            cost_before_s = cost.core_s
            domain.announce_all()
            announcements_s += cost.core_s - cost_before_s
        cost_before_s, commands = cost.core_s + cost.apply_s, cost.commands
        domain.tick()
        worst_step_s = max(worst_step_s, cost.core_s + cost.apply_s - cost_before_s)
        domain.advance(0.1)
        if cost.commands != commands:
            busy_s = domain.now - started_s
    affected_jobs = [domain.jobs.job(job_id) for job_id in affected_job_ids]
    return {
        "rack_lost_gangs": len(affected_job_ids),
        "rack_lost_largest_gang": max(sizes, default=0),
        "rack_lost_tasks": sum(sizes),
        "rack_lost_calls": cost.calls,
        "rack_lost_call_bytes": cost.call_bytes,
        "rack_lost_commands": cost.commands,
        "rack_lost_command_bytes": cost.command_bytes,
        "rack_lost_cpu_ms": (cost.core_s + cost.apply_s - announcements_s) * 1e3,
        "rack_lost_worst_step_ms": worst_step_s * 1e3,
        "rack_lost_busy_s": busy_s,
        "rack_lost_holding_again": sum(
            job is not None and job.allocation is not None for job in affected_jobs
        ),
    }


def gang_start(tasks: int) -> sweep.Values:
    """Measure the start and end of one gang on idle workers, 8 tasks to a worker."""
    domain = domain_load.Domain(GANG_WORKERS)
    domain.settle()
    domain.cost = cost = domain_load.Cost()
    domain.submit(domain_load.make_shape(tasks, 1))
    for _ in range(20):
        domain.advance(0.1)
        domain.tick()
    if domain.tasks != tasks:
        raise RuntimeError(f"{domain.tasks} of {tasks} tasks run")
    measured: sweep.Values = {
        "gang_core_ms": cost.core_s * 1e3,
        "gang_apply_ms": cost.apply_s * 1e3,
        "gang_calls": cost.calls,
        "gang_call_bytes": cost.call_bytes,
        "gang_commands": cost.commands,
        "gang_command_bytes": cost.command_bytes,
    }
    domain.cost = cost = domain_load.Cost()
    domain.complete_random_job()
    measured["gang_end_core_ms"] = (cost.core_s + cost.apply_s) * 1e3
    return measured


SWEEPS = (
    sweep.Sweep("domain_leader", "worker", (24, 96, 384, 1450, 5800), leader),
    sweep.Sweep("domain_leader", "gang_task", (8, 32, 64, 128, 256), gang_start),
)
