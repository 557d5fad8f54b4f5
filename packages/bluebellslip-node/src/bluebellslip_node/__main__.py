"""Entry point of ``python -m bluebellslip_node``."""

from bluebellslip_node.entry import main

if __name__ == '__main__':
    main()
