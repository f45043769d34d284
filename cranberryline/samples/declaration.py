"""Validation of the JSON with which a trainer declares a step."""

from typing import Any

from result import Err, Ok, Result

from .const import MAX_GROUPS, MAX_SAMPLES_PER_STEP, MAX_TOKENS_PER_SAMPLE
from .errors import DeclarationError
from .model import GroupDeclaration, StepDeclaration

__all__ = ["read_declaration"]


def read_declaration(
    trainer: str, step: int, data: Any
) -> Result[StepDeclaration, DeclarationError]:
    """Return the declaration, or the first invalid field and what it allows."""
    if not isinstance(data, dict):
        return Err(DeclarationError("body", "a JSON object"))
    service, groups = data.get("service"), data.get("groups")
    if not isinstance(service, str) or not service:
        return Err(DeclarationError("service", "the name of an engine service"))
    if not isinstance(groups, list) or not 0 < len(groups) <= MAX_GROUPS:
        return Err(DeclarationError("groups", f"a list of 1 to {MAX_GROUPS} groups"))
    read: list[GroupDeclaration] = []
    for number, group in enumerate(groups):
        result = _read_group(f"groups[{number}]", group)
        if isinstance(result, Err):
            return result
        read.append(result.unwrap())
    if sum(group.n for group in read) > MAX_SAMPLES_PER_STEP:
        return Err(DeclarationError("groups", f"{MAX_SAMPLES_PER_STEP} samples at most"))
    return Ok(StepDeclaration(trainer, step, service, tuple(read)))


def _read_group(field: str, data: Any) -> Result[GroupDeclaration, DeclarationError]:
    if not isinstance(data, dict):
        return Err(DeclarationError(field, "a JSON object"))
    prompt = data.get("prompt")
    if not isinstance(prompt, str) or not prompt:
        return Err(DeclarationError(f"{field}.prompt", "a text that is not empty"))
    for name, limit in (("n", MAX_SAMPLES_PER_STEP), ("max_tokens", MAX_TOKENS_PER_SAMPLE)):
        value = data.get(name)
        if type(value) is not int or not 0 < value <= limit:
            return Err(DeclarationError(f"{field}.{name}", f"a whole number from 1 to {limit}"))
    return Ok(GroupDeclaration(prompt, data["n"], data["max_tokens"]))
