"""Decisions under load, free of network, clock and log."""
