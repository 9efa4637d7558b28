// Package standin holds what the stand-in programs share: the contents that
// one of them makes and another checks, and CoAP encoding.
package standin

import "fmt"

// Sizes of photos.
const (
	// PhotoBlocks is the number of blocks of a photo.
	PhotoBlocks = 5
	// PhotoBlockExponent is the Block2 size exponent of PhotoBlockSize.
	PhotoBlockExponent = 5
	// PhotoBlockSize is the size of a block, in bytes.
	PhotoBlockSize = 16 << PhotoBlockExponent
)

// Photo returns the content of a service's photo, PhotoBlocks times
// PhotoBlockSize bytes: a line that names it and filler that depends on it.
func Photo(service, number string) []byte {
	b := make([]byte, 0, PhotoBlocks*PhotoBlockSize)
	b = fmt.Appendf(b, "%s photo %s\n", service, number)
	state := uint32(len(b))
	for _, c := range b {
		state = state*31 + uint32(c)
	}
	for len(b) < PhotoBlocks*PhotoBlockSize {
		state = state*1664525 + 1013904223
		b = append(b, 'a'+byte(state>>24)%26)
	}
	return b[:PhotoBlocks*PhotoBlockSize]
}

// ServesPhotos reports whether a service of this name serves photos; the
// others serve calendars and holds.
func ServesPhotos(service string) bool {
	return service == "lookbook" || service == "planimetrie"
}
