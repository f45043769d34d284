"""Decide whether gateways share the slots of a service's engines.

It answers texts of several models that meet at one engine: a gateway sees only its own ones, and
the engines of a service are slots for all of its models. With few gateways each one sees most of
the load by itself, and an exchange would only add a round trip.
"""

__all__ = ["MAX_SEPARATE_GATEWAYS", "MIN_SHARED_MODELS", "should_share"]

MAX_SEPARATE_GATEWAYS = 16
# With one model its engines queue no other trainer's texts.
MIN_SHARED_MODELS = 2


def should_share(models: int, gateways: int) -> bool:
    """Return whether to share slots of engines that serve `models` models at all live gateways."""
    return models >= MIN_SHARED_MODELS and gateways > MAX_SEPARATE_GATEWAYS
