package config

import (
	"bytes"
	"cmp"
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/tailscale/hujson"
)

// maxValueShown bounds the length of a value in a message.
const maxValueShown = 60

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// decoder collects the problems of one document while its values are read.
type decoder struct {
	file     string
	text     []byte
	problems Problems
}

// field reads the value of one key. path names the value in messages.
type field func(v *hujson.Value, path string)

func (d *decoder) report(v *hujson.Value, path, format string, args ...any) {
	d.reportAt(v.StartOffset, path, d.shown(v), fmt.Sprintf(format, args...))
}

func (d *decoder) reportAt(offset int, path, value, expected string) {
	line, column := position(d.text, offset)
	d.problems = append(d.problems, Problem{
		File: d.file, Line: line, Column: column, Path: path, Value: value, Expected: expected,
	})
}

func (d *decoder) sorted() Problems {
	slices.SortStableFunc(d.problems, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return d.problems
}

func (d *decoder) shown(v *hujson.Value) string {
	text := strings.Join(strings.Fields(string(d.text[v.StartOffset:v.EndOffset])), " ")
	if runes := []rune(text); len(runes) > maxValueShown {
		return string(runes[:maxValueShown]) + "..."
	}
	return text
}

// position returns the line and column, in characters from 1, of a byte offset.
func position(text []byte, offset int) (line, column int) {
	before := text[:min(offset, len(text))]
	line = bytes.Count(before, []byte("\n")) + 1
	start := bytes.LastIndexByte(before, '\n') + 1
	return line, len([]rune(string(before[start:]))) + 1
}

// object reads the members of an object. Keys that are unknown, repeated or missing are problems.
func (d *decoder) object(v *hujson.Value, path string, fields map[string]field, required ...string) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		d.report(v, path, "an object")
		return
	}
	seen := map[string]bool{}
	for i := range object.Members {
		member := &object.Members[i]
		d.member(member, path, fields, seen)
	}
	for _, key := range required {
		if !seen[key] {
			d.report(v, join(path, key), "a value for the key %q", key)
		}
	}
}

func (d *decoder) member(member *hujson.ObjectMember, path string, fields map[string]field, seen map[string]bool) {
	key := member.Name.Value.(hujson.Literal).String()
	read, known := fields[key]
	switch {
	case !known:
		d.report(&member.Name, join(path, key), "one of the keys %s", strings.Join(sortedKeys(fields), ", "))
	case seen[key]:
		d.report(&member.Name, join(path, key), "each key only once")
	default:
		seen[key] = true
		read(&member.Value, join(path, key))
	}
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

func sortedKeys(fields map[string]field) []string {
	keys := make([]string, 0, len(fields))
	for key := range fields {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

func (d *decoder) array(v *hujson.Value, path string, element field) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		d.report(v, path, "an array")
		return
	}
	for i := range array.Elements {
		element(&array.Elements[i], fmt.Sprintf("%s[%d]", path, i))
	}
}

func (d *decoder) text1(v *hujson.Value, path, expected string) (string, bool) {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() != '"' || strings.TrimSpace(literal.String()) == "" {
		d.report(v, path, "%s", expected)
		return "", false
	}
	return literal.String(), true
}

func (d *decoder) name(v *hujson.Value, path string) (string, bool) {
	const expected = `a name of up to 63 letters, digits, ".", "_" or "-"`
	text, ok := d.text1(v, path, expected)
	if ok && !namePattern.MatchString(text) {
		d.report(v, path, "%s", expected)
		return "", false
	}
	return text, ok
}

func (d *decoder) label(v *hujson.Value, path string) string {
	text, _ := d.text1(v, path, "a text that is not empty")
	return text
}

func (d *decoder) labels(v *hujson.Value, path string) map[string]string {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		d.report(v, path, "an object of labels")
		return nil
	}
	labels := map[string]string{}
	for i := range object.Members {
		member := &object.Members[i]
		key := member.Name.Value.(hujson.Literal).String()
		if _, repeated := labels[key]; repeated {
			d.report(&member.Name, join(path, key), "each label only once")
			continue
		}
		labels[key] = d.label(&member.Value, join(path, key))
	}
	return labels
}

func (d *decoder) duration(v *hujson.Value, path string, low, high time.Duration) time.Duration {
	expected := fmt.Sprintf("a duration with a unit, such as %q, from %v to %v", "500ms", low, high)
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() != '"' {
		d.report(v, path, "%s", expected)
		return low
	}
	value, err := time.ParseDuration(literal.String())
	if err != nil || value < low || value > high {
		d.report(v, path, "%s", expected)
		return low
	}
	return value
}

func (d *decoder) integer(v *hujson.Value, path string, low, high int) int {
	literal, ok := v.Value.(hujson.Literal)
	if ok && literal.Kind() == '0' {
		if value, err := strconv.Atoi(string(literal)); err == nil && value >= low && value <= high {
			return value
		}
	}
	d.report(v, path, "a whole number from %d to %d", low, high)
	return low
}

func (d *decoder) boolean(v *hujson.Value, path string) bool {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || (literal.Kind() != 't' && literal.Kind() != 'f') {
		d.report(v, path, "true or false")
		return false
	}
	return literal.Bool()
}

func (d *decoder) address(v *hujson.Value, path string) (netip.AddrPort, bool) {
	const expected = `an IPv4 address and port, such as "10.10.0.1:7001"`
	text, ok := d.text1(v, path, expected)
	if !ok {
		return netip.AddrPort{}, false
	}
	address, err := netip.ParseAddrPort(text)
	if err != nil || !address.Addr().Is4() || address.Addr().IsUnspecified() || address.Port() == 0 {
		d.report(v, path, "%s", expected)
		return netip.AddrPort{}, false
	}
	return address, true
}
