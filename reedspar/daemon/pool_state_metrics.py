"""Metrics of the exchange of pool state."""

from reedspar.pool_state import PoolStateExchange
from reedspar.telemetry import Metrics

__all__ = ["observe_pool_state"]


def observe_pool_state(exchange: PoolStateExchange, metrics: Metrics) -> None:
    """Let the metrics of the exchange be read at each scrape."""
    metrics.pool_state_messages.set_callback(exchange.sender.read_counts)
    metrics.pool_state_sent.set_callback(exchange.sender.read_bytes)
    metrics.pool_state_age.set_callback(lambda: exchange.state_age_s)
    metrics.pool_state_entries.set_callback(lambda: exchange.contribution_count)
    metrics.pool_state_collecting.set_callback(lambda: int(exchange.is_collecting))
