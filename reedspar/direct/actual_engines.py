"""Engine parameters as a target itself tells them."""

from dataclasses import replace

from reedspar.routes import EngineParameters

from .loads import TargetLoad

__all__ = ["find_actual_engine"]


def find_actual_engine(engine: EngineParameters, load: TargetLoad) -> EngineParameters:
    """Return the configured parameters with the slots that the target has reported.

    A configuration that is out of date would have sound requests refused.
    """
    slots = load.report.slots if load.report is not None else 0
    if slots in (0, engine.slots):
        return engine
    return replace(engine, slots=slots)
