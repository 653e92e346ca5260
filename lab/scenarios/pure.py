"""Measure routing decisions and the control plane without sockets."""

import msgspec

from lab import decide as decide_core
from lab import slopes as slopes_model
from lab.scenario import Options, Report

__all__ = ["decide", "slopes"]


def decide(options: Options) -> Report:
    """Return the CPU time of a routing decision and of a client block look-up."""
    return msgspec.convert(decide_core.run(options.deployment, options.seed), Report)


def slopes(options: Options) -> Report:
    """Return CPU time, bytes and memory of the control plane per node at several fleet sizes."""
    return slopes_model.run(options.deployment, options.seed)
