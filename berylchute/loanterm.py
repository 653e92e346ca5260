"""Choose the term of a loan of units."""

__all__ = ["LOAN_TERM_MAX_S", "loan_term_s"]

# Not configurable: a restarted lender waits for the end of loans granted under any configuration.
LOAN_TERM_MAX_S = 90.0


def loan_term_s(horizon_s: float) -> float:
    """Return the term in seconds of a loan for requests that need their units for `horizon_s`.

    A request must start and end within the term.
    """
    return min(LOAN_TERM_MAX_S, horizon_s + max(4.0, horizon_s / 2))
