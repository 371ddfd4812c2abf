"""Run the binary of this package as a module."""

from spanfall_node.main import main

main()
