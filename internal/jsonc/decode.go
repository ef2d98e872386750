package jsonc

import (
	"encoding"
	"encoding/json"
	"reflect"
	"slices"
	"strings"

	"github.com/tailscale/hujson"
)

// Expecter is implemented by types that describe their valid values in problems, such as "a duration".
type Expecter interface {
	Expected() string
}

var textUnmarshaler = reflect.TypeFor[encoding.TextUnmarshaler]()

func (d *Document) decodeRoot(value *hujson.Value, into any) {
	d.decodeValue("", value, reflect.ValueOf(into).Elem())
}

func (d *Document) decodeValue(path string, in *hujson.Value, out reflect.Value) {
	d.recordLocation(path, in)
	if out.Kind() == reflect.Pointer {
		if out.IsNil() {
			out.Set(reflect.New(out.Type().Elem()))
		}
		out = out.Elem()
	}
	if reflect.PointerTo(out.Type()).Implements(textUnmarshaler) {
		d.decodeText(path, in, out)
		return
	}
	switch out.Kind() {
	case reflect.Struct:
		d.decodeStruct(path, in, out)
	case reflect.Map:
		d.decodeMap(path, in, out)
	case reflect.Slice:
		d.decodeSlice(path, in, out)
	default:
		d.decodeLiteral(path, in, out)
	}
}

func (d *Document) recordLocation(path string, in *hujson.Value) {
	d.locations[path] = location{start: in.StartOffset, end: in.EndOffset, kind: in.Value.Kind()}
}

func (d *Document) decodeText(path string, in *hujson.Value, out reflect.Value) {
	unmarshaler := out.Addr().Interface().(encoding.TextUnmarshaler)
	literal, ok := in.Value.(hujson.Literal)
	if !ok || literal.Kind() != '"' || unmarshaler.UnmarshalText([]byte(literal.String())) != nil {
		d.Report(path, "%s", expected(out))
	}
}

func (d *Document) decodeStruct(path string, in *hujson.Value, out reflect.Value) {
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
			d.reportUnknownKey(path, name, object, fields)
			continue
		}
		d.decodeValue(Key(path, name), value, out.FieldByIndex(index))
	}
}

func (d *Document) decodeMap(path string, in *hujson.Value, out reflect.Value) {
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
		d.decodeValue(Key(path, name), value, element)
		out.SetMapIndex(reflect.ValueOf(name).Convert(out.Type().Key()), element)
	}
}

func (d *Document) decodeSlice(path string, in *hujson.Value, out reflect.Value) {
	array, ok := in.Value.(*hujson.Array)
	if !ok {
		d.Report(path, "%s", expected(out))
		return
	}
	out.Set(reflect.MakeSlice(out.Type(), len(array.Elements), len(array.Elements)))
	for i := range array.Elements {
		d.decodeValue(Index(path, i), &array.Elements[i], out.Index(i))
	}
}

func (d *Document) decodeLiteral(path string, in *hujson.Value, out reflect.Value) {
	literal, ok := in.Value.(hujson.Literal)
	if !ok || literal.Kind() == 'n' || json.Unmarshal(literal, out.Addr().Interface()) != nil {
		d.Report(path, "%s", expected(out))
	}
}

// members yields the names and values of an object, except repeated keys, which it reports.
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

func (d *Document) reportUnknownKey(path, name string, object *hujson.Object, fields map[string][]int) {
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

// fieldsOf returns the indexes of the exported fields of a struct, and of the structs that it embeds, by their JSON
// names.
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
