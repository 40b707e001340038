"""Read the history of a run and say which promises it breaks.

Each checker takes the merged events of all stand-ins and callers and
returns one line for each breach. Events they know, by type:

- ``put`` (platform): kind, name, version, value
- ``order`` (engine): epoch, order_number, holder, type, argument, applied
- ``upstream-order`` and ``usage-report`` (platform): the body
- ``request_started`` (engine), ``run`` (service): request_id, headers
- ``call`` (caller): request_id, key_label
- ``answer`` (caller): request_id, status, verdict, text, expected, ending;
  the ending is ``whole`` when the caller was told that all has come
- ``key_revoked`` (operator): key_label
"""

import collections
import json
import typing

from standins import history

Events = typing.Sequence[history.Event]
STARTS = ('request_started', 'run')


def _of(events: Events, *types: str) -> list[history.Event]:
    return [event for event in events if event.type in types]


def check_conflicting_orders(events: Events) -> list[str]:
    """An engine takes its orders one by one, never two for one place."""
    breaches = []
    last: dict[str, dict] = {}
    for event in _of(events, 'order'):
        if not event.data['applied']:
            continue
        before = last.get(event.source)
        last[event.source] = event.data
        if before is None or before == event.data:
            continue
        moved = event.data['order_number'] > before['order_number']
        if not moved or event.data['epoch'] < before['epoch']:
            breaches.append(f'{event.source}: {before} then {event.data}')
    return breaches


def _takes(events: Events) -> dict[str, list[tuple[float, int, str]]]:
    """Return when each epoch of each scope began, and for whom."""
    takes: dict[str, list[tuple[float, int, str]]] = {}
    for event in _of(events, 'put'):
        if event.data['kind'] != 'lease' or not event.data['value']['holder']:
            continue
        value = event.data['value']
        known = takes.setdefault(event.data['name'], [])
        if not known or known[-1][1] != value['epoch']:
            known.append((event.at_s, value['epoch'], value['holder']))
    return takes


def check_stale_orders(events: Events) -> list[str]:
    """No order takes effect after a newer epoch of its scope began."""
    scopes = {}
    takes = _takes(events)
    for scope, begun in takes.items():
        for _, epoch, holder in begun:
            scopes[(holder, epoch)] = scope
    breaches = []
    for event in _of(events, 'order'):
        if not event.data['applied']:
            continue
        scope = scopes.get((event.data['holder'], event.data['epoch']))
        if scope is None:
            breaches.append(f'{event.source}: nobody held {event.data}')
            continue
        for at_s, epoch, _ in takes[scope]:
            if epoch > event.data['epoch'] and at_s < event.at_s:
                breaches.append(
                    f'{event.source}: {event.data} at {event.at_s:.3f},'
                    f' epoch {epoch} began at {at_s:.3f}'
                )
                break
    return breaches


def check_upstream_orders(events: Events) -> list[str]:
    """One token is always the same order, and each scope's go in order."""
    breaches = []
    bodies: dict[str, dict] = {}
    last: dict[str, tuple[int, int]] = {}
    for event in _of(events, 'upstream-order'):
        body = {k: v for k, v in event.data.items() if k != 'repeat'}
        known = bodies.setdefault(body['token'], body)
        if known != body:
            breaches.append(f'{known} then {body}')
        if event.data['repeat']:
            continue
        scope, _, number = body['token'].rpartition('-')
        place = (int(number), body['epoch'])
        before = last.setdefault(scope, place)
        if place[0] < before[0] or place[1] < before[1]:
            breaches.append(f'{scope}: {place} after {before}')
        last[scope] = place
    return breaches


def check_double_reports(events: Events) -> list[str]:
    """A window has one set of figures, and no two report it at a time."""
    breaches = []
    first: dict[int, dict] = {}
    highest_epoch = 0
    for event in _of(events, 'usage-report'):
        data = event.data
        known = first.setdefault(data['window'], data)
        figures = (known['rows'], known['late'])
        if figures != (data['rows'], data['late']):
            breaches.append(f'window {data["window"]}: other figures')
        if data['epoch'] < highest_epoch:
            breaches.append(f'window {data["window"]}: by an old epoch')
        highest_epoch = max(highest_epoch, data['epoch'])
    return breaches


def check_duplicate_runs(events: Events) -> list[str]:
    """No idempotency key runs twice."""
    runs = collections.Counter(
        (event.source, event.data['idempotency_key'])
        for event in _of(events, 'run')
        if event.data.get('idempotency_key')
    )
    return [
        f'{key} ran {count} times' for key, count in runs.items() if count > 1
    ]


def check_not_run(events: Events) -> list[str]:
    """What was answered NOT_RUN never started at an upstream."""
    started = {event.data['request_id'] for event in _of(events, *STARTS)}
    return [
        f'{event.data["request_id"]} was answered NOT_RUN but ran'
        for event in _of(events, 'answer')
        if event.data['verdict'] == 'NOT_RUN'
        and event.data['request_id'] in started
    ]


def check_answers(events: Events) -> list[str]:
    """An answer said to be whole is the whole answer to its own request."""
    breaches = []
    for event in _of(events, 'answer'):
        data = event.data
        if data.get('ending') != 'whole':
            continue
        if data['text'] != data['expected']:
            breaches.append(
                f'{data["request_id"]}: {data["text"][:60]!r}'
                f' is not {data["expected"][:60]!r}'
            )
    return breaches


def check_revoked_keys(events: Events, bound_s: float) -> list[str]:
    """A key starts nothing once it has been revoked for bound_s."""
    revoked = {
        event.data['key_label']: event.at_s
        for event in _of(events, 'key_revoked')
    }
    calls = {event.data['request_id']: event for event in _of(events, 'call')}
    breaches = []
    for event in _of(events, *STARTS):
        call = calls.get(event.data['request_id'])
        if call is None:
            continue
        since_s = revoked.get(call.data['key_label'])
        if since_s is not None and event.at_s > since_s + bound_s:
            after_s = event.at_s - since_s
            breaches.append(
                f'{event.data["request_id"]} ran {after_s:.3f} s after its'
                ' key was revoked'
            )
    return breaches


def check_keys_unseen(
    events: Events, keys: typing.Collection[str]
) -> list[str]:
    """No upstream saw a caller's key anywhere."""
    breaches = []
    for event in events:
        if event.type not in (*STARTS, 'order'):
            continue
        text = json.dumps(event.data)
        if any(key in text for key in keys):
            breaches.append(f'{event.source} saw a key in {event.type}')
    return breaches


ALL: dict[str, typing.Callable[[Events], list[str]]] = {
    'conflicting_orders': check_conflicting_orders,
    'stale_orders': check_stale_orders,
    'upstream_orders': check_upstream_orders,
    'double_reports': check_double_reports,
    'duplicate_runs': check_duplicate_runs,
    'not_run': check_not_run,
    'answers': check_answers,
}
