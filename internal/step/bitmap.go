package step

import (
	"encoding/base64"

	"github.com/pkg/errors"
)

// Bitmap is the set of slots whose samples the trainer has. Bit 0 is the least significant bit of the first byte.
type Bitmap []byte

// NewBitmap returns an empty bitmap for n slots.
func NewBitmap(n int) Bitmap { return make(Bitmap, (n+7)/8) }

// DecodeBitmap parses the have field of a poll for n slots. An empty field means that the trainer has no sample.
func DecodeBitmap(have string, n int) (Bitmap, error) {
	if have == "" {
		return NewBitmap(n), nil
	}
	raw, err := base64.StdEncoding.DecodeString(have)
	if err != nil {
		return nil, errors.Wrap(err, "decode the have bitmap")
	}
	if len(raw) != (n+7)/8 {
		return nil, errors.Errorf("the have bitmap has %d bytes, but the step needs %d", len(raw), (n+7)/8)
	}
	return raw, nil
}

// Has reports whether slot i is in the bitmap.
func (b Bitmap) Has(i int) bool { return b[i/8]&(1<<(i%8)) != 0 }

// Add adds slot i to the bitmap.
func (b Bitmap) Add(i int) { b[i/8] |= 1 << (i % 8) }

// Encode returns the bitmap as a have field.
func (b Bitmap) Encode() string { return base64.StdEncoding.EncodeToString(b) }
