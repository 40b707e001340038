"""Test that each start of a task says what a fault in it ends.

What lives as long as the process goes through ``util/tasks.py``, which keeps
a fault to the task. A start in a bare nursery is listed here.
"""

import ast
import pathlib

import pytest

ROOT = pathlib.Path(__file__).parents[1] / 'gentianstair'
# Not part of a daemon: simulations, and the guard itself.
LEFT_OUT = ('bench/', 'generated/', 'util/tasks.py')
REQUEST = 'the request, or the call, that waits for it'
LINK = 'one link'
CONNECTION = 'one connection'
PROCESS = 'the process, which could not be reached any more'
DUTY = 'the duty, which gives its lease up'

# How many starts in a bare nursery a function has, and what a fault in one
# of them ends.
BARE_STARTS = {
    'control/lease.py:_run_while_held': (1, DUTY),
    'control/role_duty.py:_poll_engines': (1, DUTY),
    'core/exchange.py:_send_last': (1, REQUEST),
    'core/request_lifetime.py:run_until_ended': (1, REQUEST),
    'entry/claim_links.py:_serve_peer': (1, LINK),
    'entry/claim_links.py:run': (1, 'the links to owners, restarted'),
    'entry/services.py:_run_hedged': (2, REQUEST),
    'entry/upstream_monitor.py:_poll_engine': (2, 'one engine, restarted'),
    'gateway/late_attempt.py:run_unless_replaced': (1, REQUEST),
    'gateway/origin_keepers.py:_ask_each': (2, REQUEST),
    'gateway/peer_links.py:_use_link': (1, LINK),
    'peers/link.py:serve': (1, 'the links that peers open, restarted'),
    'peers/node.py:_run_session': (1, LINK),
    'peers/node.py:run': (1, 'the links to peers, restarted'),
    'peers/tunnel.py:_carry': (3, CONNECTION),
    'platform/object_store.py:_read_twice': (1, REQUEST),
    'ui/entries.py:ask_all': (1, 'the command'),
    'upstreams/staggered.py:open_first': (1, REQUEST),
    'upstreams/transport.py:_receive_unless_lost': (1, REQUEST),
    'util/serving.py:serve': (2, PROCESS),
}


def is_bare_start(node):
    """Return whether a call starts a task in what is no guarded group."""
    if not isinstance(node, ast.Call):
        return False
    if not isinstance(node.func, ast.Attribute):
        return False
    if node.func.attr not in ('start_soon', 'start'):
        return False
    return 'nursery' in ast.unparse(node.func.value)


def bare_starts():
    """Return the functions with starts in a nursery, and how many."""
    found = {}
    for path in sorted(ROOT.rglob('*.py')):
        name = path.relative_to(ROOT).as_posix()
        if name.startswith(LEFT_OUT):
            continue
        for outer in ast.walk(ast.parse(path.read_text())):
            if not isinstance(outer, ast.AsyncFunctionDef | ast.FunctionDef):
                continue
            count = sum(map(is_bare_start, ast.walk(outer)))
            if count:
                found[f'{name}:{outer.name}'] = count
    return found


def test_each_start_in_a_bare_nursery_is_listed():
    # Guards against a task whose fault ends the process and all its
    # requests, started where nobody has looked at that.
    expected = {place: count for place, (count, _) in BARE_STARTS.items()}
    assert bare_starts() == expected


def unguarded_names():
    """Return what a process's own nursery starts, in each daemon."""
    return [
        place
        for place in bare_starts()
        if place.endswith('main.py:run') or place.endswith('background.py:run')
    ]


def test_nursery_of_a_process_starts_guarded_tasks_only():
    # Guards against a fault in one part of a daemon that ends all of it.
    assert unguarded_names() == []


@pytest.mark.parametrize('daemon', ['gateway', 'entry', 'control'])
def test_no_other_nursery_is_handed_out(daemon):
    # Guards against a nursery of the process that is reached past the guard.
    for path in sorted((ROOT / daemon).rglob('*.py')):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.arg):
                assert node.arg != 'nursery', (path, node.lineno)
