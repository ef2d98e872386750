// Package capacity measures how the parts of the system grow with the size of a deployment, fits a
// line to each quantity, extends it to the target size, and writes tables and plots for the
// capacity page.
package capacity
