"""Be the home of the fleet, follow it, or take over."""
