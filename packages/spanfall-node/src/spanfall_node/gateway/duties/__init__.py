"""Run the tasks of the home: report usage and order upstreams."""
