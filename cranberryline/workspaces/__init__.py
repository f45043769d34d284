"""Workspaces: which one a caller's key belongs to, and what a workspace may reach."""

from .access import KeyCheck, KeyProblem
from .model import Workspace, WorkspaceTable, key_digest, may_access

__all__ = [
    "KeyCheck",
    "KeyProblem",
    "Workspace",
    "WorkspaceTable",
    "key_digest",
    "may_access",
]
