package jsonc

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Problem is one fault of a document.
type Problem struct {
	File         string
	Line, Column int    // from 1
	Path         string // of the value, such as "agent.services[0].slots"; empty for the document
	Value        string // as written; empty if a value is missing
	Expected     string
}

// String returns "file:line:column: path: found VALUE, expected EXPECTED".
func (p Problem) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s:%d:%d: ", p.File, p.Line, p.Column)
	if p.Path != "" {
		fmt.Fprintf(&b, "%s: ", p.Path)
	}
	if p.Value != "" {
		fmt.Fprintf(&b, "found %s, ", p.Value)
	}
	fmt.Fprintf(&b, "expected %s", p.Expected)
	return b.String()
}

// Problems is the error of a document with at least one problem, ordered by position.
type Problems []Problem

// Error returns one line for each problem.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

func (ps Problems) sort() {
	slices.SortStableFunc(ps, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
}
