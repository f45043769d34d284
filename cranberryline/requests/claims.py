"""Claims of idempotency keys: log records, and the state derived from them."""

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
    MAX_RECORDED_BODY_BYTES,
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
    """Return the key qualified by its caller, so that no caller gets another caller's answer.

    The length prefix prevents two pairs of caller and key from producing the same text.
    """
    return f"{len(caller)}:{caller}:{key}"


def fingerprint(method: str, path: str, body: bytes) -> str:
    """Return a digest of a request, used to detect a key that is reused for another request."""
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
    """Return the record that releases a claim whose request never ran and never will."""
    return {
        ATTR_KIND: KIND_ABANDON,
        ATTR_KEY: key,
        ATTR_CLAIM_ID: claim_id,
        ATTR_SIDE_INCARNATION: side_incarnation,
    }


def outcome_record(
    key: str, claim_id: str, side_incarnation: str, outcome: ClaimOutcome
) -> dict[str, Any]:
    """Return the record that settles a claim with its answer.

    A body of more than `MAX_RECORDED_BODY_BYTES` is left out.
    """
    data: dict[str, Any] = {
        ATTR_KIND: KIND_OUTCOME,
        ATTR_KEY: key,
        ATTR_CLAIM_ID: claim_id,
        ATTR_SIDE_INCARNATION: side_incarnation,
        ATTR_STATUS: outcome.status,
        ATTR_HEADERS: [list(header) for header in outcome.headers],
        ATTR_DIGEST: outcome.digest,
    }
    if outcome.body is not None and len(outcome.body) <= MAX_RECORDED_BODY_BYTES:
        data[ATTR_BODY] = base64.b64encode(outcome.body).decode()
    return data


def outcome_from_record(data: dict[str, Any]) -> Result[ClaimOutcome, RecordFault]:
    """Return the answer stored in a record, or a fault if the record is invalid."""
    try:
        body = data.get(ATTR_BODY)
        outcome = ClaimOutcome(
            status=int(data[ATTR_STATUS]),
            headers=tuple((str(name), str(value)) for name, value in data[ATTR_HEADERS]),
            body=None if body is None else base64.b64decode(body, validate=True),
            digest=str(data.get(ATTR_DIGEST, "")),
        )
    except (KeyError, TypeError, ValueError, binascii.Error) as exc:
        return Err(RecordFault(f"invalid outcome record: {exc!r}"))
    return Ok(outcome)


@attrs.define
class ClaimFold:
    """State derived from the records of the stream `claims.<service>`.

    The result depends on the records only, so all processes that read the stream agree. A claim
    becomes the active claim of its key if and only if the key has none at the claim's offset. A
    claim that does not is void: its owner refuses the caller's request, so the claim must not
    become active later, even if the active one is abandoned. Answers stay in the log; only their
    offsets are kept here.
    """

    window: timedelta = DEFAULT_CLAIM_WINDOW  # claims expire this long after their log time
    next_offset: int = 1  # offset of the next record to apply
    invalid_records: int = 0  # number of records that were skipped
    _active: dict[str, Claim] = attrs.field(factory=dict)  # by key, in log order
    _seen: dict[str, datetime] = attrs.field(factory=dict)  # log time by claim id
    _latest_time: datetime | None = None

    def apply_page(self, page: LogPage) -> None:
        """Apply the records of a page in order and drop claims that the log no longer holds.

        A process that starts now can't read records below `page.first`. A process that read them
        earlier must drop them too; otherwise the two would disagree on the active claim of a key
        and both could run the request.
        """
        self._drop_below(page.first)
        for record in page.records:
            if record.offset >= self.next_offset:
                self._apply(record)
                self.next_offset = record.offset + 1
        self.next_offset = max(self.next_offset, page.next)

    def active_claim(self, key: str) -> Claim | None:
        """Return the active claim of a key, or None."""
        return self._active.get(key)

    def is_active(self, key: str, claim_id: str) -> bool:
        """Return whether this claim is the active claim of its key."""
        claim = self._active.get(key)
        return claim is not None and claim.claim_id == claim_id

    def has_seen(self, claim_id: str) -> bool:
        """Return whether a claim was read from the log within the window, active or not."""
        return claim_id in self._seen

    @property
    def latest_time(self) -> datetime | None:
        """Return the latest record time read from the log; windows are measured on this clock."""
        return self._latest_time

    def _apply(self, record: LogRecord) -> None:
        self._expire_claims(record.time)
        data = record.data
        kind, key, claim_id = (data.get(name) for name in (ATTR_KIND, ATTR_KEY, ATTR_CLAIM_ID))
        owner = data.get(ATTR_SIDE_INCARNATION)
        fields = (key, claim_id, owner)
        if not all(isinstance(field, str) and 0 < len(field) <= MAX_KEY_LENGTH for field in fields):
            self.invalid_records += 1
            return
        if kind == KIND_CLAIM:
            self._apply_claim(record, key, claim_id, owner)
        elif kind == KIND_ABANDON:
            self._apply_abandon(key, claim_id, owner)
        elif kind == KIND_OUTCOME:
            self._apply_outcome(record, key, claim_id, owner)
        else:
            self.invalid_records += 1

    def _apply_claim(self, record: LogRecord, key: str, claim_id: str, owner: str) -> None:
        digest, budget_ms = record.data.get(ATTR_FINGERPRINT), record.data.get(ATTR_BUDGET_MS)
        if not isinstance(digest, str) or not isinstance(budget_ms, int) or budget_ms < 0:
            self.invalid_records += 1
            return
        # An append that is retried after a lost answer can write a claim twice. The second copy
        # must not become active after the first was abandoned: it would block the key.
        if claim_id in self._seen:
            return
        self._seen[claim_id] = self._latest_time
        if key not in self._active:
            budget = timedelta(milliseconds=budget_ms)
            self._active[key] = Claim(
                key, claim_id, owner, digest, record.offset, self._latest_time, budget
            )

    def _apply_abandon(self, key: str, claim_id: str, owner: str) -> None:
        # An abandon can precede the delayed append of its own claim, which must then be ignored.
        self._seen.setdefault(claim_id, self._latest_time)
        claim = self._active.get(key)
        if claim is None or claim.claim_id != claim_id or claim.side_incarnation != owner:
            return
        # A settled claim has run; abandoning it is an error and would allow a second run.
        if claim.state is ClaimState.CLAIMED:
            del self._active[key]

    def _apply_outcome(self, record: LogRecord, key: str, claim_id: str, owner: str) -> None:
        claim = self._active.get(key)
        if claim is None or claim.claim_id != claim_id or claim.side_incarnation != owner:
            return
        if claim.state is ClaimState.CLAIMED:
            self._active[key] = attrs.evolve(
                claim, state=ClaimState.SETTLED, outcome_offset=record.offset
            )

    def _expire_claims(self, time: datetime) -> None:
        self._latest_time = time if self._latest_time is None else max(self._latest_time, time)
        limit = self._latest_time - self.window
        for key in _expired_keys(self._active, limit):
            del self._active[key]
        for claim_id in _expired_claim_ids(self._seen, limit):
            del self._seen[claim_id]

    def _drop_below(self, first: int) -> None:
        dropped = [key for key, claim in self._active.items() if claim.offset < first]
        for key in dropped:
            del self._active[key]


def _expired_keys(active: dict[str, Claim], limit: datetime) -> list[str]:
    # Claims are inserted in log order, so the expired ones come first.
    expired = []
    for key, claim in active.items():
        if claim.time >= limit:
            break
        expired.append(key)
    return expired


def _expired_claim_ids(seen: dict[str, datetime], limit: datetime) -> list[str]:
    expired = []
    for claim_id, time in seen.items():
        if time >= limit:
            break
        expired.append(claim_id)
    return expired
