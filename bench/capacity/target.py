"""The size to design for, from which each measurement takes its target."""

__all__ = [
    "DATA_CENTERS",
    "ENTRIES",
    "PER_UPSTREAM",
    "REQUESTS_PER_S",
    "SAMPLES_PER_STEP",
    "SAMPLERS",
    "SIDES_PER_ENTRY",
    "TRAINERS",
]

from cranberryline.decisions.subset import DEFAULT_PER_UPSTREAM

ENTRIES = 770
SAMPLERS = 7_300
DATA_CENTERS = 13
TRAINERS = 20
SAMPLES_PER_STEP = 8_192
REQUESTS_PER_S = 29_000
PER_UPSTREAM = DEFAULT_PER_UPSTREAM
SIDES_PER_ENTRY = round(PER_UPSTREAM * SAMPLERS / ENTRIES)
