"""A small queueing model of entries, side processes and engines on a virtual clock."""
