"""Simulated platform services for trials, tests and benchmarks; not for production."""
