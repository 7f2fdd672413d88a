"""Weight distribution for bursts: entry daemons, target agents and what they share."""

__version__ = "0.1.0"
