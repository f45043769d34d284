"""Tests of what is pure in the benchmarks."""
