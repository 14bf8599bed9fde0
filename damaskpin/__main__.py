"""Entry point for ``python -m damaskpin``."""

from damaskpin import cli

if __name__ == '__main__':
    cli.main()
