package config

import (
	"slices"

	"github.com/tailscale/hujson"

	"github.com/greengagelock/greengagelock/internal/jsonc"
)

// SetLeaving returns the text of a document with names added to and removed from its leaving list. The rest of
// the text keeps its comments and formatting.
func SetLeaving(text []byte, add, remove []string) ([]byte, error) {
	root, err := hujson.Parse(text)
	if err != nil {
		return nil, err
	}
	list := leavingList(&root)
	if list == nil {
		return nil, jsonc.Problems{{File: "document", Line: 1, Column: 1, Path: "leaving", Value: "another type", Expected: "an array"}}
	}
	list.Elements = slices.DeleteFunc(list.Elements, func(v hujson.Value) bool {
		literal, ok := v.Value.(hujson.Literal)
		return ok && literal.Kind() == '"' && (slices.Contains(remove, literal.String()) || slices.Contains(add, literal.String()))
	})
	for _, name := range add {
		list.Elements = append(list.Elements, hujson.Value{Value: hujson.String(name)})
	}
	return root.Pack(), nil
}

// leavingList returns the leaving list of a document, which it adds if it is missing. It returns nil if the
// document or its list has another type.
func leavingList(root *hujson.Value) *hujson.Array {
	object, ok := root.Value.(*hujson.Object)
	if !ok {
		return nil
	}
	for i := range object.Members {
		if object.Members[i].Name.Value.(hujson.Literal).String() == "leaving" {
			list, _ := object.Members[i].Value.Value.(*hujson.Array)
			return list
		}
	}
	list := &hujson.Array{}
	object.Members = append(object.Members, hujson.ObjectMember{
		Name: hujson.Value{Value: hujson.String("leaving")}, Value: hujson.Value{Value: list},
	})
	return list
}
