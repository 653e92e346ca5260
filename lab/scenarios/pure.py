"""Measure the decision core and the control plane without sockets."""

import msgspec

from lab import decide as decide_core
from lab import slopes as slopes_model
from lab.scenario import Options, Report

__all__ = ["decide", "slopes"]


def decide(options: Options) -> Report:
    """Return the cost of one routing decision and of one block look-up."""
    return msgspec.convert(decide_core.run(options.deployment, options.seed), Report)


def slopes(options: Options) -> Report:
    """Return control CPU, bytes and memory per node over several sizes."""
    return slopes_model.run(options.deployment, options.seed)
