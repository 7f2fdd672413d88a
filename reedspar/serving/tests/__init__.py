"""Tests of the HTTP server."""
