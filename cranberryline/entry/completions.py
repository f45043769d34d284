"""What an entry reads of a completion request."""

import attrs
import msgspec
from result import Err, Ok, Result

__all__ = ["CHARS_PER_TOKEN", "PREFIX_CHARS", "CompletionCall", "read_completion"]

DEFAULT_MAX_TOKENS = 256
CHARS_PER_TOKEN = 4  # estimates the length of a prompt in tokens
# Requests whose prompts share this many leading characters go to the engine that has that prefix
# in its cache. The samples of one group share the whole prompt.
PREFIX_CHARS = 256
_MAX_DIGITS = 18
_MAX_BYTES_PER_CHAR = 4


@attrs.frozen
class CompletionCall:
    """The model, the expected tokens of prompt and text, and what the prompt begins with."""

    model: str
    tokens: int
    prefix: str


class _Body(msgspec.Struct):
    """The fields that matter, undecoded.

    The body is passed on as it is. Decoded, a prompt of many short elements would take thirty times
    its length.
    """

    model: msgspec.Raw = msgspec.Raw(b"null")
    max_tokens: msgspec.Raw = msgspec.Raw(str(DEFAULT_MAX_TOKENS).encode())
    prompt: msgspec.Raw = msgspec.Raw(b"")
    messages: msgspec.Raw = msgspec.Raw(b"")


_DECODER = msgspec.json.Decoder(_Body)


def read_completion(body: bytes) -> Result[CompletionCall, str]:
    """Read a completion request; the error says what is wrong with it."""
    try:
        read = _DECODER.decode(body)
        model = msgspec.json.decode(read.model, type=str)
    except msgspec.ValidationError:
        return Err("the body must be an object with a model")
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return Err("the body is not JSON")
    max_tokens = _whole_number(bytes(read.max_tokens))
    if max_tokens is None:
        return Err("max_tokens must be a whole number above 0")
    length, prefix = _prompt_of(read)
    return Ok(CompletionCall(model, max_tokens + length // CHARS_PER_TOKEN, prefix))


def _whole_number(raw: bytes) -> int | None:
    if len(raw) > _MAX_DIGITS or not raw.isdigit():
        return None
    return int(raw) or None


def _prompt_of(read: _Body) -> tuple[int, str]:
    """Return the length and the first characters of a prompt, or of the messages in place of one."""
    if memoryview(read.prompt)[:1] == b'"':
        text = msgspec.json.decode(read.prompt, type=str)
        return len(text), text[:PREFIX_CHARS]
    raw = memoryview(read.messages or read.prompt)
    first = bytes(raw[: PREFIX_CHARS * _MAX_BYTES_PER_CHAR]).decode("utf-8", "ignore")
    return len(raw), first[:PREFIX_CHARS]
