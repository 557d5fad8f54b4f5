"""Benchmarks; each compares figures that were measured in the same run."""
