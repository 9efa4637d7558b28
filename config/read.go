package config

import (
	"io"

	"github.com/rotisserie/eris"
)

// MaxValueSize is the largest value that the platform serves, in bytes.
const MaxValueSize = 1 << 20

// Errors of a value read from the platform.
var (
	// ErrInvalidValue reports a value that is complete but can't be right.
	ErrInvalidValue = eris.New("unusable value")
	// ErrTooLarge reports a value of more than MaxValueSize bytes.
	ErrTooLarge = eris.New("value too large")
)

// Read sets v from the JSON value that r holds and reads at most one byte
// beyond MaxValueSize.
func Read(r io.Reader, v any) error {
	data, err := io.ReadAll(io.LimitReader(r, MaxValueSize+1))
	if err != nil {
		return eris.Wrap(err, "read value")
	}
	if len(data) > MaxValueSize {
		return eris.Wrapf(ErrTooLarge, "more than %d bytes", MaxValueSize)
	}
	return Decode(data, v)
}

// Check returns ErrContent where p holds neither or both of a document and
// patches, or patches that don't lead to its version one by one. It does not
// check the document.
func (p *Publication) Check() error {
	if p.Version == 0 {
		return eris.Wrap(ErrInvalidValue, "publication without a version")
	}
	if (p.Document == nil) == (len(p.Patches) == 0) {
		return eris.Wrap(ErrInvalidValue, "publication needs either a document or patches")
	}
	if Version(len(p.Patches)) > p.Version {
		return eris.Wrapf(ErrInvalidValue, "%d patches for version %d", len(p.Patches), p.Version)
	}
	base := p.Version - Version(len(p.Patches))
	for i := range p.Patches {
		if p.Patches[i].Base != base {
			return eris.Wrapf(ErrInvalidValue, "patches[%d] has base %d, want %d", i, p.Patches[i].Base, base)
		}
		base++
	}
	return nil
}
