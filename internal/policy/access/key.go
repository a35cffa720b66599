package access

import (
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
)

// Key is the SHA-256 digest of a caller's key. The text of the key isn't kept, so
// that it can't appear in a log line, an error or a message. The zero Key stands
// for an empty or missing key and belongs to no workspace.
type Key struct {
	digest [sha256.Size]byte
}

// NewKey returns the Key of a text; an empty text gives the zero Key.
func NewKey(text string) Key {
	if text == "" {
		return Key{}
	}
	return Key{digest: sha256.Sum256([]byte(text))}
}

// ErrInvalidDigest reports text that Digest can't have returned.
var ErrInvalidDigest = errors.New("digest of a key is not 43 characters of base64url")

// ParseDigest is the reverse of Digest.
func ParseDigest(text string) (Key, error) {
	if text == "" {
		return Key{}, nil
	}
	b, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil || len(b) != sha256.Size {
		return Key{}, ErrInvalidDigest
	}
	return Key{digest: [sha256.Size]byte(b)}, nil
}

// Digest returns the form in which nodes exchange the key; it is empty for the
// zero Key.
func (k Key) Digest() string {
	if k == (Key{}) {
		return ""
	}
	return base64.RawURLEncoding.EncodeToString(k.digest[:])
}

// keyText replaces a key in formatted text.
const keyText = "[key]"

// String returns a constant text, because a digest suffices to test guesses of a
// short key.
func (Key) String() string { return keyText }

// Format writes the text of String for every verb.
func (Key) Format(f fmt.State, _ rune) {
	_, _ = io.WriteString(f, keyText) // formatting to memory or reported by fmt
}

// MarshalText returns the text of String, for encoders.
func (Key) MarshalText() ([]byte, error) { return []byte(keyText), nil }
