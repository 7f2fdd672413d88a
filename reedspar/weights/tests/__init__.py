"""Tests of weights: manifests, distribution, activation."""
