"""Formatting of the examples in help texts."""


def epilog(*lines: str) -> str:
    r"""Return examples formatted as the epilog of a help text.

    The leading ``\b`` keeps click from rewrapping the lines.
    """
    heading = "Example:" if len(lines) == 1 else "Examples:"
    return "\n".join(("\b", heading, *(f"  {line}" for line in lines)))
