package manifest

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// ChangeKind is the kind of a Change.
type ChangeKind string

const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Change is one difference between two manifests.
type Change struct {
	Kind ChangeKind `json:"kind"`
	Path string     `json:"path"` // identifies items by name, such as databases[orders].servers[orders-1].slots
	Old  string     `json:"old,omitempty"`
	// New is the new value, or the fields of an added item with their defaults. Items nested in an
	// added item are separate changes.
	New string `json:"new,omitempty"`
}

// String formats the change in one line.
func (c Change) String() string {
	switch {
	case c.Kind == Changed:
		return fmt.Sprintf("%s %s: %s -> %s", c.Kind, c.Path, c.Old, c.New)
	case c.New != "":
		return fmt.Sprintf("%s %s: %s", c.Kind, c.Path, c.New)
	}
	return fmt.Sprintf("%s %s", c.Kind, c.Path)
}

// Diff lists the changes from one valid manifest to another. It fills in defaults first and ignores
// the order of items.
func Diff(from, to Manifest) []Change {
	var d differ
	d.diffFields("", reflect.ValueOf(from.WithDefaults()), reflect.ValueOf(to.WithDefaults()))
	return d.changes
}

type differ struct {
	changes []Change
}

func (d *differ) add(c Change) {
	d.changes = append(d.changes, c)
}

func (d *differ) diffFields(path string, from, to reflect.Value) {
	for i := range from.NumField() {
		at := fieldPath(path, jsonName(from.Type().Field(i)))
		if from.Field(i).Kind() == reflect.Slice {
			d.diffItems(at, from.Field(i), to.Field(i))
			continue
		}
		before, after := scalarText(from.Field(i)), scalarText(to.Field(i))
		if before != after {
			d.add(Change{Kind: Changed, Path: at, Old: before, New: after})
		}
	}
}

func (d *differ) diffItems(path string, from, to reflect.Value) {
	before, after := itemsByName(from), itemsByName(to)
	for _, name := range unionKeys(before, after) {
		at := fmt.Sprintf("%s[%s]", path, name)
		old, existed := before[name]
		new, exists := after[name]
		switch {
		case !exists:
			d.add(Change{Kind: Removed, Path: at})
		case !existed:
			d.addItem(at, new)
		case old.Kind() == reflect.Struct:
			d.diffFields(at, old, new)
		}
	}
}

// addItem adds the changes for a new item with its fields and for the items nested in it.
func (d *differ) addItem(path string, item reflect.Value) {
	if item.Kind() != reflect.Struct {
		d.add(Change{Kind: Added, Path: path})
		return
	}
	var fields []string
	var lists []int
	for i := 1; i < item.NumField(); i++ { // the first field is the name, which is already in the path
		value, tag := item.Field(i), item.Type().Field(i)
		switch {
		case value.Kind() == reflect.Slice && value.Type().Elem().Kind() == reflect.Struct:
			lists = append(lists, i)
		case value.IsZero() && strings.HasSuffix(tag.Tag.Get("json"), ",omitempty"):
		default:
			fields = append(fields, jsonName(tag)+"="+scalarText(value))
		}
	}
	d.add(Change{Kind: Added, Path: path, New: strings.Join(fields, " ")})
	for _, i := range lists {
		d.diffItems(fieldPath(path, jsonName(item.Type().Field(i))), reflect.Zero(item.Field(i).Type()), item.Field(i))
	}
}

func scalarText(v reflect.Value) string {
	if d, ok := v.Interface().(Duration); ok {
		return d.Std().String()
	}
	return fmt.Sprint(v.Interface())
}

// itemsByName indexes the items of a slice by their first field, which is their name or id. Items
// that are strings are indexed by their value.
func itemsByName(list reflect.Value) map[string]reflect.Value {
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
