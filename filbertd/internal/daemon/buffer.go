package daemon

import (
	"sync"

	"filbertworks.example/filbertworks/coap"
	"filbertworks.example/filbertworks/wire"
)

// bufferSize holds the largest datagram that is read, and one byte more so that
// a larger one is noticed.
const bufferSize = coap.MaxDatagramSize + wire.RelayHeaderSize + 1

// A buffer is a datagram in memory that is used again.
type buffer struct {
	bytes [bufferSize]byte
	size  int
}

var buffers = sync.Pool{
	New: func() any { return new(buffer) },
}

func (b *buffer) data() []byte {
	return b.bytes[:b.size]
}

func (b *buffer) release() {
	buffers.Put(b)
}

func newBuffer() *buffer {
	return buffers.Get().(*buffer)
}
