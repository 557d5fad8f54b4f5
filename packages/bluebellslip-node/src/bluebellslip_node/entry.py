"""Thin entry point of the binary."""

import sys


def main() -> None:
    """Run the node with the command line's arguments."""
    from bluebellslip._internal.nodes.main import run_node

    sys.exit(run_node(sys.argv[1:]))
