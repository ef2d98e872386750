package jsonc

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Problem is one mistake in a document.
type Problem struct {
	File         string
	Line, Column int    // from 1
	Path         string // path of the value; empty for the whole document
	Value        string // start of the value as written; empty if it is missing
	Expected     string // description of the valid values
}

// String returns "FILE:LINE:COLUMN: PATH: found VALUE, expected EXPECTED", without PATH or VALUE if it is empty.
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

// Problems is the error for a document with at least one problem, ordered by position.
type Problems []Problem

// Error returns one line per problem.
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
