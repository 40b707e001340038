"""Run the prefill on one engine and move its KV cache to another."""

import json
import typing

import httpx
import loguru

from gentianstair import errors
from gentianstair import verdict as verdicts
from gentianstair.entry import attempts
from gentianstair.entry import callers
from gentianstair.entry import completions
from gentianstair.entry import node as nodes
from gentianstair.entry import relay
from gentianstair.entry import request as requests
from gentianstair.entry import streams
from gentianstair.util import json_codec

HTTP_OK = 200


class _Export(typing.TypedDict):
    transfer_id: str


def _prefill_body(
    completion: completions.Completion, model: callers.Model
) -> bytes:
    """Return a completion body that runs the prefill and one decode step."""
    one_token = completion._replace(stream=False, max_tokens=1)
    body = json.loads(completions.engine_body(one_token, model))
    body['stream'] = False
    body.pop('stream_options', None)
    return json.dumps(body).encode()


async def _read_response(node: nodes.Node, outgoing: httpx.Request) -> bytes:
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


async def _transfer_kv_cache(
    node: nodes.Node, request: requests.Request, tried: attempts.Attempt
) -> None:
    assert tried.prefill_upstream is not None
    hashes = {'hashes': list(request.work.block_hashes)}
    source_url = tried.prefill_upstream['url']
    body = await _read_response(
        node, httpx.Request('POST', f'{source_url}/kv/export', json=hashes)
    )
    export = json_codec.decode(body, _Export)
    order = {
        'source_url': source_url,
        'transfer_id': export['transfer_id'],
    }
    url = f'{tried.upstream["url"]}/kv/import'
    await _read_response(node, httpx.Request('POST', url, json=order))


async def prefill(
    node: nodes.Node,
    request: requests.Request,
    tried: attempts.Attempt,
    completion: completions.Completion,
    model: callers.Model,
) -> int:
    """Run the prefill remotely; return the prompt tokens cached there.

    If any step fails, return 0: the decode engine then runs the prefill
    itself, and the caller sees only a delay.
    """
    assert tried.prefill_upstream is not None
    body = _prefill_body(completion, model)
    prefill_attempt = tried._replace(
        upstream=tried.prefill_upstream, check_send=None, run=None
    )
    outgoing = relay.engine_request(
        request, prefill_attempt, completion.path, body
    )
    try:
        answer = await _read_response(node, outgoing)
        tried.first_token()
        usage = streams.parse_usage(json_codec.decode(answer)['usage'])
        await _transfer_kv_cache(node, request, tried)
    except (
        errors.UpstreamError,
        errors.DecodeError,
        ValueError,
        KeyError,
        TypeError,
    ) as error:
        loguru.logger.bind(request_id=request.request_id).warning(
            'remote prefill failed: {}', error
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
    """Return run_attempt, after a remote prefill where one is chosen."""

    async def prefill_then_run(tried: attempts.Attempt) -> streams.Usage:
        if tried.prefill_upstream is None:
            return await run_attempt(tried)
        cached_tokens = await prefill(node, request, tried, completion, model)
        usage = await run_attempt(tried)
        # The router needs the cache hits of the prefill engine. Those of the
        # decode engine are the KV cache that was just moved there.
        return usage._replace(cached_tokens=cached_tokens)

    return prefill_then_run
