"""Run the binary of this package as a module."""

from spanfall_cli.main import main

main()
