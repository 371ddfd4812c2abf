"""Hold what a node knows: the tables that all its parts share."""
