"""Define the border of spanfall: settings, objects, problems and frames."""
