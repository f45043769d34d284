"""Limits of the membership view."""

MAX_TEXT_LENGTH = 200
PEER_PREFIX = "tcp://"
ADDRESS_PREFIX = "http://"
# At the design size 1,200 VMs are replaced a day, so this remembers more than a month of them.
LEFT_IDS_KEPT = 50_000
INCARNATIONS_KEPT = 8
