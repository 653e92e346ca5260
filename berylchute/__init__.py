"""Steer requests from callers to backend servers across regions."""

__all__ = ["__version__"]

__version__ = "0.1.0"
