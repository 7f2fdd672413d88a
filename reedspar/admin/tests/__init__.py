"""Tests of the operators' HTTP interface."""
