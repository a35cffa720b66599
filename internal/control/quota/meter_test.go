package quota_test

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cicadahall/cicadahall/internal/control/quota"
)

func ExampleMeter() {
	m := quota.NewMeter(10, quota.ErrFull)
	first, second := m.NewReader(strings.NewReader("6 byte")), m.NewReader(strings.NewReader("6 more"))
	defer second.Close()
	_, err := io.ReadAll(first)
	fmt.Println(err)
	_, err = io.ReadAll(second)
	fmt.Println(err)
	first.Close()
	// Output:
	// <nil>
	// memory for requests is in use
}

// Guards against a meter that doesn't get back what its readers have returned,
// or gets it twice.
func TestMeterIsReturned(t *testing.T) {
	m := quota.NewMeter(10, quota.ErrFull)
	for range 3 {
		r := m.NewReader(&endless{})
		_, err := io.ReadAll(r)
		assert.Assert(t, errors.Is(err, quota.ErrFull))
		r.Close()
		r.Close()
		whole := m.NewReader(strings.NewReader("0123456789"))
		_, err = io.ReadAll(whole)
		assert.NilError(t, err)
		whole.Close()
	}
}
