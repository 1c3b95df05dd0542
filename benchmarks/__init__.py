"""Benchmarks with regression bounds; run with ``python -m benchmarks``."""
