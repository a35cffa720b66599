package spec

//go:generate go run ./gen ../../schema

import (
	"bytes"
	"encoding/json"
	"strconv"
)

// dialect is the version of JSON Schema that the schemas are written in.
const dialect = "https://json-schema.org/draft/2020-12/schema"

// durationPattern matches durations of time.ParseDuration without a sign.
const durationPattern = `^([0-9]+(\.[0-9]*)?(ns|us|µs|ms|s|m|h))+$|^0$`

// node is one schema in the form that encoding/json writes.
type node struct {
	Schema      string           `json:"$schema,omitempty"`
	Title       string           `json:"title,omitempty"`
	Description string           `json:"description,omitempty"`
	Type        string           `json:"type"`
	Format      string           `json:"format,omitempty"`
	Pattern     string           `json:"pattern,omitempty"`
	Enum        []string         `json:"enum,omitempty"`
	Default     json.RawMessage  `json:"default,omitempty"`
	Minimum     json.Number      `json:"minimum,omitempty"`
	Maximum     json.Number      `json:"maximum,omitempty"`
	MinItems    json.Number      `json:"minItems,omitempty"`
	MaxItems    json.Number      `json:"maxItems,omitempty"`
	Items       *node            `json:"items,omitempty"`
	Properties  map[string]*node `json:"properties,omitempty"`
	Required    []string         `json:"required,omitempty"`
	Additional  *bool            `json:"additionalProperties,omitempty"`
}

// ManifestSchema returns the JSON Schema of the manifest.
func ManifestSchema() ([]byte, error) { return schema(manifestShape) }

// SettingsSchema returns the JSON Schema of the settings.
func SettingsSchema() ([]byte, error) { return schema(settingsShape) }

func schema(s *shape) ([]byte, error) {
	n := nodeOf(s)
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

func nodeOf(s *shape) *node {
	n := &node{Description: s.doc, Enum: s.enum}
	if s.form != nil {
		n.Pattern = s.form.pattern
	}
	low, high := json.Number(s.low.text), json.Number(s.high.text)
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
		n.Items = nodeOf(s.item)
	case kindObject:
		n.object(s)
	}
	n.preset(s)
	return n
}

func (n *node) object(s *shape) {
	closed := false
	n.Type = "object"
	n.Additional = &closed
	n.Properties = map[string]*node{}
	for _, f := range s.fields {
		n.Properties[f.name] = nodeOf(f)
		if !f.optional {
			n.Required = append(n.Required, f.name)
		}
	}
}

func (n *node) preset(s *shape) {
	if s.preset == "" {
		return
	}
	n.Default = json.RawMessage(s.preset)
	if n.Type == "string" {
		n.Default = json.RawMessage(strconv.Quote(s.preset))
	}
}
