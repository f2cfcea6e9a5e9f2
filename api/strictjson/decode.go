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

// Document is a parsed text, kept so that later checks can name positions.
type Document struct {
	text   []byte
	root   hujson.Value
	faults Faults
}

// Decode parses text into the struct to which into points. Unknown fields, values
// of a wrong type and repeated fields are faults. Where the returned error is not
// nil it is of type Faults; the Document is nil only if the text could not be parsed.
func Decode(text []byte, into any) (*Document, error) {
	if faults := checkDepth(text); faults != nil {
		return nil, faults
	}
	root, err := hujson.Parse(text)
	if err != nil {
		return nil, Faults{syntaxFault(text, err)}
	}
	doc := &Document{text: text, root: root}
	doc.walk(root, reflect.ValueOf(into).Elem(), "")
	doc.faults.sort()
	return doc, doc.faults.ErrOrNil()
}

// Report adds a fault at the place to which path points, such as "/mesh/listen".
// Where path names a field that is absent, the nearest enclosing value is named.
func (d *Document) Report(path, problem string) {
	d.add(d.find(path), path, problem)
}

// FaultAt returns a fault at the place to which path points, without reporting it.
func (d *Document) FaultAt(path, problem string) Fault {
	at := positionOf(d.text, d.find(path))
	return Fault{Line: at.line, Column: at.column, Problem: problem}
}

// Err returns all faults found so far in order of position, or nil.
func (d *Document) Err() error {
	d.faults.sort()
	return d.faults.ErrOrNil()
}

func (d *Document) find(path string) int {
	for p := path; p != ""; p = p[:strings.LastIndex(p, "/")] {
		if v := d.root.Find(p); v != nil {
			return v.StartOffset
		}
	}
	return d.root.StartOffset
}

func (d *Document) add(offset int, path, problem string) {
	at := positionOf(d.text, offset)
	name := strings.ReplaceAll(strings.TrimPrefix(path, "/"), "/", ".")
	d.faults = append(d.faults, Fault{Line: at.line, Column: at.column, Path: name, Problem: problem})
}

// linePattern finds the position in the parser's error text.
var linePattern = regexp.MustCompile(`line (\d+), column (\d+): (.*)$`)

func syntaxFault(text []byte, err error) Fault {
	m := linePattern.FindStringSubmatch(err.Error())
	if m == nil {
		at := positionOf(text, len(text))
		return Fault{Line: at.line, Column: at.column, Problem: "not JSON: " + err.Error()}
	}
	line, _ := strconv.Atoi(m[1])
	column, _ := strconv.Atoi(m[2])
	return Fault{Line: line, Column: column, Problem: "not JSON: " + m[3]}
}

func (d *Document) walk(v hujson.Value, into reflect.Value, path string) {
	switch literal := v.Value.(type) {
	case *hujson.Object:
		if isStruct(into) {
			d.walkObject(literal, allocate(into), path)
			return
		}
		if into.Kind() == reflect.Map {
			d.walkMap(literal, into, path)
			return
		}
	case *hujson.Array:
		if into.Kind() == reflect.Slice {
			d.walkArray(literal, into, path)
			return
		}
	}
	d.decodeLeaf(v, into, path)
}

func (d *Document) walkObject(o *hujson.Object, into reflect.Value, path string) {
	seen := map[string]bool{}
	for _, member := range o.Members {
		name := member.Name.Value.(hujson.Literal).String()
		at := path + "/" + name
		field, known := fieldByName(into, name)
		switch {
		case !known:
			d.add(member.Name.StartOffset, at, "unknown field; known here: "+strings.Join(fieldNames(into), ", "))
		case seen[name]:
			d.add(member.Name.StartOffset, at, "field stands twice")
		default:
			d.walk(member.Value, field, at)
		}
		seen[name] = true
	}
}

func (d *Document) walkMap(o *hujson.Object, into reflect.Value, path string) {
	out := reflect.MakeMap(into.Type())
	for _, member := range o.Members {
		name := member.Name.Value.(hujson.Literal).String()
		value := reflect.New(into.Type().Elem()).Elem()
		d.walk(member.Value, value, path+"/"+name)
		out.SetMapIndex(reflect.ValueOf(name).Convert(into.Type().Key()), value)
	}
	into.Set(out)
}

func (d *Document) walkArray(a *hujson.Array, into reflect.Value, path string) {
	out := reflect.MakeSlice(into.Type(), len(a.Elements), len(a.Elements))
	for i, element := range a.Elements {
		d.walk(element, out.Index(i), path+"/"+strconv.Itoa(i))
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
		d.add(v.StartOffset, path, fmt.Sprintf("a %s stands here, want %s", wrongType.Value, describe(into.Type())))
		return
	}
	d.add(v.StartOffset, path, err.Error())
}
