"""Parse the envelope of a configuration record: kind, name, schema, amends, spec, author."""

import re
from typing import Any

import attrs
from result import Err, Ok, Result

from .const import (
    ATTR_AMENDS,
    ATTR_AUTHOR,
    ATTR_KIND,
    ATTR_NAME,
    ATTR_SCHEMA,
    ATTR_SPEC,
    MAX_TEXT_LENGTH,
    MAX_VERSION,
)
from .errors import Mistake, RejectReason
from .fields import Field, choice, integer, name_field, read_fields
from .model import Kind, Spec
from .schema import known_schemas, read_spec

__all__ = ["Amendment", "EnvelopeError", "read_amendment", "read_amendment_spec"]

OPERATOR_KINDS = [kind.value for kind in Kind if kind is not Kind.CHECKPOINT]
ID_PATTERN = re.compile(r"[!-~]{1,200}")
RECORD_ID = Field(
    "1..200 printable ASCII characters without spaces",
    lambda value: isinstance(value, str) and bool(ID_PATTERN.fullmatch(value)),
)
AUTHOR = Field(
    f"a string of at most {MAX_TEXT_LENGTH} printable characters",
    lambda v: isinstance(v, str) and len(v) <= MAX_TEXT_LENGTH and v.isprintable(),
    "",
)
ENVELOPE = {
    ATTR_KIND: choice(OPERATOR_KINDS),
    ATTR_NAME: name_field(),
    ATTR_SCHEMA: integer(1, MAX_VERSION),
    ATTR_AMENDS: integer(0, MAX_VERSION, 0),
    ATTR_SPEC: Field("a mapping, or null to delete", lambda v: v is None or isinstance(v, dict)),
    ATTR_AUTHOR: AUTHOR,
}


@attrs.frozen
class Amendment:
    """A record published by an operator.

    `amends` is the revision that it replaces, 0 if there is none. `raw` is the spec as written, or
    None if the record deletes the name.
    """

    kind: Kind
    name: str
    schema: int
    amends: int
    raw: dict[str, Any] | None
    author: str = ""

    def as_dict(self) -> dict[str, Any]:
        """Return the record in the form that it has on the log."""
        return {
            ATTR_KIND: self.kind.value,
            ATTR_NAME: self.name,
            ATTR_SCHEMA: self.schema,
            ATTR_AMENDS: self.amends,
            ATTR_SPEC: self.raw,
            ATTR_AUTHOR: self.author,
        }


@attrs.frozen
class EnvelopeError:
    """The reason why a record cannot be read.

    `amendment` is set if the envelope is valid and only the spec could not be read.
    """

    reason: RejectReason
    detail: str
    mistakes: tuple[Mistake, ...] = ()
    amendment: Amendment | None = None


def read_amendment(data: Any) -> Result[Amendment, EnvelopeError]:
    """Parse a record's envelope; its spec is not validated."""
    values, mistakes = read_fields(data, ENVELOPE)
    if mistakes:
        reason = RejectReason.MALFORMED
        if isinstance(data, dict) and [mistake.key for mistake in mistakes] == [ATTR_KIND]:
            reason = RejectReason.UNKNOWN_KIND
        return Err(EnvelopeError(reason, "not a configuration record", tuple(mistakes)))
    return Ok(
        Amendment(
            Kind(values[ATTR_KIND]),
            values[ATTR_NAME],
            values[ATTR_SCHEMA],
            values[ATTR_AMENDS],
            values[ATTR_SPEC],
            values[ATTR_AUTHOR],
        )
    )


def read_amendment_spec(amendment: Amendment) -> Result[Spec | None, EnvelopeError]:
    """Parse and validate the spec of an amendment; return None if it deletes the record."""
    known = known_schemas(amendment.kind)
    if amendment.schema not in known:
        allowed = "one of " + ", ".join(str(version) for version in known)
        detail = (
            f"schema {amendment.schema} of kind {amendment.kind.value} is not known here; "
            f"known: {', '.join(str(version) for version in known)}"
        )
        mistake = Mistake(ATTR_SCHEMA, amendment.schema, allowed)
        return Err(EnvelopeError(RejectReason.UNKNOWN_SCHEMA, detail, (mistake,), amendment))
    if amendment.raw is None:
        return Ok(None)
    match read_spec(amendment.kind, amendment.schema, amendment.raw):
        case Ok(spec):
            return Ok(spec)
        case Err(mistakes):
            prefixed = tuple(attrs.evolve(m, key=f"{ATTR_SPEC}.{m.key}") for m in mistakes)
            return Err(
                EnvelopeError(RejectReason.INVALID, "the spec is not valid", prefixed, amendment)
            )
