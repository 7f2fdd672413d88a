"""Tests of `reedspar.direct`."""
