"""Hash the blocks of a prompt as the engines' prefix caches do."""

import collections.abc
import struct

import xxhash

from gentianstair.entry import work

_HASH = struct.Struct('<Q')


def block_hashes(
    tokens: collections.abc.Sequence[str],
    salt: str = '',
    block_tokens: int = work.BLOCK_TOKENS,
) -> tuple[int, ...]:
    """Return the chained hash of each full block of tokens.

    A hash covers the salt, all earlier blocks and the block's own tokens.
    Equal hashes thus mean equal prefixes, and blocks with different salts,
    such as those of two customers, never match.

    >>> tokens = ['word'] * 130
    >>> len(block_hashes(tokens)), len(block_hashes(tokens[:63]))
    (2, 0)
    >>> block_hashes(tokens[:64]) == block_hashes(tokens)[:1]
    True
    >>> block_hashes(tokens, 'burlwood') == block_hashes(tokens, 'other')
    False
    """
    hashes = []
    previous = xxhash.xxh64_intdigest(salt.encode())
    whole = len(tokens) - len(tokens) % block_tokens
    for start in range(0, whole, block_tokens):
        text = '\0'.join(tokens[start : start + block_tokens])
        data = _HASH.pack(previous) + text.encode()
        previous = xxhash.xxh64_intdigest(data)
        hashes.append(previous)
    return tuple(hashes)
