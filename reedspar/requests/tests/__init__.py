"""Tests of requests at an entry."""
