"""Tests that span several packages, and the test runner."""
