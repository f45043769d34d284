"""The fit that tells constant, linear and worse growth apart."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bench.capacity.fit import fit

SIZES = (10, 20, 40, 80)


@given(st.floats(0, 1000), st.floats(0.1, 100))
def test_a_line_is_found_again(base: float, slope: float) -> None:
    """The value at another size follows from base and slope."""
    fitted = fit(SIZES, [base + slope * size for size in SIZES])
    assert fitted.base == pytest.approx(base, abs=1e-6 * (base + slope * 80))
    assert fitted.slope == pytest.approx(slope, rel=1e-6)
    assert fitted.worst_error < 1e-6
    if fitted.shape != "constant":
        assert fitted.shape == "linear"
        assert fitted.at(7300) == pytest.approx(base + slope * 7300, rel=1e-6)


@given(st.floats(1, 1000), st.lists(st.floats(-0.04, 0.04), min_size=4, max_size=4))
def test_what_only_varies_a_little_is_constant(value: float, noise: list[float]) -> None:
    """Noise of a few hundredths is no growth, and is not drawn out to a far size."""
    fitted = fit(SIZES, [value * (1 + share) for share in noise])
    assert fitted.shape == "constant"
    assert fitted.at(7300) == pytest.approx(value, rel=0.05)


@pytest.mark.parametrize(
    ("exponent", "shape"), [(0.5, "sublinear"), (0.7, "sublinear"), (1, "linear")]
)
def test_growth_is_named(exponent: float, shape: str) -> None:
    """Growth at most linear is named by its exponent."""
    assert fit(SIZES, [size**exponent for size in SIZES]).shape == shape


@given(st.floats(1.6, 3))
def test_growth_worse_than_linear_is_told(exponent: float) -> None:
    """Growth well above linear is never called linear."""
    assert fit(SIZES, [size**exponent for size in SIZES]).shape == "superlinear"


def test_zeros_are_constant() -> None:
    """A figure that is always zero has no growth."""
    fitted = fit(SIZES, [0.0] * 4)
    assert (fitted.shape, fitted.at(7300)) == ("constant", 0.0)


def test_slow_growth_is_not_taken_for_none() -> None:
    """Growth that levels off is sublinear, and the line is kept as the bound above it."""
    fitted = fit((12, 24, 48, 96), [44.0, 106.0, 165.0, 192.0])
    assert fitted.shape == "sublinear"
    assert fitted.at(770) > 1000
