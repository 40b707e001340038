"""Make the text of answers: a pure function of model and prompt."""

import re

import xxhash

_COUNT = re.compile(r'\[words=(\d+)\]')


def word(model: str, prompt: str, index: int) -> str:
    """Return one word of the answer, with the space after it.

    >>> word('m', 'a prompt', 3)
    'w3-b7e8 '
    """
    digest = xxhash.xxh64_intdigest(f'{model}\0{prompt}\0{index}'.encode())
    return f'w{index}-{digest & 0xFFFF:04x} '


def answer(model: str, prompt: str, count: int, start: int = 0) -> str:
    """Return words start to count of the answer to a prompt."""
    return ''.join(word(model, prompt, i) for i in range(start, count))


def wanted(prompt: str, max_tokens: int) -> tuple[int, str]:
    """Return how many words the whole answer has, and why it ends there.

    A prompt may ask for fewer than max_tokens.

    >>> wanted('tell me [words=3]', 10)
    (3, 'stop')
    >>> wanted('tell me', 10)
    (10, 'length')
    """
    found = _COUNT.search(prompt)
    if found and int(found[1]) < max_tokens:
        return max(int(found[1]), 1), 'stop'
    return max_tokens, 'length'


def prompt_of(body: dict) -> str:
    """Return the prompt of a completion or chat body as one text.

    >>> prompt_of({'messages': [{'content': 'a'}, {'content': 'b'}]})
    'a b'
    """
    if 'messages' in body:
        return ' '.join(str(item['content']) for item in body['messages'])
    prompt = body.get('prompt', '')
    return ' '.join(prompt) if isinstance(prompt, list) else str(prompt)
