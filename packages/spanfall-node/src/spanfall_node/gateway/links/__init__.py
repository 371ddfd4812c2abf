"""Define what nodes send each other, and how questions are matched."""
