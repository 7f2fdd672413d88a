"""Tests of `reedspar.routes`."""
