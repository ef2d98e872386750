package config

import (
	"fmt"
	"strings"
)

// Problem is one fault of a document.
type Problem struct {
	File     string
	Line     int
	Column   int
	Path     string // of the value in the document, such as services[2].ramp
	Value    string // as written
	Expected string
}

// String returns the problem on one line.
func (p Problem) String() string {
	return fmt.Sprintf("%s:%d:%d: %s: got %s, expected %s", p.File, p.Line, p.Column, p.Path, p.Value, p.Expected)
}

// Problems is the error that holds all faults of a document, in the order of their position.
type Problems []Problem

// Error returns all problems, one per line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i := range p {
		lines[i] = p[i].String()
	}
	return strings.Join(lines, "\n")
}
