"""Read a prompt on one engine and hand its KV cache to another."""

import json
import typing

import httpx
import loguru
import msgspec

from gentianstair import errors
from gentianstair import verdict as verdicts
from gentianstair.entry import attempts
from gentianstair.entry import callers
from gentianstair.entry import completions
from gentianstair.entry import node as nodes
from gentianstair.entry import relay
from gentianstair.entry import request as requests
from gentianstair.entry import streams

HTTP_OK = 200


class _Export(typing.TypedDict):
    transfer_id: str


def _reading_body(
    completion: completions.Completion, model: callers.Model
) -> bytes:
    """Return a body that has a prompt read, at the cost of one token."""
    single = completion._replace(stream=False, max_tokens=1)
    body = json.loads(completions.engine_body(single, model))
    body['stream'] = False
    body.pop('stream_options', None)
    return json.dumps(body).encode()


async def _ask(node: nodes.Node, outgoing: httpx.Request) -> bytes:
    stall_s = node.settings.upstream_stall_s
    async with relay.open_response(node, outgoing, stall_s) as (found, _):
        relay.check_status(found)
        body = await relay.read_all(found)
    if found.status_code != HTTP_OK:
        raise errors.UpstreamError(
            f'the engine answered {found.status_code}',
            verdicts.Verdict.MAY_HAVE_RUN,
        )
    return body


async def _transfer(
    node: nodes.Node, request: requests.Request, tried: attempts.Attempt
) -> None:
    assert tried.prefill_upstream is not None
    hashes = {'hashes': list(request.work.block_hashes)}
    source_url = tried.prefill_upstream['url']
    body = await _ask(
        node, httpx.Request('POST', f'{source_url}/kv/export', json=hashes)
    )
    export = msgspec.json.decode(body, type=_Export)
    order = {
        'source_url': source_url,
        'transfer_id': export['transfer_id'],
    }
    url = f'{tried.upstream["url"]}/kv/import'
    await _ask(node, httpx.Request('POST', url, json=order))


async def prefill(
    node: nodes.Node,
    request: requests.Request,
    tried: attempts.Attempt,
    completion: completions.Completion,
    model: callers.Model,
) -> int:
    """Have the prompt read elsewhere; return the tokens cached there.

    If any step fails the engine of the answer reads the prompt itself, so
    nothing is lost but time; the caller sees no difference.
    """
    assert tried.prefill_upstream is not None
    body = _reading_body(completion, model)
    reading = tried._replace(upstream=tried.prefill_upstream)
    outgoing = relay.engine_request(request, reading, completion.path, body)
    try:
        answer = await _ask(node, outgoing)
        tried.first_token()
        usage = streams.parse_usage(json.loads(answer)['usage'])
        await _transfer(node, request, tried)
    except (
        errors.UpstreamError,
        msgspec.MsgspecError,
        ValueError,
        KeyError,
        TypeError,
    ) as error:
        loguru.logger.bind(request_id=request.request_id).warning(
            'prompt not read elsewhere: {}', error
        )
        return 0
    node.explanations.add(
        request.request_id,
        request.caller.customer,
        'split',
        reader=tried.prefill_upstream['url'],
        cached_tokens=usage.cached_tokens,
    )
    return usage.cached_tokens


def with_remote_prefill(
    node: nodes.Node,
    request: requests.Request,
    completion: completions.Completion,
    model: callers.Model,
    run_attempt: attempts.RunAttempt,
) -> attempts.RunAttempt:
    """Return attempt, preceded by reading elsewhere where that is chosen."""

    async def both(tried: attempts.Attempt) -> streams.Usage:
        if tried.prefill_upstream is None:
            return await run_attempt(tried)
        cached = await prefill(node, request, tried, completion, model)
        usage = await run_attempt(tried)
        # What the reader found tells how far its cache is known; what the
        # other engine found is what was just moved there.
        return usage._replace(cached_tokens=cached)

    return both
