"""Speak to other processes: sockets, HTTP calls, what the platform is to give."""
