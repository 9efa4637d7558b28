package daemon

import (
	"sync"

	"filbertworks.example/filbertworks/coap"
	"filbertworks.example/filbertworks/wire"
)

// bufferSize is the size of the largest valid datagram plus one byte, so that
// larger ones are detected.
const bufferSize = coap.MaxDatagramSize + wire.RelayHeaderSize + 1

// A buffer holds a datagram in pooled memory.
type buffer struct {
	bytes [bufferSize]byte
	size  int
}

// buffers is the pool of unused buffers.
var buffers = sync.Pool{
	New: func() any { return new(buffer) },
}

// data returns the datagram.
func (b *buffer) data() []byte {
	return b.bytes[:b.size]
}

// release returns the buffer to the pool; it must not be used afterwards.
func (b *buffer) release() {
	buffers.Put(b)
}

func newBuffer() *buffer {
	return buffers.Get().(*buffer)
}
