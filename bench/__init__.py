"""Measurements; each prints ratios taken in one run."""
