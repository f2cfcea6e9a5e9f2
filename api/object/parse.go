package object

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/tarragonreach/tarragonreach/api/strictjson"
)

// MaxEditBytes is the maximum size of the text of one edit.
const MaxEditBytes = 512 << 10

// editFile is the JSON form of an edit.
type editFile struct {
	Revision         Revision          `json:"revision"`
	Reason           string            `json:"reason"`
	Services         []Service         `json:"services"`
	Classes          []Class           `json:"classes"`
	Tenants          []Tenant          `json:"tenants"`
	Pools            []Pool            `json:"pools"`
	MaintenancePlans []MaintenancePlan `json:"maintenancePlans"`
	Jobs             []Job             `json:"jobs"`
	Delete           []string          `json:"delete"`
}

// Edit is an operator's change, parsed from its text.
type Edit struct {
	// Revision is the configuration revision on which the edit is based; zero means the
	// newest.
	Revision Revision
	Reason   string
	Put      Document
	Delete   []Key

	source *strictjson.Document
	paths  map[Key]string
}

// Parse parses an operator's JSON with comments. Its error is a strictjson.Faults that
// lists every fault with line and column.
func Parse(text []byte) (*Edit, error) {
	if len(text) > MaxEditBytes {
		problem := fmt.Sprintf("the text has %d bytes, the limit is %d", len(text), MaxEditBytes)
		return nil, strictjson.Faults{{Line: 1, Column: 1, Problem: problem}}
	}
	var file editFile
	source, err := strictjson.Decode(text, &file)
	if source == nil {
		return nil, err
	}
	edit := &Edit{Revision: file.Revision, Reason: file.Reason, Put: file.document(), source: source}
	edit.indexObjects()
	edit.parseDeletes(file.Delete)
	if err := source.Err(); err != nil {
		return nil, err
	}
	return edit, nil
}

func (f editFile) document() Document {
	return Document{
		Services: f.Services, Classes: f.Classes, Tenants: f.Tenants,
		Pools: f.Pools, MaintenancePlans: f.MaintenancePlans, Jobs: f.Jobs,
	}
}

func (e *Edit) parseDeletes(names []string) {
	for i, name := range names {
		key, err := ParseKey(name)
		if err != nil {
			e.source.Report("/delete/"+strconv.Itoa(i), err.Error())
			continue
		}
		e.Delete = append(e.Delete, key)
		e.recordPath(key, "/delete/"+strconv.Itoa(i), "")
	}
}

// ParseKey parses "Kind/name".
func ParseKey(text string) (Key, error) {
	kind, name, found := strings.Cut(text, "/")
	if !found || name == "" || !slices.Contains(Kinds(), Kind(kind)) {
		return Key{}, fmt.Errorf("%q: want Kind/name, such as Pool/checks; kinds are %v", text, Kinds())
	}
	return Key{Kind: Kind(kind), Name: name}, nil
}

// Kinds returns all kinds of object.
func Kinds() []Kind {
	return []Kind{KindService, KindClass, KindTenant, KindPool, KindMaintenancePlan, KindJob}
}

// indexObjects records the path of each object that the edit writes.
func (e *Edit) indexObjects() {
	e.paths = map[Key]string{}
	count := map[Kind]int{}
	for _, key := range e.Put.Keys() {
		e.recordPath(key, fmt.Sprintf("/%s/%d", listField(key.Kind), count[key.Kind]), "/name")
		count[key.Kind]++
	}
}

// recordPath records the path of an object. An object that has a path already is
// reported as a fault at the given field of the new path.
func (e *Edit) recordPath(key Key, path, field string) {
	if _, ok := e.paths[key]; ok {
		e.source.Report(path+field, key.String()+" is listed twice, want it once")
	}
	e.paths[key] = path
}

// listField returns the JSON field of a document that lists objects of the kind.
func listField(kind Kind) string {
	switch kind {
	case KindService:
		return "services"
	case KindClass:
		return "classes"
	case KindTenant:
		return "tenants"
	case KindPool:
		return "pools"
	case KindMaintenancePlan:
		return "maintenancePlans"
	default:
		return "jobs"
	}
}

// Locate returns the findings as faults with their line and column in the text. A
// finding on an object that the text does not contain gets the position of the start of
// the text.
func (e *Edit) Locate(findings []Finding) strictjson.Faults {
	var out strictjson.Faults
	for _, finding := range findings {
		path, ok := e.paths[finding.Key]
		if ok && finding.Field != "" {
			path += "/" + strings.ReplaceAll(finding.Field, ".", "/")
		}
		fault := e.source.FaultAt(path, finding.Problem)
		fault.Path = finding.subject()
		out = append(out, fault)
	}
	return out.Sorted()
}
