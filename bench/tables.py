"""bench.tables: Tables and summary statistics that the benchmarks print."""

import platform
import statistics
import time

__all__ = ["median_of", "print_head", "print_table", "spread"]


def print_head(command):
    """Print the command, the Python version and the date."""
    day = time.strftime("%Y-%m-%d", time.gmtime())
    print(f"{command}; python {platform.python_version()}; {day}")


def print_table(title, columns, rows):
    """Print a Markdown table with a title."""
    cells = [columns, *([_text(cell) for cell in row] for row in rows)]
    widths = [max(len(row[i]) for row in cells) for i in range(len(columns))]
    print(f"\n{title}\n", flush=True)
    for number, row in enumerate(cells):
        padded = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        print(f"| {' | '.join(padded)} |")
        if number == 0:
            print(f"| {' | '.join('-' * width for width in widths)} |")


def median_of(values):
    """Return the median."""
    return statistics.median(values)


def spread(values):
    """Return median and range as text."""
    low, high = _text(min(values)), _text(max(values))
    return f"{_text(statistics.median(values))} ({low} to {high})"


def _text(cell):
    if type(cell) is not float:
        return str(cell)
    if cell == 0 or abs(cell) >= 100:
        return f"{cell:.0f}"
    return f"{cell:.3g}"
