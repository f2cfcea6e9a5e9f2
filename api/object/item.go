package object

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
)

// ErrUnknownKind says that this version of the program does not know a kind.
var ErrUnknownKind = errors.New("unknown kind of object")

// Item is one object as JSON, of a kind that this version need not know.
type Item struct {
	Key  Key             `json:"key"`
	Body json.RawMessage `json:"body"`
}

// Items returns the objects of the document in the order of its fields.
func (d Document) Items() ([]Item, error) {
	var out []Item
	err := errors.Join(
		appendItems(&out, KindService, d.Services, func(s Service) string { return s.Name }),
		appendItems(&out, KindClass, d.Classes, func(s Class) string { return s.Name }),
		appendItems(&out, KindTenant, d.Tenants, func(s Tenant) string { return s.Name }),
		appendItems(&out, KindPool, d.Pools, func(s Pool) string { return s.Name }),
		appendItems(&out, KindMaintenancePlan, d.MaintenancePlans, func(s MaintenancePlan) string { return s.Name }),
		appendItems(&out, KindJob, d.Jobs, func(s Job) string { return s.Name }),
	)
	return out, err
}

func appendItems[T any](out *[]Item, kind Kind, specs []T, name func(T) string) error {
	for _, spec := range specs {
		key := Key{Kind: kind, Name: name(spec)}
		body, err := json.Marshal(spec)
		if err != nil {
			return fmt.Errorf("encode %s: %w", key, err)
		}
		*out = append(*out, Item{Key: key, Body: body})
	}
	return nil
}

// Add decodes the item into the document. Unknown fields are left out. It returns
// ErrUnknownKind, or an error where a field has an unexpected type.
func (d *Document) Add(item Item) error {
	switch item.Key.Kind {
	case KindService:
		return addSpec(&d.Services, item)
	case KindClass:
		return addSpec(&d.Classes, item)
	case KindTenant:
		return addSpec(&d.Tenants, item)
	case KindPool:
		return addSpec(&d.Pools, item)
	case KindMaintenancePlan:
		return addSpec(&d.MaintenancePlans, item)
	case KindJob:
		return addSpec(&d.Jobs, item)
	default:
		return fmt.Errorf("%s: %w", item.Key, ErrUnknownKind)
	}
}

// CheckSupported returns an error if the item has a kind or fields that this
// version of the program does not know, and that it would lose on writing.
func (item Item) CheckSupported() error {
	var d Document
	if err := d.Add(item); err != nil {
		return err
	}
	decoder := json.NewDecoder(bytes.NewReader(item.Body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(d.only(item.Key.Kind)); err != nil {
		return fmt.Errorf("%s: %w", item.Key, err)
	}
	return nil
}

// only returns the one object of the kind that the document holds.
func (d *Document) only(kind Kind) any {
	switch kind {
	case KindService:
		return &d.Services[0]
	case KindClass:
		return &d.Classes[0]
	case KindTenant:
		return &d.Tenants[0]
	case KindPool:
		return &d.Pools[0]
	case KindMaintenancePlan:
		return &d.MaintenancePlans[0]
	default:
		return &d.Jobs[0]
	}
}

func addSpec[T any](specs *[]T, item Item) error {
	var spec T
	if err := json.Unmarshal(item.Body, &spec); err != nil {
		return fmt.Errorf("decode %s: %w", item.Key, err)
	}
	*specs = append(*specs, spec)
	return nil
}

// Restore puts one object into a configuration that is not shared yet, at the
// revision that last wrote it. It fails as Document.Add does.
func (c *Config) Restore(item Item, revision Revision) error {
	switch item.Key.Kind {
	case KindService:
		return restore(&c.Services, item, revision)
	case KindClass:
		return restore(&c.Classes, item, revision)
	case KindTenant:
		return restore(&c.Tenants, item, revision)
	case KindPool:
		return restore(&c.Pools, item, revision)
	case KindMaintenancePlan:
		return restore(&c.MaintenancePlans, item, revision)
	case KindJob:
		return restore(&c.Jobs, item, revision)
	default:
		return fmt.Errorf("%s: %w", item.Key, ErrUnknownKind)
	}
}

func restore[T any](objects *map[string]Versioned[T], item Item, revision Revision) error {
	var spec T
	if err := json.Unmarshal(item.Body, &spec); err != nil {
		return fmt.Errorf("decode %s: %w", item.Key, err)
	}
	if *objects == nil {
		*objects = map[string]Versioned[T]{}
	}
	(*objects)[item.Key.Name] = Versioned[T]{Revision: revision, Spec: spec}
	return nil
}

// Document returns all objects of the configuration, sorted by name.
func (c *Config) Document() Document {
	return Document{
		Services:         specs(c.Services),
		Classes:          specs(c.Classes),
		Tenants:          specs(c.Tenants),
		Pools:            specs(c.Pools),
		MaintenancePlans: specs(c.MaintenancePlans),
		Jobs:             specs(c.Jobs),
	}
}

func specs[T any](objects map[string]Versioned[T]) []T {
	var out []T
	for _, name := range slices.Sorted(maps.Keys(objects)) {
		out = append(out, objects[name].Spec)
	}
	return out
}

// Keys returns the names of all objects in the document.
func (d Document) Keys() []Key {
	var out []Key
	out = appendKeys(out, KindService, d.Services, func(s Service) string { return s.Name })
	out = appendKeys(out, KindClass, d.Classes, func(s Class) string { return s.Name })
	out = appendKeys(out, KindTenant, d.Tenants, func(s Tenant) string { return s.Name })
	out = appendKeys(out, KindPool, d.Pools, func(s Pool) string { return s.Name })
	out = appendKeys(out, KindMaintenancePlan, d.MaintenancePlans, func(s MaintenancePlan) string { return s.Name })
	return appendKeys(out, KindJob, d.Jobs, func(s Job) string { return s.Name })
}

func appendKeys[T any](out []Key, kind Kind, specs []T, name func(T) string) []Key {
	for _, spec := range specs {
		out = append(out, Key{Kind: kind, Name: name(spec)})
	}
	return out
}
