// Package jsonc strictly decodes JSON with comments and trailing commas into Go values. It reports all problems of a
// document in one pass, each with its line and column.
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

// maxShownBytes bounds the part of an invalid value that a problem shows.
const maxShownBytes = 80

// Document is a decoded document. It collects the problems that Decode finds and those that the caller adds with
// Report.
//
// A path identifies a value, such as "agent.services[0].slots"; the empty path is the whole document.
type Document struct {
	file      string
	data      []byte
	locations map[string]location
	fields    map[reflect.Type]map[string][]int // results of fieldsOf
	problems  Problems
}

// location is the kind of a value and its range of bytes in the document.
type location struct {
	start, end int
	kind       hujson.Kind
}

// Decode decodes data into the value that into points to. The file name is used in problems only.
//
// Keys must match the json tags of struct fields exactly. Unknown and repeated keys, null and values of the wrong
// type are problems; all other values are decoded nevertheless. Decode supports structs, also embedded ones, maps
// with string keys, slices, pointers, strings, booleans, numbers, and types that implement
// encoding.TextUnmarshaler, or json.Unmarshaler for numbers and booleans. Each type may implement Expecter.
func Decode(file string, data []byte, into any) *Document {
	d := &Document{file: file, data: data, locations: map[string]location{}, fields: map[reflect.Type]map[string][]int{}}
	value, err := hujson.Parse(data)
	if err != nil {
		d.reportSyntaxError(err)
		return d
	}
	d.decodeRoot(&value, into)
	return d
}

// Has reports whether the document contains a value at the path.
func (d *Document) Has(path string) bool {
	_, ok := d.locations[path]
	return ok
}

// Kind returns the kind of the value at the path, or 0 if there is none.
func (d *Document) Kind(path string) hujson.Kind {
	return d.locations[path].kind
}

// HasProblem reports whether there is a problem with the value at the path.
func (d *Document) HasProblem(path string) bool {
	return slices.ContainsFunc(d.problems, func(p Problem) bool { return p.Path == path })
}

// Report adds a problem with the value at a path; the formatted text says what was expected. If the document has no
// such value, the problem gets the position of the innermost value around it.
func (d *Document) Report(path, format string, args ...any) {
	p := Problem{File: d.file, Path: path, Expected: fmt.Sprintf(format, args...)}
	loc, ok := d.locations[path]
	if ok {
		p.Value = shorten(d.data[loc.start:loc.end])
	}
	for ancestor := path; !ok && ancestor != ""; {
		ancestor = parent(ancestor)
		loc, ok = d.locations[ancestor]
	}
	p.Line, p.Column = d.position(loc.start)
	d.problems = append(d.problems, p)
}

// Position returns the line and column, from 1, of the value at a path, or zeros if there is none.
func (d *Document) Position(path string) (line, column int) {
	loc, ok := d.locations[path]
	if !ok {
		return 0, 0
	}
	return d.position(loc.start)
}

// Err returns the Problems ordered by position, or nil if there are none.
func (d *Document) Err() error {
	if len(d.problems) == 0 {
		return nil
	}
	sorted := append(Problems(nil), d.problems...)
	sorted.sort()
	return sorted
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

// position returns the line and column of a byte offset as editors count them: from 1, columns in characters.
func (d *Document) position(offset int) (line, column int) {
	before := d.data[:min(offset, len(d.data))]
	lineStart := bytes.LastIndexByte(before, '\n') + 1
	return bytes.Count(before, []byte("\n")) + 1, utf8.RuneCount(before[lineStart:]) + 1
}

// reportSyntaxError adds an error of the parser. Its position is parsed from the text, which starts with it.
func (d *Document) reportSyntaxError(err error) {
	p := Problem{File: d.file, Line: 1, Column: 1}
	message := strings.TrimPrefix(err.Error(), "hujson: ")
	if n, _ := fmt.Sscanf(message, "line %d, column %d:", &p.Line, &p.Column); n == 2 {
		_, message, _ = strings.Cut(message, ": ")
	}
	p.Expected = "JSON with comments (" + message + ")"
	d.problems = append(d.problems, p)
}

// shorten returns a value on one line, cut after maxShownBytes.
func shorten(text []byte) string {
	if bytes.ContainsRune(text, '\n') {
		text = bytes.Join(bytes.Fields(text), []byte(" "))
	}
	if len(text) <= maxShownBytes {
		return string(text)
	}
	return strings.ToValidUTF8(string(text[:maxShownBytes]), "") + "..."
}
