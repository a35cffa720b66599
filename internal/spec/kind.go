package spec

import "github.com/tailscale/hujson"

// Kind is the kind of a file.
type Kind string

// Kinds of files.
const (
	KindManifest Kind = "manifest"
	KindSettings Kind = "settings"
)

// Check parses a body as a file of the given kind and returns its faults.
func (k Kind) Check(file string, body []byte) error {
	var err error
	if k == KindSettings {
		_, err = ParseSettings(file, body)
	} else {
		_, err = ParseManifest(file, body)
	}
	return err
}

// KindOf tells the kind of a file by the fields that only settings have. A
// body that it can't read counts as a manifest, whose parser reports why.
func KindOf(body []byte) Kind {
	if len(body) > MaxManifest || tooDeep(body) >= 0 {
		return KindManifest
	}
	v, err := hujson.Parse(body)
	if err != nil {
		return KindManifest
	}
	o, ok := v.Value.(*hujson.Object)
	if !ok {
		return KindManifest
	}
	for _, m := range o.Members {
		name := m.Name.Value.(hujson.Literal).String()
		if settingsShape.field(name) != nil && manifestShape.field(name) == nil {
			return KindSettings
		}
	}
	return KindManifest
}
