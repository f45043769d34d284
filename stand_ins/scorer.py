"""The scoring service: a score that follows from the text alone."""

import hashlib
from typing import Any

from .http import Controls, Handler, StandIn

__all__ = ["ScorerStandIn", "score_of"]


def score_of(text: str) -> float:
    """Return the score of a text, from 0 to 1, so that anyone can check it."""
    return int.from_bytes(hashlib.sha256(text.encode()).digest()[:4], "big") / 2**32


class ScorerStandIn(StandIn):
    """The scoring service."""

    def __init__(self, controls: Controls) -> None:
        super().__init__(controls)
        self.scored = 0

    def journal(self) -> Any:
        """Tell how many were scored."""
        return {"scored": self.scored}

    def routes(self) -> list[Any]:
        """Return the scorer's one route."""
        return [(r"/score", _ScoreHandler, {"stand_in": self})]


class _ScoreHandler(Handler):
    """Score one sample."""

    def post(self) -> None:
        """Answer the score of the text."""
        self.stand_in.scored += 1
        self.answer({"score": score_of(self.payload()["text"])})
