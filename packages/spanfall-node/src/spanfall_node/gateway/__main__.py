"""Run a gateway as ``python -m spanfall_node.gateway``."""

from spanfall_node.gateway.main import main

main()
