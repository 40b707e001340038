"""Start the program with ``python3 -m gentianstair.control``."""

from gentianstair import program

program.control()
