// Package jsonc decodes JSON with comments and trailing commas strictly into Go values and reports
// every problem of a document in one pass, each with its line and column.
package jsonc

import (
	"bytes"
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/tailscale/hujson"
)

// maxShownBytes bounds the part of a bad value that a problem shows.
const maxShownBytes = 80

// Document is a decoded document. It collects the problems that Decode and the checks of its user
// find.
type Document struct {
	file     string
	data     []byte
	nodes    map[string]node
	fields   map[reflect.Type]map[string][]int // results of fieldsOf
	problems Problems
}

// node is the place of a value in the document.
type node struct {
	start, end int
	kind       hujson.Kind
}

// Decode decodes data into the value that into points to. The file name appears in problems only.
//
// Keys match the json tags of struct fields exactly. Unknown and repeated keys, null and values of
// another type are problems; the remaining values are decoded nevertheless. Decode supports
// structs with embedded ones, maps with string keys, slices, pointers, strings, booleans, numbers, and types that
// implement encoding.TextUnmarshaler, or json.Unmarshaler for numbers and booleans. Each type may
// implement Expecter to describe its values.
func Decode(file string, data []byte, into any) *Document {
	d := &Document{file: file, data: data, nodes: map[string]node{}, fields: map[reflect.Type]map[string][]int{}}
	value, err := hujson.Parse(data)
	if err != nil {
		d.syntaxProblem(err)
		return d
	}
	d.decodeRoot(&value, into)
	return d
}

// Has reports whether the document contains a value at the path.
func (d *Document) Has(path string) bool {
	_, ok := d.nodes[path]
	return ok
}

// Kind returns the kind of the value at the path, and 0 if there is none.
func (d *Document) Kind(path string) hujson.Kind {
	return d.nodes[path].kind
}

// Failed reports whether a problem with the value at the path has been found.
func (d *Document) Failed(path string) bool {
	return slices.ContainsFunc(d.problems, func(p Problem) bool { return p.Path == path })
}

// Report adds a problem with the value at a path. If the document has no such value, the problem
// is placed at the innermost value around it.
func (d *Document) Report(path, format string, args ...any) {
	p := Problem{File: d.file, Path: path, Expected: fmt.Sprintf(format, args...)}
	n, ok := d.nodes[path]
	if ok {
		p.Value = shorten(d.data[n.start:n.end])
	}
	for at := path; !ok && at != ""; {
		at = parent(at)
		n, ok = d.nodes[at]
	}
	p.Line, p.Column = d.position(n.start)
	d.problems = append(d.problems, p)
}

// Position returns the line and column of the value at a path, from 1, and zeros if there is none.
func (d *Document) Position(path string) (line, column int) {
	n, ok := d.nodes[path]
	if !ok {
		return 0, 0
	}
	return d.position(n.start)
}

// Err returns Problems ordered by position, or nil if there are none.
func (d *Document) Err() error {
	if len(d.problems) == 0 {
		return nil
	}
	ps := append(Problems(nil), d.problems...)
	ps.sort()
	return ps
}

// Key returns the path of a member of the object at path.
func Key(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// Index returns the path of an element of the array at path.
func Index(path string, i int) string {
	return path + "[" + strconv.Itoa(i) + "]"
}

// parent removes the last key or index of a path.
func parent(path string) string {
	return path[:max(strings.LastIndexAny(path, ".["), 0)]
}

// position counts lines and columns as editors do: from 1, columns in characters.
func (d *Document) position(offset int) (line, column int) {
	before := d.data[:min(offset, len(d.data))]
	lineStart := bytes.LastIndexByte(before, '\n') + 1
	return bytes.Count(before, []byte("\n")) + 1, utf8.RuneCount(before[lineStart:]) + 1
}

// syntaxProblem takes the position out of an error of the parser, whose text starts with it.
func (d *Document) syntaxProblem(err error) {
	p := Problem{File: d.file, Line: 1, Column: 1}
	message := strings.TrimPrefix(err.Error(), "hujson: ")
	if n, _ := fmt.Sscanf(message, "line %d, column %d:", &p.Line, &p.Column); n == 2 {
		_, message, _ = strings.Cut(message, ": ")
	}
	p.Expected = "JSON with comments (" + message + ")"
	d.problems = append(d.problems, p)
}

// shorten returns the start of a value on one line.
func shorten(text []byte) string {
	if bytes.ContainsRune(text, '\n') {
		text = bytes.Join(bytes.Fields(text), []byte(" "))
	}
	if len(text) <= maxShownBytes {
		return string(text)
	}
	return strings.ToValidUTF8(string(text[:maxShownBytes]), "") + "..."
}
