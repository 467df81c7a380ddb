package manifest

import (
	"encoding/json"
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"
)

const docsFolder = "../../docs/"

type schemaNode struct {
	Type                 string                `json:"type"`
	Required             []string              `json:"required"`
	AdditionalProperties *bool                 `json:"additionalProperties"`
	Properties           map[string]schemaNode `json:"properties"`
	Items                *schemaNode           `json:"items"`
	Ref                  string                `json:"$ref"`
	Pattern              string                `json:"pattern"`
	Const                string                `json:"const"`
	Enum                 []string              `json:"enum"`
	Default              any                   `json:"default"`
	Defs                 map[string]schemaNode `json:"$defs"`
}

func (n schemaNode) resolve(defs map[string]schemaNode) schemaNode {
	if n.Ref == "" {
		return n
	}
	return defs[strings.TrimPrefix(n.Ref, "#/$defs/")]
}

// Guards against a JSON schema that accepts or rejects other fields than the decoder.
func TestSchemaMatchesTypes(t *testing.T) {
	doc, err := os.ReadFile(docsFolder + "manifest.schema.json")
	if err != nil {
		t.Fatal(err)
	}
	var root schemaNode
	if err := json.Unmarshal(doc, &root); err != nil {
		t.Fatal(err)
	}
	compareNode(t, "", root, reflect.TypeFor[Manifest](), root.Defs)
	if got := root.Properties["apiVersion"].Const; got != APIVersion {
		t.Errorf("apiVersion = %q, want %q", got, APIVersion)
	}
	if got := root.Defs["name"].Pattern; got != namePattern.String() {
		t.Errorf("name pattern = %q, want %q", got, namePattern)
	}
	compareRoute(t, root.Defs["route"].Properties)
}

func compareRoute(t *testing.T, properties map[string]schemaNode) {
	t.Helper()
	if want := []string{string(AcknowledgeMajority), string(AcknowledgePrimary)}; !slices.Equal(properties["acknowledge"].Enum, want) {
		t.Errorf("acknowledge = %v, want %v", properties["acknowledge"].Enum, want)
	}
	if want := []string{string(ScopeAny), string(ScopeConnection)}; !slices.Equal(properties["sessionScope"].Enum, want) {
		t.Errorf("sessionScope = %v, want %v", properties["sessionScope"].Enum, want)
	}
	defaults := reflect.ValueOf(Route{}.withDefaults())
	for i := range defaults.NumField() {
		name := jsonName(defaults.Type().Field(i))
		text, ok := properties[name].Default.(string)
		if !ok {
			continue
		}
		if d, err := time.ParseDuration(text); err == nil {
			text = d.String()
		}
		if want := scalarText(defaults.Field(i)); text != want {
			t.Errorf("default of %s = %q, want %q", name, text, want)
		}
	}
}

func compareNode(t *testing.T, path string, n schemaNode, typ reflect.Type, defs map[string]schemaNode) {
	t.Helper()
	n = n.resolve(defs)
	if typ.Kind() == reflect.Slice {
		if n.Type != "array" || n.Items == nil {
			t.Errorf("%s is not an array", path)
			return
		}
		compareNode(t, path+"[]", *n.Items, typ.Elem(), defs)
		return
	}
	if typ.Kind() != reflect.Struct {
		compareScalar(t, path, n, typ)
		return
	}
	if n.AdditionalProperties == nil || *n.AdditionalProperties {
		t.Errorf("%s accepts unknown fields, want additionalProperties: false", path)
	}
	if got, want := sortedKeys(n.Properties), sortedKeys(jsonFields(typ)); !slices.Equal(got, want) {
		t.Errorf("%s has fields %v, want %v", path, got, want)
	}
	for f := range typ.Fields() {
		name := jsonName(f)
		optional := strings.Contains(f.Tag.Get("json"), ",omitempty")
		if slices.Contains(n.Required, name) == optional {
			t.Errorf("%s: required = %v, want %v", fieldPath(path, name), !optional, optional)
		}
		compareNode(t, fieldPath(path, name), n.Properties[name], f.Type, defs)
	}
}

func compareScalar(t *testing.T, path string, n schemaNode, typ reflect.Type) {
	t.Helper()
	want := map[reflect.Kind]string{
		reflect.String: "string", reflect.Bool: "boolean", reflect.Int: "integer",
		reflect.Uint64: "integer", reflect.Float64: "number",
	}[typ.Kind()]
	if typ == reflect.TypeFor[Duration]() {
		want = "string"
	}
	if n.Type != want && n.Const == "" && n.Enum == nil {
		t.Errorf("%s has type %q, want %q", path, n.Type, want)
	}
}

// Guards against an example in the documentation that is not a valid manifest.
func TestExampleIsValid(t *testing.T) {
	doc, err := os.ReadFile(docsFolder + "examples/manifest.yaml")
	if err != nil {
		t.Fatal(err)
	}
	m, err := Parse(doc)
	if err != nil {
		t.Fatal(err)
	}
	if len(m.Databases) != 2 || len(m.Databases[0].Servers) != MinServers {
		t.Errorf("example has databases %+v, want two groups of three servers", m.Databases)
	}
}
