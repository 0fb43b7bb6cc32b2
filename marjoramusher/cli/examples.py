"""Examples in the help of commands."""


def of(*lines: str) -> str:
    """Return the examples as the end of a help text.

    The backspace keeps click from wrapping the lines.
    """
    heading = "Example:" if len(lines) == 1 else "Examples:"
    return "\n".join(("\b", heading, *(f"  {line}" for line in lines)))
