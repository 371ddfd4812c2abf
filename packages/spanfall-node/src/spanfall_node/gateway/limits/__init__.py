"""Get what requests need of the limits of workspaces."""
