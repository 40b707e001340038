"""Run the gentianstair-gateway program, one process on each entry VM."""

import functools
import os
import pathlib
import sys
import time

import loguru
import trio

from gentianstair import errors
from gentianstair.core import grace_period
from gentianstair.core import process_limits
from gentianstair.gateway import background
from gentianstair.gateway import catalog
from gentianstair.gateway import deployment
from gentianstair.gateway import environment
from gentianstair.gateway import handler
from gentianstair.gateway import monitoring
from gentianstair.gateway import node as nodes
from gentianstair.gateway import process_parts
from gentianstair.gateway import reload
from gentianstair.generated import events
from gentianstair.platform import settings_file
from gentianstair.util import connections
from gentianstair.util import line_writer
from gentianstair.util import logs
from gentianstair.util import serving
from gentianstair.util import stop_signals
from gentianstair.util import tasks

# How long new connections are accepted after a stop is requested. The load
# balancer checks readiness each second and needs two failures to notice.
BALANCER_DRAIN_S = 2.6
# Reserved at the end of the grace period for the last writes to the store.
FINAL_WRITES_S = 1.0
# Least share of the grace period in which requests may complete, even if less
# than the reserved time is left after it.
REQUEST_GRACE_SHARE = 0.85
# Grace period of the servers of the readiness check and the metrics.
READY_GRACE_S = 0.1
# How long to wait for the log buffer to drain before exiting on an error.
LAST_LINE_TIMEOUT_S = 0.5


def request_grace_s(grace_s: float) -> float:
    """Return how long requests may still run after a stop is requested.

    No request is ended before the last sixth of the grace period.
    """
    reserved_s = grace_period.RESPONSE_FLUSH_S + FINAL_WRITES_S
    return max(REQUEST_GRACE_SHARE * grace_s, grace_s - reserved_s)


def connection_grace_s(grace_s: float) -> float:
    """Return how long connections may last after a stop is requested."""
    return min(
        request_grace_s(grace_s) + grace_period.RESPONSE_FLUSH_S, grace_s
    )


def _idle_limit_s(node: nodes.Node) -> float:
    """Return how long callers may reuse an idle connection."""
    active_catalog = node.active_config.catalog
    return active_catalog.limits.idle_timeout_s if active_catalog else 0.0


def _head_limits(node: nodes.Node) -> serving.HeadLimits:
    """Return the limits of the head of a caller's request."""
    active_catalog = node.active_config.catalog
    limits = active_catalog.limits if active_catalog else catalog.Limits()
    return serving.HeadLimits(
        serving.RAW_HEAD_SHARE * limits.max_header_bytes,
        limits.header_timeout_s,
    )


async def _drain(node: nodes.Node, stop_requested: trio.Event) -> None:
    """Wait for a stop, then drain until the load balancer has noticed."""
    await stop_requested.wait()
    loguru.logger.bind(event=events.STOPPING).info('stopping')
    node.draining.set()
    node.grace_period.expire_in(
        request_grace_s(node.deployment.bounds.grace_s)
    )
    await trio.sleep(BALANCER_DRAIN_S)


async def run(
    file: pathlib.Path,
    vm_settings: deployment.Deployment,
    env_settings: environment.EnvironmentSettings = environment.DEFAULTS,
) -> None:
    """Serve until stopped, then let running requests complete."""
    stop_requested = stop_signals.watch_stop_signals()
    live = deployment.LiveSettings(vm_settings)
    own_limits = process_limits.derive(
        vm_settings.memory_mb, vm_settings.max_fds
    )
    callers = serving.listen(
        vm_settings.callers_address,
        receive_buffer_bytes=own_limits.receive_buffer_bytes,
    )
    ready_sock = serving.listen(vm_settings.ready_address)
    async with trio.open_nursery() as nursery:
        running = tasks.Tasks(nursery)
        process = process_parts.make_process_parts(live, running)
        node = process.node
        reloader = reload.Reloader(file, live, settings_file.read)
        running.keep_running('reload', reloader.run)
        running.keep_running(
            'readiness',
            serving.serve_again,
            monitoring.make_readiness_app(node),
            vm_settings.ready_address,
            ready_sock,
            monitoring.serve_until_cancelled,
            READY_GRACE_S,
            own_limits.operator_connections,
        )
        if env_settings.metrics_port is not None:
            address = f'{vm_settings.ip}:{env_settings.metrics_port}'
            running.keep_running(
                'metrics',
                serving.serve_again,
                monitoring.make_metrics_app(node),
                address,
                serving.listen(address),
                monitoring.serve_until_cancelled,
                READY_GRACE_S,
                own_limits.operator_connections,
            )
        running.keep_running(
            'background',
            background.run,
            process,
            env_settings.first_start_spread_s,
        )
        async with trio.open_nursery() as duty_nursery:
            tasks.Tasks(duty_nursery).keep_running(
                'campaign', background.campaign_for_duties, process
            )
            loguru.logger.bind(event=events.STARTED).info('serving')
            await serving.serve(
                handler.make_app(node),
                callers,
                functools.partial(_drain, node, stop_requested),
                connection_grace_s(vm_settings.bounds.grace_s)
                - BALANCER_DRAIN_S,
                keep_alive_s=env_settings.keep_alive_s,
                min_keep_alive_s=functools.partial(_idle_limit_s, node),
                max_connections=own_limits.caller_connections,
                head_limits=functools.partial(_head_limits, node),
            )
            duty_nursery.cancel_scope.cancel()
        with trio.move_on_after(node.grace_period.remaining_s()):
            await node.tunnel_server.wait_all_closed()
        with trio.move_on_after(FINAL_WRITES_S / 2):
            await background.record_last_counts(process)
        loguru.logger.bind(event=events.STOPPED).info('stopped')
        nursery.cancel_scope.cancel()


def _leaf_errors(error: BaseException) -> list[BaseException]:
    if not isinstance(error, BaseExceptionGroup):
        return [error]
    return [leaf for part in error.exceptions for leaf in _leaf_errors(part)]


def log_unexpected_exit(
    error: Exception, writer: line_writer.LineWriter
) -> None:
    """Log why the process exits unexpectedly, and flush the line.

    Log lines of the requests that are cut off come just before; they may
    have exhausted the rate limit and filled the buffer.
    """
    reason = '; '.join(f'{type(e).__name__}: {e}' for e in _leaf_errors(error))
    writer.drain(LAST_LINE_TIMEOUT_S)
    writer.allow_one_line()
    loguru.logger.opt(exception=error).bind(
        event=events.ENDED,
        error=reason,
        requests_cut=connections.count_cut(
            connections.EndReason.PROCESS_ENDED
        ),
    ).critical('the process exits on an unexpected error')
    writer.drain(LAST_LINE_TIMEOUT_S)


def _run(file: pathlib.Path, vm_settings: deployment.Deployment) -> None:
    writer = line_writer.LineWriter(sys.stdout.fileno(), time.monotonic)
    logs.setup('INFO', vm_settings.vm, vm_settings.failure_domain, writer)
    try:
        trio.run(run, file, vm_settings, environment.read(os.environ))
    except errors.UserError:
        raise
    except Exception as error:
        log_unexpected_exit(error, writer)
        sys.exit(1)


def main() -> None:
    """Read the settings and run; print a settings error as one line."""
    try:
        file = settings_file.path()
        _run(file, settings_file.read(file))
    except errors.UserError as error:
        print(error, file=sys.stderr)
        sys.exit(1)
