"""Table of promises, faults and steps with the tests that prove each cell."""
