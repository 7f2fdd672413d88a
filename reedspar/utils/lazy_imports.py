"""Lazy import of submodules when one of their names is first accessed."""

from collections.abc import Callable, Mapping, Sequence
from importlib import import_module

__all__ = ["create_lazy_getattr"]


def create_lazy_getattr(
    package: str, names_by_module: Mapping[str, Sequence[str]]
) -> Callable[[str], object]:
    """Create a package `__getattr__` that imports submodules on first access.

    This reduces startup time, since a daemon uses only some modules of each package.
    """
    module_by_name = {
        name: module for module, names in names_by_module.items() for name in names
    }

    def get_attribute(name: str) -> object:
        module = module_by_name.get(name)
        if module is None:
            raise AttributeError(f"module {package!r} has no attribute {name!r}")
        return getattr(import_module(f"{package}.{module}"), name)

    return get_attribute
