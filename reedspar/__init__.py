"""Distribution of model weights, and routing of requests to the targets that serve."""

__version__ = "0.1.0"
