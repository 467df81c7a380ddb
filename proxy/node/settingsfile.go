package node

import (
	"fmt"
	"os"
	"reflect"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	yamlv3 "go.yaml.in/yaml/v3"
	"sigs.k8s.io/yaml"
)

// fieldFault is what is wrong with a field of the settings.
type fieldFault struct {
	field   string // as written in the file, with dots: bounds.stopSeconds
	message string
	line    int // 0 if the field is not in the file
}

// Error implements error.
func (f fieldFault) Error() string {
	if f.line == 0 {
		return f.field + ": " + f.message
	}
	return fmt.Sprintf("line %d: %s: %s", f.line, f.field, f.message)
}

// ReadSettings reads and validates a settings file. Unknown fields are ignored; the error names every invalid field with its
// line.
func ReadSettings(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "settings can't be read; check the path given with --settings")
	}
	s, faults, err := parseSettings(data)
	if err != nil {
		return s, errors.Wrapf(err, "settings %s are not YAML; compare them with deploy/settings.yaml", path)
	}
	return s, joinFaults(faults)
}

// parseSettings returns the settings in a file and all of their faults, in the order of the file.
func parseSettings(data []byte) (Settings, []fieldFault, error) {
	var s Settings
	var doc yamlv3.Node
	if err := yamlv3.Unmarshal(data, &doc); err != nil {
		return s, nil, err
	}
	if len(doc.Content) == 0 {
		return s, s.faults(), nil
	}
	root := doc.Content[0]
	lines := map[string]int{}
	faults := removeMistyped(root, reflect.TypeFor[Settings](), "", lines)
	rest, err := yamlv3.Marshal(root)
	if err != nil {
		return s, nil, err
	}
	if err := yaml.Unmarshal(rest, &s); err != nil {
		return s, nil, err
	}
	for _, f := range s.faults() {
		if !isReported(f.field, faults) {
			f.line = lines[f.field]
			faults = append(faults, f)
		}
	}
	slices.SortStableFunc(faults, func(a, b fieldFault) int { return a.line - b.line })
	return s, faults, nil
}

// isReported reports whether a field, or the table that it is in, has a fault already.
func isReported(field string, faults []fieldFault) bool {
	return slices.ContainsFunc(faults, func(f fieldFault) bool {
		return f.field == field || strings.HasPrefix(field, f.field+".")
	})
}

// joinFaults returns nil if there are none.
func joinFaults(faults []fieldFault) error {
	list := make([]error, 0, len(faults))
	for _, f := range faults {
		list = append(list, f)
	}
	return errors.Join(list...)
}

// removeMistyped removes the fields of a table whose values have another type than t's fields, and returns their faults. It
// records the line of each known field in lines.
func removeMistyped(table *yamlv3.Node, t reflect.Type, path string, lines map[string]int) []fieldFault {
	if table.Kind != yamlv3.MappingNode {
		return []fieldFault{{field: strings.TrimSuffix(path, "."), message: "is not a table; write its fields below it", line: table.Line}}
	}
	var faults []fieldFault
	var kept []*yamlv3.Node
	for i := 0; i+1 < len(table.Content); i += 2 {
		key, value := table.Content[i], table.Content[i+1]
		field, known := fieldNamed(t, key.Value)
		if !known {
			continue
		}
		name := path + jsonName(field)
		lines[name] = key.Line
		found := valueFaults(value, field.Type, name, lines)
		faults = append(faults, found...)
		if len(found) == 0 || field.Type.Kind() == reflect.Struct && value.Kind == yamlv3.MappingNode {
			kept = append(kept, key, value)
		}
	}
	table.Content = kept
	return faults
}

func valueFaults(value *yamlv3.Node, t reflect.Type, name string, lines map[string]int) []fieldFault {
	fault := func(want string) []fieldFault {
		shown := value.Value
		if value.Kind != yamlv3.ScalarNode {
			shown = "a list or table"
		}
		return []fieldFault{{field: name, message: shown + " is not " + want, line: value.Line}}
	}
	tag := value.ShortTag()
	switch {
	case tag == "!!null":
		return nil
	case t.Kind() == reflect.Struct:
		return removeMistyped(value, t, name+".", lines)
	case t.Kind() == reflect.Map && value.Kind != yamlv3.MappingNode:
		return fault("a table of names")
	case t.Kind() == reflect.String && tag != "!!str":
		return fault("text; put it in quotes")
	case t.Kind() == reflect.Bool && tag != "!!bool":
		return fault("true or false")
	case t.Kind() == reflect.Float64 && tag != "!!int" && tag != "!!float":
		return fault("a number")
	case t.Kind() == reflect.Int64 && tag != "!!int":
		return fault("a whole number")
	}
	return nil
}

// fieldNamed returns the field of a struct with a name in the file, whose case doesn't matter.
func fieldNamed(t reflect.Type, name string) (reflect.StructField, bool) {
	for i := range t.NumField() {
		if strings.EqualFold(jsonName(t.Field(i)), name) {
			return t.Field(i), true
		}
	}
	return reflect.StructField{}, false
}

func jsonName(f reflect.StructField) string {
	return f.Tag.Get("json")
}
