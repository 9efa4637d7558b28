// Package standin contains code shared by the stand-in programs: contents that
// one program generates and another verifies, and the encoding of CoAP messages.
package standin

import "fmt"

// Sizes of photos.
const (
	// PhotoBlocks is the number of blocks in a photo.
	PhotoBlocks = 5
	// PhotoBlockExponent is the Block2 size exponent of PhotoBlockSize.
	PhotoBlockExponent = 5
	// PhotoBlockSize is the size of a block, in bytes.
	PhotoBlockSize = 16 << PhotoBlockExponent
)

// Photo returns the content of a service's photo: a line with its name, and
// filler bytes that are derived from that line. Its size is PhotoBlocks times
// PhotoBlockSize bytes.
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

// ServesPhotos reports whether the service with this name serves photos. All
// other services serve calendars and holds.
func ServesPhotos(service string) bool {
	return service == "lookbook" || service == "planimetrie"
}
