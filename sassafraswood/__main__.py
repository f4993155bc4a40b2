"""Entry point of `python -m sassafraswood`."""

from sassafraswood.cli import main

if __name__ == '__main__':
    main.main()
