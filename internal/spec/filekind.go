package spec

import "github.com/tailscale/hujson"

// FileKind is the kind of a configuration file.
type FileKind string

// Kinds of configuration files.
const (
	KindManifest FileKind = "manifest"
	KindSettings FileKind = "settings"
)

// Check parses the body as a file of the kind and returns its faults as Errors,
// or nil. The file name is used in the faults only.
func (k FileKind) Check(file string, body []byte) error {
	var err error
	if k == KindSettings {
		_, err = ParseSettings(file, body)
	} else {
		_, err = ParseManifest(file, body)
	}
	return err
}

// DetectKind returns the kind of a file: settings if the body has a field that
// only settings have. A body that it can't parse counts as a manifest, whose
// parser reports the fault.
func DetectKind(body []byte) FileKind {
	if len(body) > MaxManifestBytes || excessDepthOffset(body) >= 0 {
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
		if settingsShape.fieldByName(name) != nil && manifestShape.fieldByName(name) == nil {
			return KindSettings
		}
	}
	return KindManifest
}
