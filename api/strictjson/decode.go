package strictjson

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"regexp"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// Document is a parsed text, kept so that later checks can report positions in it.
type Document struct {
	text   []byte
	root   hujson.Value
	faults Faults
}

// Decode parses text into the struct to which into points. Unknown fields, values of a
// wrong type and duplicate fields are faults. A non-nil error is of type Faults; the
// Document is nil only if the text could not be parsed.
func Decode(text []byte, into any) (*Document, error) {
	if faults := checkDepth(text); faults != nil {
		return nil, faults
	}
	root, err := hujson.Parse(text)
	if err != nil {
		return nil, Faults{syntaxFault(text, err)}
	}
	doc := &Document{text: text, root: root}
	doc.decodeValue(root, reflect.ValueOf(into).Elem(), "")
	doc.faults.sort()
	return doc, doc.faults.ErrOrNil()
}

// Report adds a fault at the value to which path points, a JSON pointer such as
// "/mesh/listen". If that value is absent, the fault gets the position of the nearest
// enclosing value.
func (d *Document) Report(path, problem string) {
	d.addFault(d.offsetOf(path), path, problem)
}

// FaultAt returns a fault at the value to which path points, without adding it to the
// document's faults. The fault has no Path.
func (d *Document) FaultAt(path, problem string) Fault {
	pos := positionOf(d.text, d.offsetOf(path))
	return Fault{Line: pos.line, Column: pos.column, Problem: problem}
}

// Err returns all faults found so far, sorted by position, or nil.
func (d *Document) Err() error {
	d.faults.sort()
	return d.faults.ErrOrNil()
}

func (d *Document) offsetOf(path string) int {
	for p := path; p != ""; p = p[:strings.LastIndex(p, "/")] {
		if v := d.root.Find(p); v != nil {
			return v.StartOffset
		}
	}
	return d.root.StartOffset
}

func (d *Document) addFault(offset int, path, problem string) {
	pos := positionOf(d.text, offset)
	name := strings.ReplaceAll(strings.TrimPrefix(path, "/"), "/", ".")
	d.faults = append(d.faults, Fault{Line: pos.line, Column: pos.column, Path: name, Problem: problem})
}

// positionPattern matches the position in the parser's error text.
var positionPattern = regexp.MustCompile(`line (\d+), column (\d+): (.*)$`)

func syntaxFault(text []byte, err error) Fault {
	m := positionPattern.FindStringSubmatch(err.Error())
	if m == nil {
		pos := positionOf(text, len(text))
		return Fault{Line: pos.line, Column: pos.column, Problem: "not JSON: " + err.Error()}
	}
	line, _ := strconv.Atoi(m[1])
	column, _ := strconv.Atoi(m[2])
	return Fault{Line: line, Column: column, Problem: "not JSON: " + m[3]}
}

func (d *Document) decodeValue(v hujson.Value, into reflect.Value, path string) {
	switch composite := v.Value.(type) {
	case *hujson.Object:
		if isStruct(into) {
			d.decodeObject(composite, indirect(into), path)
			return
		}
		if into.Kind() == reflect.Map {
			d.decodeMap(composite, into, path)
			return
		}
	case *hujson.Array:
		if into.Kind() == reflect.Slice {
			d.decodeArray(composite, into, path)
			return
		}
	}
	d.decodeLeaf(v, into, path)
}

func (d *Document) decodeObject(o *hujson.Object, into reflect.Value, path string) {
	seen := map[string]bool{}
	for _, member := range o.Members {
		name := member.Name.Value.(hujson.Literal).String()
		memberPath := path + "/" + name
		field, known := fieldByName(into, name)
		switch {
		case !known:
			d.addFault(member.Name.StartOffset, memberPath, "unknown field; known fields: "+strings.Join(fieldNames(into), ", "))
		case seen[name]:
			d.addFault(member.Name.StartOffset, memberPath, "duplicate field")
		default:
			d.decodeValue(member.Value, field, memberPath)
		}
		seen[name] = true
	}
}

func (d *Document) decodeMap(o *hujson.Object, into reflect.Value, path string) {
	out := reflect.MakeMap(into.Type())
	for _, member := range o.Members {
		name := member.Name.Value.(hujson.Literal).String()
		value := reflect.New(into.Type().Elem()).Elem()
		d.decodeValue(member.Value, value, path+"/"+name)
		out.SetMapIndex(reflect.ValueOf(name).Convert(into.Type().Key()), value)
	}
	into.Set(out)
}

func (d *Document) decodeArray(a *hujson.Array, into reflect.Value, path string) {
	out := reflect.MakeSlice(into.Type(), len(a.Elements), len(a.Elements))
	for i, element := range a.Elements {
		d.decodeValue(element, out.Index(i), path+"/"+strconv.Itoa(i))
	}
	into.Set(out)
}

func (d *Document) decodeLeaf(v hujson.Value, into reflect.Value, path string) {
	plain := v.Clone()
	plain.Standardize()
	err := json.Unmarshal([]byte(strings.TrimSpace(plain.String())), into.Addr().Interface())
	if err == nil {
		return
	}
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		d.addFault(v.StartOffset, path, fmt.Sprintf("got a %s, want %s", wrongType.Value, describeType(into.Type())))
		return
	}
	d.addFault(v.StartOffset, path, err.Error())
}
