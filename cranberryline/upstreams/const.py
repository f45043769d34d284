"""Limits of the membership."""

MAX_TEXT_LENGTH = 200
PEER_PREFIX = "tcp://"
ADDRESS_PREFIX = "http://"
# Covers more than a month at the design size, where 1,200 VMs are replaced per day.
MAX_LEFT_IDS = 50_000
MAX_SUPERSEDED_INCARNATIONS = 8
