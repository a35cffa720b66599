package ident_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cicadahall/cicadahall/ident"
)

func ExampleParseRequest() {
	r, err := ident.ParseRequest("00000000000000010000000000000002")
	fmt.Println(r.Low64(), err)
	// Output: 2 <nil>
}

// Guards against an id that changes when it is formatted for a header and parsed
// again, so that two requests could get the same id.
func TestRequestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := ident.NewRequest(rapid.Uint64().Draw(t, "high"), rapid.Uint64().Draw(t, "low"))
		got, err := ident.ParseRequest(want.String())
		assert.NilError(t, err)
		assert.Equal(t, got, want)
	})
}

// Guards against a malformed header that is accepted as a request id.
func TestParseRequestRejectsMalformed(t *testing.T) {
	for _, s := range []string{"", "zz", "00", "0000000000000001000000000000000g"} {
		_, err := ident.ParseRequest(s)
		assert.ErrorIs(t, err, ident.ErrInvalidRequest, s)
	}
}
