"""Tests that span packages, and the command that runs every test."""
