# Tests that run the built programs as a user would.
