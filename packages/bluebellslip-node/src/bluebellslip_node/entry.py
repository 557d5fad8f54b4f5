"""Entry point of the ``bluebell-node`` console script."""

import sys


def main() -> None:
    """Run the node with the arguments in ``sys.argv``."""
    from bluebellslip._internal.nodes.main import run_node

    sys.exit(run_node(sys.argv[1:]))
