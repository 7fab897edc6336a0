"""Decision logic of the daemons, without I/O, clocks or randomness."""
