"""Small stand-ins of the platform for trials and tests; not the product."""
