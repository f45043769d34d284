"""Small stand-ins for what the platform gives; never imported by the product."""
