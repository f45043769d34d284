"""Errors that decisions raise for invalid input."""

__all__ = ["DecisionError", "DuplicateItemError"]


class DecisionError(Exception):
    """Raised when a decision is not possible for the given input."""


class DuplicateItemError(DecisionError):
    """Raised when a work item is added under an id that is already in use."""
