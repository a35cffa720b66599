package spec

//go:generate go run ./gen ../../schema

import (
	"bytes"
	"encoding/json"
	"strconv"
)

// dialect identifies the version of JSON Schema.
const dialect = "https://json-schema.org/draft/2020-12/schema"

// durationPattern matches the unsigned durations that time.ParseDuration
// accepts.
const durationPattern = `^([0-9]+(\.[0-9]*)?(ns|us|µs|ms|s|m|h))+$|^0$`

// schemaNode is the JSON form of one schema or subschema.
type schemaNode struct {
	Schema               string                 `json:"$schema,omitempty"`
	Title                string                 `json:"title,omitempty"`
	Description          string                 `json:"description,omitempty"`
	Type                 string                 `json:"type"`
	Format               string                 `json:"format,omitempty"`
	Pattern              string                 `json:"pattern,omitempty"`
	Enum                 []string               `json:"enum,omitempty"`
	Default              json.RawMessage        `json:"default,omitempty"`
	Minimum              json.Number            `json:"minimum,omitempty"`
	Maximum              json.Number            `json:"maximum,omitempty"`
	MinItems             json.Number            `json:"minItems,omitempty"`
	MaxItems             json.Number            `json:"maxItems,omitempty"`
	Items                *schemaNode            `json:"items,omitempty"`
	Properties           map[string]*schemaNode `json:"properties,omitempty"`
	Required             []string               `json:"required,omitempty"`
	AdditionalProperties *bool                  `json:"additionalProperties,omitempty"`
}

// ManifestSchema returns the JSON Schema of the manifest.
func ManifestSchema() ([]byte, error) { return encodeSchema(manifestShape) }

// SettingsSchema returns the JSON Schema of the settings.
func SettingsSchema() ([]byte, error) { return encodeSchema(settingsShape) }

func encodeSchema(s *shape) ([]byte, error) {
	n := newSchemaNode(s)
	n.Schema = dialect
	n.Title = s.doc
	n.Description = ""
	var b bytes.Buffer
	e := json.NewEncoder(&b)
	e.SetEscapeHTML(false)
	e.SetIndent("", "  ")
	if err := e.Encode(n); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

func newSchemaNode(s *shape) *schemaNode {
	n := &schemaNode{Description: s.doc, Enum: s.enum}
	if s.format != nil {
		n.Pattern = s.format.pattern
	}
	low, high := json.Number(s.min.text), json.Number(s.max.text)
	switch s.kind {
	case kindString:
		n.Type = "string"
	case kindBool:
		n.Type = "boolean"
	case kindInt:
		n.Type, n.Minimum, n.Maximum = "integer", low, high
	case kindFloat:
		n.Type, n.Minimum, n.Maximum = "number", low, high
	case kindDuration:
		n.Type, n.Pattern = "string", durationPattern
	case kindTime:
		n.Type, n.Format = "string", "date-time"
	case kindList:
		n.Type, n.MinItems, n.MaxItems = "array", low, high
		n.Items = newSchemaNode(s.item)
	case kindObject:
		n.setObject(s)
	}
	n.setDefault(s)
	return n
}

func (n *schemaNode) setObject(s *shape) {
	allowed := false
	n.Type = "object"
	n.AdditionalProperties = &allowed
	n.Properties = map[string]*schemaNode{}
	for _, f := range s.fields {
		n.Properties[f.name] = newSchemaNode(f)
		if !f.optional {
			n.Required = append(n.Required, f.name)
		}
	}
}

func (n *schemaNode) setDefault(s *shape) {
	if s.preset == "" {
		return
	}
	n.Default = json.RawMessage(s.preset)
	if n.Type == "string" {
		n.Default = json.RawMessage(strconv.Quote(s.preset))
	}
}
