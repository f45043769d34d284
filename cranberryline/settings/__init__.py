"""Settings of one process: a YAML file, checked whole before anything starts."""

from .errors import SettingsError, SettingsMistake
from .loader import load_settings, load_settings_text
from .model import EntrySettings, GatewaySettings, SideSettings

__all__ = [
    "EntrySettings",
    "GatewaySettings",
    "SettingsError",
    "SettingsMistake",
    "SideSettings",
    "load_settings",
    "load_settings_text",
]
