"""The samples package."""
