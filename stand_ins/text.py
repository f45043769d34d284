"""The texts that engines write: each can be checked against its prompt, and told from any other.

Token 0 is a hash of the prompt, token 1 names the run that wrote it, the last one says how many
tokens there are, and each one between follows from prompt, run and place.
"""

import hashlib

__all__ = ["TextError", "check_text", "prompt_hash", "token_at", "tokens_wanted"]

MIN_TOKENS = 3


class TextError(ValueError):
    """Raise when a text is not the whole answer to a prompt."""


def _hex(data: str, size: int) -> str:
    return hashlib.sha256(data.encode()).hexdigest()[:size]


def prompt_hash(prompt: str) -> str:
    """Return what token 0 of an answer to this prompt is."""
    return _hex(prompt, 12)


def tokens_wanted(prompt: str, run: str, max_tokens: int, stragglers: float) -> int:
    """Return how long the answer is: mostly a quarter to a half of the most, some the whole."""
    draw = int(_hex(f"{prompt}|{run}|length", 8), 16) / 2**32
    share = 1.0 if draw < stragglers else 0.25 + 0.25 * draw
    return max(MIN_TOKENS, int(max_tokens * share))


def token_at(prompt: str, run: str, index: int, count: int) -> str:
    """Return one token of a run's answer."""
    if index == 0:
        return prompt_hash(prompt)
    if index == 1:
        return " " + run
    if index == count - 1:
        return f" <end:{count}>"
    return " " + _hex(f"{prompt}|{run}|{index}", 4)


def check_text(prompt: str, text: str) -> str:
    """Return the run that wrote the text; raise TextError unless it is whole and answers prompt."""
    words = text.split(" ")
    if words[0] != prompt_hash(prompt):
        raise TextError("the text answers another prompt")
    count = len(words)
    if count < MIN_TOKENS or words[-1] != f"<end:{count}>":
        raise TextError("the text is not whole")
    run = words[1]
    for index in range(count):
        if words[index] != token_at(prompt, run, index, count).strip():
            raise TextError(f"token {index} is not of this run")
    return run
