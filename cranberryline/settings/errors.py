"""Errors of the settings."""

import attrs

__all__ = ["SettingsError", "SettingsMistake"]


@attrs.frozen
class SettingsMistake:
    """One mistake: the key, the value as written, and what would be allowed."""

    key: str
    value: str
    allowed: str

    def __str__(self) -> str:
        """Return the mistake as one line."""
        return f"{self.key}: {self.value}; allowed: {self.allowed}"


@attrs.frozen
class SettingsError:
    """All mistakes of one settings file, in the order of its keys."""

    path: str
    mistakes: tuple[SettingsMistake, ...]

    def __str__(self) -> str:
        """Return one line for each mistake, under a line that names the file."""
        count = len(self.mistakes)
        noun = "mistake" if count == 1 else "mistakes"
        lines = [f"{self.path}: {count} {noun}"]
        lines.extend(f"  {mistake}" for mistake in self.mistakes)
        return "\n".join(lines)
