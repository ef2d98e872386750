package jsonc

import (
	"encoding"
	"encoding/json"
	"reflect"
	"slices"
	"strings"

	"github.com/tailscale/hujson"
)

// Expecter describes the valid values of a type, for problems: "a duration such as 30s".
type Expecter interface {
	Expected() string
}

var textUnmarshaler = reflect.TypeFor[encoding.TextUnmarshaler]()

func (d *Document) decodeRoot(value *hujson.Value, into any) {
	d.value("", value, reflect.ValueOf(into).Elem())
}

func (d *Document) value(path string, in *hujson.Value, out reflect.Value) {
	d.note(path, in)
	if out.Kind() == reflect.Pointer {
		if out.IsNil() {
			out.Set(reflect.New(out.Type().Elem()))
		}
		out = out.Elem()
	}
	if reflect.PointerTo(out.Type()).Implements(textUnmarshaler) {
		d.text(path, in, out)
		return
	}
	switch out.Kind() {
	case reflect.Struct:
		d.structure(path, in, out)
	case reflect.Map:
		d.mapping(path, in, out)
	case reflect.Slice:
		d.slice(path, in, out)
	default:
		d.literal(path, in, out)
	}
}

func (d *Document) note(path string, in *hujson.Value) {
	d.nodes[path] = node{start: in.StartOffset, end: in.EndOffset, kind: in.Value.Kind()}
}

func (d *Document) text(path string, in *hujson.Value, out reflect.Value) {
	unmarshaler := out.Addr().Interface().(encoding.TextUnmarshaler)
	literal, ok := in.Value.(hujson.Literal)
	if !ok || literal.Kind() != '"' || unmarshaler.UnmarshalText([]byte(literal.String())) != nil {
		d.Report(path, "%s", expected(out))
	}
}

func (d *Document) structure(path string, in *hujson.Value, out reflect.Value) {
	object, ok := in.Value.(*hujson.Object)
	if !ok {
		d.Report(path, "%s", expected(out))
		return
	}
	fields, known := d.fields[out.Type()]
	if !known {
		fields = fieldsOf(out.Type())
		d.fields[out.Type()] = fields
	}
	for name, value := range d.members(path, object) {
		index, known := fields[name]
		if !known {
			d.unknownKey(path, name, object, fields)
			continue
		}
		d.value(Key(path, name), value, out.FieldByIndex(index))
	}
}

func (d *Document) mapping(path string, in *hujson.Value, out reflect.Value) {
	object, ok := in.Value.(*hujson.Object)
	if !ok {
		d.Report(path, "%s", expected(out))
		return
	}
	if out.IsNil() {
		out.Set(reflect.MakeMap(out.Type()))
	}
	for name, value := range d.members(path, object) {
		element := reflect.New(out.Type().Elem()).Elem()
		d.value(Key(path, name), value, element)
		out.SetMapIndex(reflect.ValueOf(name).Convert(out.Type().Key()), element)
	}
}

func (d *Document) slice(path string, in *hujson.Value, out reflect.Value) {
	array, ok := in.Value.(*hujson.Array)
	if !ok {
		d.Report(path, "%s", expected(out))
		return
	}
	out.Set(reflect.MakeSlice(out.Type(), len(array.Elements), len(array.Elements)))
	for i := range array.Elements {
		d.value(Index(path, i), &array.Elements[i], out.Index(i))
	}
}

func (d *Document) literal(path string, in *hujson.Value, out reflect.Value) {
	literal, ok := in.Value.(hujson.Literal)
	if !ok || literal.Kind() == 'n' || json.Unmarshal(literal, out.Addr().Interface()) != nil {
		d.Report(path, "%s", expected(out))
	}
}

// members yields the members of an object and reports keys that appear again.
func (d *Document) members(path string, object *hujson.Object) func(func(string, *hujson.Value) bool) {
	return func(yield func(string, *hujson.Value) bool) {
		seen := map[string]bool{}
		for i := range object.Members {
			member := &object.Members[i]
			name := member.Name.Value.(hujson.Literal).String()
			if seen[name] {
				d.reportAt(member.Name.StartOffset, Key(path, name), member.Name.Value.(hujson.Literal), "each key once")
				continue
			}
			seen[name] = true
			if !yield(name, &member.Value) {
				return
			}
		}
	}
}

func (d *Document) unknownKey(path, name string, object *hujson.Object, fields map[string][]int) {
	names := make([]string, 0, len(fields))
	for field := range fields {
		names = append(names, field)
	}
	slices.Sort(names)
	for i := range object.Members {
		key := &object.Members[i].Name
		if literal := key.Value.(hujson.Literal); literal.String() == name {
			d.reportAt(key.StartOffset, Key(path, name), literal, "one of the keys "+strings.Join(names, ", "))
			return
		}
	}
}

func (d *Document) reportAt(offset int, path string, text []byte, expected string) {
	line, column := d.position(offset)
	d.problems = append(d.problems, Problem{
		File: d.file, Line: line, Column: column, Path: path, Value: shorten(text), Expected: expected,
	})
}

// fieldsOf maps the JSON names of the exported fields of a struct, and of the structs that it
// embeds, to their indexes.
func fieldsOf(t reflect.Type) map[string][]int {
	fields := map[string][]int{}
	for _, field := range reflect.VisibleFields(t) {
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		if !field.IsExported() || field.Anonymous || name == "-" {
			continue
		}
		if name == "" {
			name = field.Name
		}
		fields[name] = field.Index
	}
	return fields
}
