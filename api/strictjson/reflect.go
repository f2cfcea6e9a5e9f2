package strictjson

import (
	"encoding/json"
	"reflect"
	"strings"
)

var unmarshalerType = reflect.TypeFor[json.Unmarshaler]()

// isStruct reports whether v is a struct, or a pointer to one, that does not implement
// json.Unmarshaler.
func isStruct(v reflect.Value) bool {
	t := v.Type()
	if t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	return t.Kind() == reflect.Struct && !reflect.PointerTo(t).Implements(unmarshalerType)
}

// indirect returns the struct that v is or points to; it allocates one for a nil pointer.
func indirect(v reflect.Value) reflect.Value {
	if v.Kind() != reflect.Pointer {
		return v
	}
	if v.IsNil() {
		v.Set(reflect.New(v.Type().Elem()))
	}
	return v.Elem()
}

func jsonName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	if name == "" {
		return f.Name
	}
	return name
}

func fieldByName(v reflect.Value, name string) (reflect.Value, bool) {
	for i := range v.NumField() {
		f := v.Type().Field(i)
		if f.IsExported() && jsonName(f) == name && name != "-" {
			return v.Field(i), true
		}
	}
	return reflect.Value{}, false
}

func fieldNames(v reflect.Value) []string {
	var names []string
	for i := range v.NumField() {
		if f := v.Type().Field(i); f.IsExported() && jsonName(f) != "-" {
			names = append(names, jsonName(f))
		}
	}
	return names
}

// describeType describes a type in JSON terms.
func describeType(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Pointer:
		return describeType(t.Elem())
	case reflect.Bool:
		return "true or false"
	case reflect.String:
		return "a string"
	case reflect.Slice, reflect.Array:
		return "an array"
	case reflect.Struct, reflect.Map:
		return "an object"
	case reflect.Float32, reflect.Float64:
		return "a number"
	default:
		return "a whole number"
	}
}
