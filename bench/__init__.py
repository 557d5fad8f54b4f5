"""Benchmarks; their bounds compare figures of the same run."""
