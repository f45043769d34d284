"""Settings that are on or off."""

import pytest
import yaml

from cranberryline.settings import GatewaySettings, load_settings_text

_ADDRESS = "127.0.0.1:8001"
_GATEWAY = {
    "vm_id": "front-1",
    "data_center": "levis",
    "store": _ADDRESS,
    "listen": _ADDRESS,
    "ready": _ADDRESS,
    "peer": _ADDRESS,
}


@pytest.mark.parametrize("value", [True, False])
def test_switch_is_read(value: bool) -> None:
    """Controls that an operator switched on would have no calls."""
    text = yaml.safe_dump({**_GATEWAY, "operator_controls": value})
    settings = load_settings_text(text, GatewaySettings, environ={}).unwrap()
    assert settings.operator_controls is value


@pytest.mark.parametrize("value", ["false", 0, 1, [], "off"])
def test_switch_takes_nothing_but_true_and_false(value: object) -> None:
    """A quoted "false" is true for Python, and would switch it on."""
    text = yaml.safe_dump({**_GATEWAY, "operator_controls": value})
    error = load_settings_text(text, GatewaySettings, environ={}).unwrap_err()
    assert [mistake.key for mistake in error.mistakes] == ["operator_controls"]
