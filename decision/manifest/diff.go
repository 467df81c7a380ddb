package manifest

import (
	"fmt"
	"reflect"
	"slices"
)

// ChangeKind tells what happened to a part of a manifest.
type ChangeKind string

const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Change is one difference between two manifests.
type Change struct {
	Kind ChangeKind `json:"kind"`
	Path string     `json:"path"` // items by name, such as databases[orders].servers[orders-1].slots
	Old  string     `json:"old,omitempty"`
	New  string     `json:"new,omitempty"`
}

// String renders the change in one line.
func (c Change) String() string {
	if c.Kind == Changed {
		return fmt.Sprintf("%s %s: %s -> %s", c.Kind, c.Path, c.Old, c.New)
	}
	return fmt.Sprintf("%s %s", c.Kind, c.Path)
}

// Diff lists the changes that lead from one valid manifest to another, with defaults filled in
// and regardless of the order of items.
func Diff(from, to Manifest) []Change {
	var d differ
	d.fields("", reflect.ValueOf(from.WithDefaults()), reflect.ValueOf(to.WithDefaults()))
	return d.changes
}

type differ struct {
	changes []Change
}

func (d *differ) add(c Change) {
	d.changes = append(d.changes, c)
}

func (d *differ) fields(path string, from, to reflect.Value) {
	for i := range from.NumField() {
		at := field(path, jsonName(from.Type().Field(i)))
		if from.Field(i).Kind() == reflect.Slice {
			d.items(at, from.Field(i), to.Field(i))
			continue
		}
		before, after := scalarText(from.Field(i)), scalarText(to.Field(i))
		if before != after {
			d.add(Change{Kind: Changed, Path: at, Old: before, New: after})
		}
	}
}

func (d *differ) items(path string, from, to reflect.Value) {
	before, after := byName(from), byName(to)
	for _, name := range unionKeys(before, after) {
		at := fmt.Sprintf("%s[%s]", path, name)
		old, had := before[name]
		new, has := after[name]
		switch {
		case !has:
			d.add(Change{Kind: Removed, Path: at})
		case !had:
			d.add(Change{Kind: Added, Path: at})
		case old.Kind() == reflect.Struct:
			d.fields(at, old, new)
		}
	}
}

func scalarText(v reflect.Value) string {
	if d, ok := v.Interface().(Duration); ok {
		return d.Std().String()
	}
	return fmt.Sprint(v.Interface())
}

// byName maps the items of a slice by their first field, which is their name or id; items that
// are strings name themselves.
func byName(list reflect.Value) map[string]reflect.Value {
	items := make(map[string]reflect.Value, list.Len())
	for i := range list.Len() {
		item := list.Index(i)
		name := item
		if item.Kind() == reflect.Struct {
			name = item.Field(0)
		}
		items[name.String()] = item
	}
	return items
}

func unionKeys[V any](a, b map[string]V) []string {
	keys := append(sortedKeys(a), sortedKeys(b)...)
	slices.Sort(keys)
	return slices.Compact(keys)
}
