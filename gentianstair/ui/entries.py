"""Ask the entry processes on their operator listeners."""

import collections.abc
import typing

import httpx
import trio

from gentianstair import errors
from gentianstair.store import store
from gentianstair.ui import session as sessions
from gentianstair.util import json_codec

STATUS_PATH = '/operator/status'
SURVEY_PATH = '/operator/confirmed'
TIMEOUT_S = 3.0
POLL_S = 0.2


class Answer(typing.NamedTuple):
    """What one entry said; ``body`` is None when it said nothing usable."""

    url: str
    body: store.Value | None
    problem: str | None = None
    confirmed: bool = False


class Survey(typing.NamedTuple):
    """What one entry heard of all VMs it knows, through its peers.

    ``heard`` have a revision of the configuration or a later one, ``behind``
    an earlier one; ``silent`` did not answer in time.
    """

    heard: list[str]
    behind: list[str]
    silent: list[str]


async def get_json(url: str) -> store.Value | None:
    """Return the object at a URL, None when there is none.

    Raise StoreUnavailableError when it cannot be had.
    """
    return await _fetch_json('GET', url)


async def post_json(url: str, value: store.Value) -> store.Value:
    """Return the answer to an object that is posted to a URL.

    Raise StoreUnavailableError when there is none.
    """
    body = await _fetch_json('POST', url, value)
    if body is None:
        raise errors.StoreUnavailableError(f'{url}: no such path')
    return body


async def _fetch_json(
    method: str, url: str, value: store.Value | None = None
) -> store.Value | None:
    try:
        async with httpx.AsyncClient(trust_env=False) as client:
            response = await client.request(
                method, url, json=value, timeout=TIMEOUT_S
            )
        if response.status_code == httpx.codes.NOT_FOUND:
            return None
        response.raise_for_status()
        body = json_codec.decode(response.content)
    except (
        httpx.HTTPError,
        httpx.InvalidURL,
        errors.DecodeError,
    ) as error:
        why = str(error).splitlines()[0] if str(error) else repr(error)
        raise errors.StoreUnavailableError(why) from error
    if not isinstance(body, dict):
        raise errors.StoreUnavailableError(f'{url}: not an object')
    return body


async def ask_all(session: sessions.Session, path: str) -> list[Answer]:
    """Return the answers of all entries, in the order of their URLs."""
    answers: dict[str, Answer] = {}

    async def ask(url: str) -> None:
        try:
            answers[url] = Answer(url, await get_json(url + path))
        except errors.StoreUnavailableError as error:
            answers[url] = Answer(url, None, str(error))

    async with trio.open_nursery() as nursery:
        for url in session.entry_urls:
            nursery.start_soon(ask, url)
    return [answers[url] for url in session.entry_urls]


async def confirm(
    session: sessions.Session,
    path: str,
    is_confirmed: collections.abc.Callable[[store.Value], bool],
    wait_s: float,
) -> list[Answer]:
    """Ask until all entries confirm something, at most wait_s.

    Raise UserError when there is something to wait for but nobody to ask.
    """
    if wait_s > 0 and not session.entry_urls:
        raise errors.UserError(
            'name the entries with --entry-urls or GENTIANSTAIR_ENTRY_URLS'
        )
    until_s = trio.current_time() + wait_s
    while True:
        answers = [
            answer._replace(
                confirmed=answer.body is not None and is_confirmed(answer.body)
            )
            for answer in await ask_all(session, path)
        ]
        if all(answer.confirmed for answer in answers):
            return answers
        if trio.current_time() >= until_s:
            return answers
        await trio.sleep(POLL_S)


async def survey(session: sessions.Session, revision: int) -> Survey | None:
    """Return who in the fleet has a revision; None if no entry can tell."""
    for url in session.entry_urls:
        try:
            found = await get_json(url + SURVEY_PATH)
            status = await get_json(url + STATUS_PATH)
        except errors.StoreUnavailableError:
            continue
        if not found or not status:
            continue
        revisions = found.get('revisions', {})
        members = {item['vm'] for item in status.get('members', [])}
        heard = {vm for vm in revisions if revisions[vm] >= revision}
        return Survey(
            sorted(heard),
            sorted(set(revisions) - heard),
            sorted(members - set(revisions)),
        )
    return None
