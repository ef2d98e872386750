// Package capacity measures how the cost of each part of the system (memory, processor time, traffic,
// delays) grows with the size of a deployment. It fits a line to each quantity, extrapolates it to the
// design size, and writes the tables and plots of the capacity page, which calls that size the target
// size.
package capacity
