"""Errors of the decisions: a rule that cannot be applied to what it was given."""

__all__ = ["DecisionError", "DuplicateItemError"]


class DecisionError(Exception):
    """Raise when a decision was asked for something that has no answer."""


class DuplicateItemError(DecisionError):
    """Raise when an item is queued under an id that is already held."""
