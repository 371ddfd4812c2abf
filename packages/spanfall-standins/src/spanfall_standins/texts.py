"""Make token texts that depend only on the prompt and the offset.

So an answer that was resumed or moved can be compared with the whole one.
"""

from functools import lru_cache

from xxhash import xxh3_64_intdigest

WORDS = (
    'ice',
    'hall',
    'crate',
    'resurface',
    'depot',
    'museum',
    'late',
    'flood',
    'rink',
    'ticket',
    'scan',
    'über',
    'señal',
    'blade',
    'touring',
    'shift',
)
#: Answers are this long unless the caller's limit is lower.
NATURAL_TOKENS = 100_000


@lru_cache(maxsize=4096)
def prompt_seed(prompt: str) -> int:
    """Return the number that stands for a prompt."""
    return xxh3_64_intdigest(prompt.encode())


def token_text(seed: int, offset: int) -> str:
    """Return the text of the token at an offset."""
    number = xxh3_64_intdigest(offset.to_bytes(8, 'little'), seed=seed)
    return f'{WORDS[number % len(WORDS)]}{number % 97} '


def whole_text(prompt: str, tokens: int) -> str:
    """Return the whole answer to a prompt."""
    seed = prompt_seed(prompt)
    return ''.join(token_text(seed, offset) for offset in range(tokens))
