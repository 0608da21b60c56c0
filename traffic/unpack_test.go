package traffic

import (
	"errors"
	"testing"

	"figbank"
)

// A packed document unpacked to more than the limit was cut there, and returned as if it were whole.
func TestDocumentThatUnpacksToTooMuchIsRefused(t *testing.T) {
	packed, err := Pack(make([]byte, maxUnpacked+1))
	if err != nil {
		t.Fatal(err)
	}
	document, err := Unpack(packed)
	if !errors.As(err, new(figbank.CorruptError)) {
		t.Errorf("Unpack() of %d bytes = %d bytes, %v, want CorruptError", len(packed), len(document), err)
	}
}
