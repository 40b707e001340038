"""Track a streamed response so that another engine can resume it."""

import json
import typing

import msgspec

from gentianstair import errors
from gentianstair import verdict as verdicts
from gentianstair.generated import messages
from gentianstair.util import json_codec

# Upper bound on plausible token counts in an engine's usage.
MAX_TOKEN_COUNT = 2**40
EVENT_END = b'\n\n'
DATA_PREFIX = b'data: '
DONE_EVENT = b'data: [DONE]\n\n'
_USAGE_MARKER = b'"usage"'
_FINISH_MARKERS = (b'"finish_reason": "', b'"finish_reason":"')


class Usage(typing.NamedTuple):
    """Token counts of one request.

    ``cached_tokens`` are prompt tokens found in the engine's prefix cache.
    """

    prompt_tokens: int = 0
    output_tokens: int = 0
    cached_tokens: int = 0


def parse_usage(found: typing.Any) -> Usage:
    """Return the counts of an engine's ``usage`` object.

    Raise UpstreamError if it is not valid, as customers are billed by it.

    >>> parse_usage({'prompt_tokens': 3, 'completion_tokens': 2})
    Usage(prompt_tokens=3, output_tokens=2, cached_tokens=0)
    """
    try:
        checked = msgspec.convert(found, messages.TokenUsage)
    except msgspec.ValidationError as error:
        raise _invalid_usage(str(error)) from error
    details = checked.get('prompt_tokens_details') or {}
    usage = Usage(
        checked.get('prompt_tokens') or 0,
        checked.get('completion_tokens') or 0,
        details.get('cached_tokens') or 0,
    )
    if not all(0 <= count <= MAX_TOKEN_COUNT for count in usage):
        raise _invalid_usage('a count is out of bounds')
    return usage


def _invalid_usage(why: str) -> errors.UpstreamError:
    return errors.UpstreamError(
        f'usage of another shape: {why}', verdicts.Verdict.MAY_HAVE_RUN
    )


def _cannot_resume() -> errors.RequestError:
    return errors.RequestError(
        502,
        'cannot-resume',
        'the engine was lost, and what it had sent is more than text',
        verdicts.Verdict.MAY_HAVE_RUN,
        retry_after_s=1.0,
    )


def _event_text(event: bytes) -> str:
    """Return the text that one event adds to the response.

    Raise RequestError if it adds anything else, such as a second choice or
    a tool call: an engine that resumes from the text alone would repeat or
    lose the rest, and the caller could not tell.
    """
    if not event.startswith(DATA_PREFIX):
        return ''
    try:
        body = json_codec.decode(event[len(DATA_PREFIX) :])
        choices = body.get('choices') or []
        if not choices:
            return ''
        (choice,) = choices
        delta = choice.get('delta') or {}
        text = choice.get('text') or delta.get('content') or ''
        other_fields = {name for name in delta if delta[name]} - {
            'role',
            'content',
        }
        if choice.get('index') or other_fields or not isinstance(text, str):
            raise _cannot_resume()
    except (errors.DecodeError, ValueError, TypeError, AttributeError):
        raise _cannot_resume() from None
    return text


class StreamedResponse:
    """The events of a streamed response, over one or more attempts.

    Only complete events are forwarded, so it is known what the caller has
    received. Events are stored as bytes and parsed only to resume: parsing
    each one would cost more than relaying it.

    ``delivered_tokens`` counts the events forwarded in all attempts, taking
    each as one token. ``usage`` is what the present engine reported.
    ``end_received`` is true once the engine sent its end-of-stream event.
    """

    def __init__(self, wants_usage: bool, has_one_choice: bool = True) -> None:
        self._wants_usage = wants_usage
        self._has_one_choice = has_one_choice
        self._events: list[bytes] = []
        self._partial = b''
        self._earlier_tokens = 0
        self.delivered_tokens = 0
        self.usage: Usage | None = None
        self._has_finish_reason = False
        self.end_received = False

    def feed(self, data: bytes) -> bytes:
        """Add data from the engine; return the events to forward.

        What follows the end-of-stream event belongs to no response.
        """
        if self.end_received:
            return b''
        if self._partial:
            data = self._partial + data
            self._partial = b''
        if b'\r' in data:
            data = data.replace(b'\r\n', b'\n')
        if not data.endswith(EVENT_END):
            end = data.rfind(EVENT_END) + len(EVENT_END)
            if end < len(EVENT_END):
                self._partial = data
                return b''
            self._partial = data[end:]
            data = data[:end]
        if _USAGE_MARKER in data or b'[DONE]' in data:
            data = self._extract_ending(data)
        elif any(marker in data for marker in _FINISH_MARKERS):
            self._has_finish_reason = True
        self.delivered_tokens += data.count(DATA_PREFIX)
        self._events.append(data)
        return data

    def end(self) -> None:
        """End the stream; part of an event after it is none of it."""
        self.end_received = True
        self._partial = b''

    def _extract_ending(self, data: bytes) -> bytes:
        """Return data without the usage, and up to the end of the stream."""
        forwarded = []
        for event in data.split(EVENT_END)[:-1]:
            if event == b'data: [DONE]':
                self.end()
                break
            if _USAGE_MARKER in event:
                event = self._record_usage(event)
            if any(marker in event for marker in _FINISH_MARKERS):
                self._has_finish_reason = True
            if event:
                forwarded.append(event + EVENT_END)
        return b''.join(forwarded)

    def _record_usage(self, event: bytes) -> bytes:
        """Store the usage of event; return what the caller gets of it.

        Usage alone is told at the end. Usage beside text counts from where
        this engine went on, so it is told with that of the attempts before.
        """
        try:
            body = json_codec.decode(event[len(DATA_PREFIX) :])
        except errors.DecodeError:
            return event
        if not isinstance(body, dict) or not body.get('usage'):
            return event
        self.usage = parse_usage(body['usage'])
        self._usage_body = body
        if not body.get('choices'):
            return b''
        return self._usage_event() if self._earlier_tokens else event

    def _usage_event(self, **changed: typing.Any) -> bytes:
        """Return the last event with usage, told for all attempts."""
        total = self.total_usage()
        usage = {
            **self._usage_body['usage'],
            'completion_tokens': total.output_tokens,
            'total_tokens': total.prompt_tokens + total.output_tokens,
        }
        body = {**self._usage_body, 'usage': usage, **changed}
        return DATA_PREFIX + json.dumps(body).encode()

    def resume_text(self) -> str:
        """Start a new attempt and return the text delivered before it.

        Discard a partial event. Raise RequestError if anything but text was
        delivered.
        """
        if self.delivered_tokens and not self._has_one_choice:
            raise _cannot_resume()
        self._partial = b''
        self.usage = None
        self._earlier_tokens = self.delivered_tokens
        events = b''.join(self._events).split(EVENT_END)
        return ''.join(_event_text(event) for event in events)

    @property
    def has_all_tokens(self) -> bool:
        """Return whether the last token was certainly forwarded."""
        return self._has_finish_reason and self._has_one_choice

    @property
    def attempt_tokens(self) -> int:
        """Return how many tokens the current attempt has delivered."""
        return self.delivered_tokens - self._earlier_tokens

    def attempt_usage(self, prompt_tokens: int) -> Usage:
        """Return the usage to bill for the current attempt.

        The prompt is billed only with the attempt that began the response.
        If the engine was lost before it reported usage, prompt_tokens and
        the delivered tokens are billed.
        """
        delivered = self.attempt_tokens
        if self.usage is not None:
            found = self.usage
        else:
            found = Usage(prompt_tokens if delivered else 0, delivered, 0)
        if self._earlier_tokens:
            found = Usage(0, found.output_tokens, 0)
        return found

    def total_usage(self) -> Usage:
        """Return the usage of all attempts together.

        An attempt whose engine was lost counts with the tokens it delivered.
        """
        if self.usage is None:
            return Usage(0, self.delivered_tokens, 0)
        delivered = self._earlier_tokens + self.usage.output_tokens
        return self.usage._replace(output_tokens=delivered)

    def final_events(self) -> bytes:
        """Return the last events of the response.

        Raise UpstreamError if the engine's stream is incomplete.
        """
        if not self.end_received or self._partial:
            raise errors.UpstreamError(
                'the stream ended before the answer',
                verdicts.Verdict.MAY_HAVE_RUN,
            )
        if self.usage is None or not self._wants_usage:
            return DONE_EVENT
        # Its text, if it had any, has been forwarded.
        return self._usage_event(choices=[]) + EVENT_END + DONE_EVENT


def error_event(error: errors.RequestError, request_id: str) -> bytes:
    """Return the error event that ends an incomplete stream."""
    problem = {**error.to_problem(), 'request_id': request_id}
    body = {'error': {**problem, 'message': error.detail}}
    return DATA_PREFIX + json.dumps(body).encode() + EVENT_END
