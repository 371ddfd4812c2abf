"""Define the messages between nodes and match requests to answers."""
