"""Test streamed responses with invalid data from engines."""

import json

import hypothesis
from hypothesis import strategies
import pytest

from gentianstair import errors
from gentianstair.entry import streams

VALUE = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-5, 5)
    | strategies.floats(allow_nan=False)
    | strategies.text(max_size=4),
    lambda inner: (
        strategies.lists(inner, max_size=2)
        | strategies.dictionaries(
            strategies.sampled_from(
                ['usage', 'choices', 'text', 'delta', 'content']
                + ['prompt_tokens', 'completion_tokens', 'finish_reason']
                + ['prompt_tokens_details', 'cached_tokens']
            ),
            inner,
            max_size=3,
        )
    ),
    max_leaves=6,
)
EVENT = (
    VALUE.map(lambda value: b'data: ' + json.dumps(value).encode())
    | strategies.binary(max_size=8)
    | strategies.sampled_from([b'data: [DONE]', b'data: {"usage"', b': x'])
)
STREAM = strategies.lists(EVENT, max_size=5).map(b'\n\n'.join)


def read_stream(parts, ended=b'\n\n'):
    """Return what is read from a stream, or its error message."""
    response = streams.StreamedResponse(True)
    out = []
    try:
        for part in parts:
            out.append(response.feed(part))
        out.append(response.feed(ended))
        usage = response.attempt_usage(3)
        text = response.resume_text()
        whole = (usage, response.final_events())
    except (errors.UpstreamError, errors.RequestError) as error:
        return str(error)
    return b''.join(out), text, usage, whole


@pytest.mark.parametrize('step', [1, 3, 1000])
def test_lines_may_end_with_a_return_and_a_line_feed(step):
    # Guards against streams of engines of which nothing is forwarded.
    event = {'choices': [{'index': 0, 'delta': {'content': 'one'}}]}
    data = f'data: {json.dumps(event)}\n\ndata: [DONE]\n\n'.encode()
    crlf = data.replace(b'\n', b'\r\n')
    parts = [crlf[n : n + step] for n in range(0, len(crlf), step)]
    assert read_stream(parts, b'') == read_stream([data], b'')
    assert read_stream([data], b'')[1] == 'one'


@hypothesis.settings(derandomize=True, max_examples=500, deadline=None)
@hypothesis.given(data=STREAM)
def test_invalid_events_raise_no_internal_error(data):
    """Guard against internal errors by invalid events of an engine.

    The attempt must fail with an error that lets another engine be tried.
    """
    result = read_stream([data])
    if isinstance(result, tuple):
        assert all(count >= 0 for count in result[2])


@hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
@hypothesis.given(
    words=strategies.lists(strategies.text(max_size=5), max_size=4),
    cuts=strategies.lists(strategies.integers(0, 400), max_size=6),
)
def test_result_does_not_depend_on_chunk_boundaries(words, cuts):
    chunks = [{'choices': [{'text': word}]} for word in words]
    last = {'choices': [{'text': '', 'finish_reason': 'stop'}]}
    usage = {'prompt_tokens': 2, 'completion_tokens': len(words)}
    rows = [*chunks, last, {'choices': [], 'usage': usage}]
    events = [b'data: ' + json.dumps(row).encode() for row in rows]
    data = b'\n\n'.join([*events, b'data: [DONE]', b''])
    places = sorted({0, len(data), *(cut % len(data) for cut in cuts)})
    parts = [data[a:b] for a, b in zip(places, places[1:], strict=False)]
    whole = read_stream([data], b'')
    assert read_stream(parts, b'') == whole
    assert whole[1] == ''.join(words)
    assert whole[2].output_tokens == len(words)


@pytest.mark.parametrize(
    'usage',
    [[], 'x', 1, {'prompt_tokens': 'x'}, {'prompt_tokens_details': 1}]
    + [{'prompt_tokens': -1}, {'completion_tokens': 1e300}, {'a': []}],
)
def test_invalid_usage_is_bounded_or_an_upstream_error(usage):
    try:
        result = streams.parse_usage(usage)
    except errors.UpstreamError:
        return
    assert all(0 <= count < 2**53 for count in result)


@pytest.mark.promise
@pytest.mark.parametrize(
    ('choices', 'text'),
    [
        ([{'text': 'a'}], 'a'),
        ([{'delta': {'role': 'assistant', 'content': None}}], ''),
        ([{'delta': {'content': 'a'}, 'index': 0}], 'a'),
        ([], ''),
        ([{'text': 'a', 'index': 1}], None),
        ([{'text': 'a'}, {'text': 'b'}], None),
        ([{'delta': {'tool_calls': [{'index': 0}]}}], None),
        ([{'delta': {'refusal': 'no'}}], None),
        ([{'text': 1}], None),
        ({'text': 'a'}, None),
    ],
)
def test_response_with_more_than_text_is_not_resumed(choices, text):
    """Guard against repeated parts, such as a tool call, in a resumption.

    Only text can be resumed: the next engine would start anything else again.
    """
    response = streams.StreamedResponse(False)
    event = json.dumps({'choices': choices}).encode()
    response.feed(b'data: ' + event + b'\n\n')
    if text is not None:
        assert response.resume_text() == text
        return
    with pytest.raises(errors.RequestError) as caught:
        response.resume_text()
    assert caught.value.verdict.name == 'MAY_HAVE_RUN'
