"""Parse completion requests of callers and build those for engines."""

import json
import typing

from gentianstair import errors
from gentianstair.entry import callers

# Used if the caller sets no limit.
DEFAULT_MAX_TOKENS = 256
MAX_NESTING_DEPTH = 32
MAX_PRIORITY = 9
CHAT_PATH = '/v1/chat/completions'
TEXT_PATH = '/v1/completions'
PATHS = (CHAT_PATH, TEXT_PATH)


class Completion(typing.NamedTuple):
    """A validated completion request.

    ``body`` is the JSON object the caller sent; unknown fields in it are
    forwarded to the engine unchanged.
    """

    path: str
    model: str
    prompt: str
    max_tokens: int
    stream: bool
    wants_usage: bool
    priority: int
    body: dict[str, typing.Any]

    @property
    def has_one_choice(self) -> bool:
        """Return whether the end of one choice ends the response."""
        return self.body.get('n') in (None, 1)


def _bad_request(detail: str) -> errors.RequestError:
    return errors.RequestError(400, 'bad-request', detail)


def _is_within_depth(value: typing.Any, levels_left: int) -> bool:
    if levels_left < 0:
        return False
    if isinstance(value, dict):
        return all(
            _is_within_depth(item, levels_left - 1) for item in value.values()
        )
    if isinstance(value, list):
        return all(_is_within_depth(item, levels_left - 1) for item in value)
    return True


def _reject_constant(name: str) -> typing.NoReturn:
    raise ValueError(f'{name} is not JSON')


# By default the json module accepts NaN and Infinity, which are not JSON.
_DECODER = json.JSONDecoder(parse_constant=_reject_constant)


def _check_surrogates(data: bytes, body: typing.Any) -> None:
    """Raise ValueError if the body has an unpaired surrogate.

    JSON can express one only as an escape, and UTF-8 cannot encode it, so
    the prompt could be neither hashed nor sent.
    """
    if b'\\u' in data:
        json.dumps(body, ensure_ascii=False).encode()


def _decode(data: bytes) -> dict[str, typing.Any]:
    try:
        body = _DECODER.decode(data.decode())
        _check_surrogates(data, body)
    except (ValueError, RecursionError):
        raise _bad_request('the body is not JSON') from None
    if not isinstance(body, dict):
        raise _bad_request('the body is not a JSON object')
    if not _is_within_depth(body, MAX_NESTING_DEPTH):
        raise _bad_request(
            f'the body is nested deeper than {MAX_NESTING_DEPTH}'
        )
    return body


def _message_text(message: typing.Any) -> str:
    if not isinstance(message, dict):
        raise _bad_request('each message must be an object')
    content = message.get('content')
    if isinstance(content, str):
        return content
    if isinstance(content, list):
        parts = [part for part in content if isinstance(part, dict)]
        return ' '.join(str(part.get('text', '')) for part in parts)
    if content is None:
        return ''
    raise _bad_request('content must be text or a list of parts')


def _parse_prompt(path: str, body: dict[str, typing.Any]) -> str:
    if path == CHAT_PATH:
        messages = body.get('messages')
        if not isinstance(messages, list) or not messages:
            raise _bad_request('messages must be a list that is not empty')
        return ' '.join(_message_text(message) for message in messages)
    prompt = body.get('prompt')
    if not isinstance(prompt, str):
        raise _bad_request('prompt must be text')
    return prompt


def _parse_integer(
    body: dict[str, typing.Any], name: str, default: int, low: int, high: int
) -> int:
    value = body.get(name, default)
    if value is None:
        return default
    if not isinstance(value, int) or isinstance(value, bool):
        raise _bad_request(f'{name} must be a whole number')
    if not low <= value <= high:
        raise _bad_request(f'{name} must be {low} to {high}')
    return value


def _parse_max_tokens(body: dict[str, typing.Any]) -> int:
    name = 'max_tokens'
    if 'max_completion_tokens' in body:
        name = 'max_completion_tokens'
    return _parse_integer(body, name, DEFAULT_MAX_TOKENS, 1, 1_000_000)


def parse(path: str, data: bytes) -> Completion:
    """Return the request in data; raise RequestError 400 if it is invalid."""
    body = _decode(data)
    model = body.get('model')
    if not isinstance(model, str) or not model:
        raise _bad_request('model must be text')
    stream = body.get('stream') or False
    if not isinstance(stream, bool):
        raise _bad_request('stream must be true or false')
    options = body.get('stream_options') or {}
    if not isinstance(options, dict):
        raise _bad_request('stream_options must be an object')
    return Completion(
        path=path,
        model=model,
        prompt=_parse_prompt(path, body),
        max_tokens=_parse_max_tokens(body),
        stream=stream,
        wants_usage=bool(options.get('include_usage')),
        priority=_parse_integer(body, 'priority', 0, 0, MAX_PRIORITY),
        body=body,
    )


def engine_body(
    completion: Completion,
    model: callers.Model,
    resume_text: str = '',
) -> bytes:
    """Return the request body for the engine, without the caller's key.

    With resume_text the engine continues after the text that was already
    delivered; max_tokens still counts from the start of the response.
    """
    body = dict(completion.body)
    body['model'] = model.adapter or model.engine_model
    body['cache_salt'] = model.cache_salt
    body['priority'] = completion.priority
    body.pop('max_completion_tokens', None)
    body['max_tokens'] = completion.max_tokens
    if completion.stream:
        options = dict(body.get('stream_options') or {})
        # Customers are billed by the token counts of the engine.
        body['stream_options'] = {**options, 'include_usage': True}
    body.pop('resume_text', None)
    if resume_text:
        body['resume_text'] = resume_text
    return json.dumps(body).encode()
