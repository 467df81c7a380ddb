package manifest

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"sigs.k8s.io/yaml"
)

// Decode reads a manifest in YAML or JSON, or one that was compressed by Pack. It rejects unknown
// fields, duplicate fields, values of the wrong type and durations without a unit; the error is
// then Faults. It doesn't validate the manifest.
func Decode(doc []byte) (Manifest, error) {
	var m Manifest
	doc, err := decompress(doc)
	if err != nil {
		return m, Faults{{Problem: err.Error(), Remedy: "apply the manifest again"}}
	}
	if m, ok := decodeCanonical(doc); ok {
		return m, nil
	}
	if countDocuments(doc) > 1 {
		return m, Faults{{Problem: "file holds more than one document", Remedy: "keep one manifest per file"}}
	}
	asJSON, err := yaml.YAMLToJSONStrict(doc)
	if err != nil {
		return m, Faults{{Problem: err.Error(), Remedy: "write valid YAML or JSON without repeated fields"}}
	}
	if faults := checkTypes(asJSON); len(faults) > 0 {
		return m, faults
	}
	if err := yaml.UnmarshalStrict(asJSON, &m); err != nil {
		return m, Faults{{Problem: err.Error(), Remedy: "compare the document with docs/manifest.schema.json"}}
	}
	return m, nil
}

// decodeCanonical reads a document written by Encode, as instances find it in the store at every
// change. It accepts the document only if encoding the result again gives the same bytes, so no
// field was unknown, duplicate or dropped. It takes less than a tenth of the time of the strict
// YAML path.
func decodeCanonical(doc []byte) (Manifest, bool) {
	var m Manifest
	if err := json.Unmarshal(doc, &m); err != nil {
		return Manifest{}, false
	}
	again, err := m.Encode()
	if err != nil || !bytes.Equal(again, doc) {
		return Manifest{}, false
	}
	return m, true
}

// Parse decodes and validates a manifest. The error is of type Faults.
func Parse(doc []byte) (Manifest, error) {
	m, err := Decode(doc)
	if err != nil {
		return m, err
	}
	return m, m.Validate().Err()
}

// Encode returns m as the JSON that is kept in the store.
func (m Manifest) Encode() ([]byte, error) {
	doc, err := json.Marshal(m)
	return doc, errors.Wrap(err, "encode the manifest")
}

// Digest identifies the content of m, independently of formatting and of omitted defaults.
func (m Manifest) Digest() [sha256.Size]byte {
	doc, err := m.WithDefaults().Encode()
	if err != nil {
		// Only non-finite numbers can't be encoded, and valid documents have none.
		return [sha256.Size]byte{}
	}
	return sha256.Sum256(doc)
}

// countDocuments counts the YAML documents that have content. The YAML library reads only the
// first one and would silently ignore the others.
func countDocuments(doc []byte) int {
	count := 0
	open := false
	for line := range bytes.Lines(doc) {
		text := strings.TrimRight(string(line), " \t\r\n")
		switch {
		case text == "---" || text == "..." || strings.HasPrefix(text, "--- "):
			open = false
		case text == "" || strings.HasPrefix(strings.TrimSpace(text), "#") || strings.HasPrefix(text, "%"):
		case !open:
			open = true
			count++
		}
	}
	return count
}

// checkTypes compares a JSON document with the Go types and reports every mismatch with its path.
// The decoder alone stops at the first mismatch, gives no path and ignores the case of names.
func checkTypes(doc []byte) Faults {
	var value any
	decoder := json.NewDecoder(bytes.NewReader(doc))
	decoder.UseNumber()
	if err := decoder.Decode(&value); err != nil {
		return Faults{{Problem: err.Error(), Remedy: "write valid YAML or JSON"}}
	}
	var faults Faults
	faults.checkValue("", value, reflect.TypeFor[Manifest]())
	return faults
}

func (f *Faults) checkValue(path string, value any, t reflect.Type) {
	if value == nil {
		return // an empty YAML field; Validate reports it if a value is required
	}
	if t == reflect.TypeFor[Duration]() {
		f.checkDuration(path, value)
		return
	}
	switch t.Kind() {
	case reflect.Struct:
		f.checkFields(path, value, t)
	case reflect.Slice:
		f.checkItems(path, value, t)
	default:
		f.checkScalar(path, value, t)
	}
}

func (f *Faults) checkFields(path string, value any, t reflect.Type) {
	fields, ok := value.(map[string]any)
	if !ok {
		f.addTypeFault(path, value, "an object")
		return
	}
	known := jsonFields(t)
	for _, name := range sortedKeys(fields) {
		fieldType, ok := known[name]
		if !ok {
			f.add(fieldPath(path, name), "field is unknown", "remove it or write one of "+strings.Join(sortedKeys(known), ", "))
			continue
		}
		f.checkValue(fieldPath(path, name), fields[name], fieldType)
	}
}

func (f *Faults) checkItems(path string, value any, t reflect.Type) {
	items, ok := value.([]any)
	if !ok {
		f.addTypeFault(path, value, "a list")
		return
	}
	for i, item := range items {
		f.checkValue(indexPath(path, i), item, t.Elem())
	}
}

func (f *Faults) checkScalar(path string, value any, t reflect.Type) {
	doc, err := json.Marshal(value)
	if err == nil {
		err = json.Unmarshal(doc, reflect.New(t).Interface())
	}
	if err != nil {
		f.addTypeFault(path, value, scalarName(t.Kind()))
	}
}

func (f *Faults) checkDuration(path string, value any) {
	text, ok := value.(string)
	if ok {
		_, err := time.ParseDuration(text)
		ok = err == nil
	}
	if !ok {
		f.add(path, fmt.Sprintf("%v is not a duration with a unit", value), `write a string such as "250ms" or "5s"`)
	}
}

func (f *Faults) addTypeFault(path string, value any, want string) {
	f.add(path, fmt.Sprintf("%v is not %s", summarize(value), want), "write "+want)
}

// summarize keeps nested documents out of messages.
func summarize(value any) any {
	switch value.(type) {
	case map[string]any:
		return "an object"
	case []any:
		return "a list"
	}
	return value
}

func scalarName(kind reflect.Kind) string {
	switch kind {
	case reflect.String:
		return "a string; quote it if it looks like a number or a truth value"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number"
	case reflect.Uint64:
		return "a whole number of at least 0"
	}
	return "a whole number"
}

// jsonFields maps the JSON names of a struct's fields to their types.
func jsonFields(t reflect.Type) map[string]reflect.Type {
	fields := make(map[string]reflect.Type, t.NumField())
	for f := range t.Fields() {
		fields[jsonName(f)] = f.Type
	}
	return fields
}

func jsonName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	return name
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
