"""The weights package."""
