"""Start the program with ``python3 -m gentianstair.entry``."""

from gentianstair import program

program.entry()
