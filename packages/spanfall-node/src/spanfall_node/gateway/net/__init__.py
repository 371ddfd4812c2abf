"""Provide sockets, HTTP calls and the interface of platform adapters."""
