"""Tests of loading and reloading settings."""
