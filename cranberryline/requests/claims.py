"""The fold of a service's claims: which claim of an idempotency key may run."""

import base64
import binascii
import hashlib
from datetime import datetime, timedelta
from typing import Any

import attrs
from result import Err, Ok, Result

from cranberryline.ports.model import LogPage, LogRecord

from .const import (
    ATTR_BODY,
    ATTR_BUDGET_MS,
    ATTR_CLAIM_ID,
    ATTR_DIGEST,
    ATTR_FINGERPRINT,
    ATTR_HEADERS,
    ATTR_KEY,
    ATTR_KIND,
    ATTR_SIDE_INCARNATION,
    ATTR_STATUS,
    DEFAULT_CLAIM_WINDOW,
    KIND_ABANDON,
    KIND_CLAIM,
    KIND_OUTCOME,
    MAX_KEY_LENGTH,
    MAX_RECORDED_BODY,
)
from .errors import RecordFault
from .model import Claim, ClaimOutcome, ClaimState

__all__ = [
    "ClaimFold",
    "abandon_record",
    "claim_record",
    "fingerprint",
    "outcome_from_record",
    "outcome_record",
    "scoped_key",
]


def scoped_key(caller: str, key: str) -> str:
    """Return a key that two callers can't share, so that neither gets the other's answer."""
    return f"{len(caller)}:{caller}:{key}"


def fingerprint(method: str, path: str, body: bytes) -> str:
    """Return a digest of a request, by which a key used for another request is noticed."""
    digest = hashlib.sha256()
    for part in (method.upper().encode(), path.encode(), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


def claim_record(
    key: str, claim_id: str, side_incarnation: str, request_digest: str, budget: timedelta
) -> dict[str, Any]:
    """Return the record that claims a key."""
    return {
        ATTR_KIND: KIND_CLAIM,
        ATTR_KEY: key,
        ATTR_CLAIM_ID: claim_id,
        ATTR_SIDE_INCARNATION: side_incarnation,
        ATTR_FINGERPRINT: request_digest,
        ATTR_BUDGET_MS: int(budget / timedelta(milliseconds=1)),
    }


def abandon_record(key: str, claim_id: str, side_incarnation: str) -> dict[str, Any]:
    """Return the record that gives up a claim which never ran and never will."""
    return {
        ATTR_KIND: KIND_ABANDON,
        ATTR_KEY: key,
        ATTR_CLAIM_ID: claim_id,
        ATTR_SIDE_INCARNATION: side_incarnation,
    }


def outcome_record(
    key: str, claim_id: str, side_incarnation: str, outcome: ClaimOutcome
) -> dict[str, Any]:
    """Return the record that settles a claim with its answer."""
    data: dict[str, Any] = {
        ATTR_KIND: KIND_OUTCOME,
        ATTR_KEY: key,
        ATTR_CLAIM_ID: claim_id,
        ATTR_SIDE_INCARNATION: side_incarnation,
        ATTR_STATUS: outcome.status,
        ATTR_HEADERS: [list(header) for header in outcome.headers],
        ATTR_DIGEST: outcome.digest,
    }
    if outcome.body is not None and len(outcome.body) <= MAX_RECORDED_BODY:
        data[ATTR_BODY] = base64.b64encode(outcome.body).decode()
    return data


def outcome_from_record(data: dict[str, Any]) -> Result[ClaimOutcome, RecordFault]:
    """Read an answer back from its record."""
    try:
        body = data.get(ATTR_BODY)
        outcome = ClaimOutcome(
            status=int(data[ATTR_STATUS]),
            headers=tuple((str(name), str(value)) for name, value in data[ATTR_HEADERS]),
            body=None if body is None else base64.b64decode(body, validate=True),
            digest=str(data.get(ATTR_DIGEST, "")),
        )
    except (KeyError, TypeError, ValueError, binascii.Error) as exc:
        return Err(RecordFault(f"not an outcome: {exc!r}"))
    return Ok(outcome)


@attrs.define
class ClaimFold:
    """Fold the stream `claims.<service>`; every process that reads it decides the same.

    A claim wins if and only if no other claim of its key stands at its own offset. A claim that
    loses is void for good: its owner tells its caller so, and it never stands later, even when
    the winner is abandoned. Bodies stay on the log; the fold keeps their offsets only.
    """

    window: timedelta = DEFAULT_CLAIM_WINDOW
    next: int = 1
    faults: int = 0
    _standing: dict[str, Claim] = attrs.field(factory=dict)
    _seen: dict[str, datetime] = attrs.field(factory=dict)
    _time: datetime | None = None

    def apply_page(self, page: LogPage) -> None:
        """Apply the records of a page in order, and forget what the log itself forgot.

        A process that starts now knows nothing below `page.first`. One that ran for longer must
        forget as much, or the two would disagree on who holds a key and both could run it.
        """
        self._forget_below(page.first)
        for record in page.records:
            if record.offset >= self.next:
                self._apply(record)
                self.next = record.offset + 1
        self.next = max(self.next, page.next)

    def standing(self, key: str) -> Claim | None:
        """Return the claim that holds a key, or None."""
        return self._standing.get(key)

    def wins(self, key: str, claim_id: str) -> bool:
        """Return whether this very claim holds its key."""
        claim = self._standing.get(key)
        return claim is not None and claim.claim_id == claim_id

    def has_seen(self, claim_id: str) -> bool:
        """Return whether a claim has been read, whatever became of it."""
        return claim_id in self._seen

    @property
    def time(self) -> datetime | None:
        """Return the newest time that the log gave to a record."""
        return self._time

    def _apply(self, record: LogRecord) -> None:
        self._advance(record.time)
        data = record.data
        kind, key, claim_id = (data.get(name) for name in (ATTR_KIND, ATTR_KEY, ATTR_CLAIM_ID))
        owner = data.get(ATTR_SIDE_INCARNATION)
        texts = (key, claim_id, owner)
        if not all(isinstance(text, str) and 0 < len(text) <= MAX_KEY_LENGTH for text in texts):
            self.faults += 1
            return
        if kind == KIND_CLAIM:
            self._apply_claim(record, key, claim_id, owner)
        elif kind == KIND_ABANDON:
            self._apply_abandon(key, claim_id, owner)
        elif kind == KIND_OUTCOME:
            self._apply_outcome(record, key, claim_id, owner)
        else:
            self.faults += 1

    def _apply_claim(self, record: LogRecord, key: str, claim_id: str, owner: str) -> None:
        print_, budget_ms = record.data.get(ATTR_FINGERPRINT), record.data.get(ATTR_BUDGET_MS)
        if not isinstance(print_, str) or not isinstance(budget_ms, int) or budget_ms < 0:
            self.faults += 1
            return
        # An append that is repeated after a lost answer puts one claim on the log twice. The
        # second copy could stand after the first was abandoned and block the key for everyone.
        if claim_id in self._seen:
            return
        self._seen[claim_id] = self._time
        if key not in self._standing:
            budget = timedelta(milliseconds=budget_ms)
            self._standing[key] = Claim(
                key, claim_id, owner, print_, record.offset, self._time, budget
            )

    def _apply_abandon(self, key: str, claim_id: str, owner: str) -> None:
        # An abandon can overtake the late append of its own claim, which must not stand after it.
        self._seen.setdefault(claim_id, self._time)
        claim = self._standing.get(key)
        if claim is None or claim.claim_id != claim_id or claim.side_incarnation != owner:
            return
        # A settled claim has run; an abandon of it is a mistake and would let the key run again.
        if claim.state is ClaimState.CLAIMED:
            del self._standing[key]

    def _apply_outcome(self, record: LogRecord, key: str, claim_id: str, owner: str) -> None:
        claim = self._standing.get(key)
        if claim is None or claim.claim_id != claim_id or claim.side_incarnation != owner:
            return
        if claim.state is ClaimState.CLAIMED:
            self._standing[key] = attrs.evolve(
                claim, state=ClaimState.SETTLED, outcome_offset=record.offset
            )

    def _advance(self, time: datetime) -> None:
        self._time = time if self._time is None else max(self._time, time)
        limit = self._time - self.window
        for key in _older(self._standing, limit):
            del self._standing[key]
        for claim_id in _older_ids(self._seen, limit):
            del self._seen[claim_id]

    def _forget_below(self, first: int) -> None:
        gone = [key for key, claim in self._standing.items() if claim.offset < first]
        for key in gone:
            del self._standing[key]


def _older(standing: dict[str, Claim], limit: datetime) -> list[str]:
    # Claims are kept in log order, so the expired ones come first.
    expired = []
    for key, claim in standing.items():
        if claim.time >= limit:
            break
        expired.append(key)
    return expired


def _older_ids(seen: dict[str, datetime], limit: datetime) -> list[str]:
    expired = []
    for claim_id, time in seen.items():
        if time >= limit:
            break
        expired.append(claim_id)
    return expired
