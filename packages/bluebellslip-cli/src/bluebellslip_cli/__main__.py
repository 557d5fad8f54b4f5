"""Entry point of ``python -m bluebellslip_cli``."""

from bluebellslip_cli.entry import main

if __name__ == '__main__':
    main()
