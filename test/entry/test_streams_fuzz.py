"""Feed an answer's reader what no sound engine sends."""

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


def read(parts, ended=b'\n\n'):
    """Return all that a stream says, or why it is not an answer."""
    answer = streams.StreamedResponse(True)
    out = []
    try:
        for part in parts:
            out.append(answer.feed(part))
        out.append(answer.feed(ended))
        usage = answer.attempt_usage(3)
        text = answer.resume_text()
        whole = (usage, answer.final_events())
    except (errors.UpstreamError, errors.RequestError) as error:
        return str(error)
    return b''.join(out), text, usage, whole


@hypothesis.settings(derandomize=True, max_examples=500, deadline=None)
@hypothesis.given(data=STREAM)
def test_no_stream_ends_in_an_internal_error(data):
    """An engine with a fault makes its callers see an internal error.

    What it sends is no event, or an event of another shape. That is the
    engine's failure: the try counts as failed and may go on elsewhere.
    """
    found = read([data])
    if isinstance(found, tuple):
        assert all(count >= 0 for count in found[2])


@hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
@hypothesis.given(
    words=strategies.lists(strategies.text(max_size=5), max_size=4),
    cuts=strategies.lists(strategies.integers(0, 400), max_size=6),
)
def test_where_reads_are_cut_makes_no_difference(words, cuts):
    chunks = [{'choices': [{'text': word}]} for word in words]
    last = {'choices': [{'text': '', 'finish_reason': 'stop'}]}
    usage = {'prompt_tokens': 2, 'completion_tokens': len(words)}
    rows = [*chunks, last, {'choices': [], 'usage': usage}]
    events = [b'data: ' + json.dumps(row).encode() for row in rows]
    data = b'\n\n'.join([*events, b'data: [DONE]', b''])
    places = sorted({0, len(data), *(cut % len(data) for cut in cuts)})
    parts = [data[a:b] for a, b in zip(places, places[1:], strict=False)]
    whole = read([data], b'')
    assert read(parts, b'') == whole
    assert whole[1] == ''.join(words)
    assert whole[2].output_tokens == len(words)


@pytest.mark.parametrize(
    'usage',
    [[], 'x', 1, {'prompt_tokens': 'x'}, {'prompt_tokens_details': 1}]
    + [{'prompt_tokens': -1}, {'completion_tokens': 1e300}, {'a': []}],
)
def test_usage_of_another_shape_is_the_engines_failure(usage):
    try:
        found = streams.parse_usage(usage)
    except errors.UpstreamError:
        return
    assert all(0 <= count < 2**53 for count in found)


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
def test_only_text_is_resumed(choices, text):
    """A caller's tool is called twice, with half of the arguments each.

    An engine is lost in the middle of an answer that is not just text of
    one choice. The next engine is told the text alone and begins the rest
    anew, behind what the caller already has.
    """
    answer = streams.StreamedResponse(False)
    event = json.dumps({'choices': choices}).encode()
    answer.feed(b'data: ' + event + b'\n\n')
    if text is not None:
        assert answer.resume_text() == text
        return
    with pytest.raises(errors.RequestError) as caught:
        answer.resume_text()
    assert caught.value.verdict.name == 'MAY_HAVE_RUN'
