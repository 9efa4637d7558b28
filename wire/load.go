package wire

import (
	"encoding/binary"
	"math"

	"github.com/rotisserie/eris"
)

// Layout of a load digest, as offsets in bytes; numbers are big-endian. The
// header is followed by one entry for each upstream.
const (
	loadOffsetFormat = 0
	loadOffsetCount  = 1
	// LoadHeaderSize is the size of a digest's header, in bytes.
	LoadHeaderSize = 2

	loadOffsetUpstream = 0
	loadOffsetRequests = 4
	loadOffsetWatches  = 5
	// LoadEntrySize is the size of an entry, in bytes.
	LoadEntrySize = 6
)

// MaxLoads is the maximum number of entries of a digest.
const MaxLoads = 200

// loadFormat is the first byte of a load digest.
const loadFormat = 0xf3

// levelSteps is the Level of an upstream that is fully used.
const levelSteps = 100

// ErrLoads reports a datagram that is not a load digest of this format.
var ErrLoads = eris.New("malformed load digest")

// A Level is a load in hundredths of an upstream's capacity. Loads too high for
// a Level count as the highest one.
type Level uint8

// LevelOf returns the level of a load given as a fraction of an upstream's
// capacity.
func LevelOf(utilization float32) Level {
	if !(utilization > 0) {
		return 0
	}
	return Level(min(math.MaxUint8, utilization*levelSteps+0.5))
}

// Utilization returns l as a fraction of the upstream's capacity.
func (l Level) Utilization() float32 {
	return float32(l) / levelSteps
}

// A Load is the load of an upstream as reported by its keeper.
type Load struct {
	Upstream uint32
	Requests Level
	Watches  Level
}

// AppendLoads appends a digest of at most MaxLoads loads to buf.
func AppendLoads(buf []byte, loads []Load) []byte {
	loads = loads[:min(len(loads), MaxLoads)]
	buf = append(buf, loadFormat, byte(len(loads)))
	for _, l := range loads {
		buf = binary.BigEndian.AppendUint32(buf, l.Upstream)
		buf = append(buf, byte(l.Requests), byte(l.Watches))
	}
	return buf
}

// IsLoads reports whether data is a load digest.
func IsLoads(data []byte) bool {
	return len(data) > 0 && data[loadOffsetFormat] == loadFormat
}

// ParseLoads appends the loads of a digest to loads. The error is ErrLoads.
func ParseLoads(data []byte, loads []Load) ([]Load, error) {
	if len(data) < LoadHeaderSize || !IsLoads(data) {
		return loads, ErrLoads
	}
	n := int(data[loadOffsetCount])
	if n > MaxLoads || len(data) != LoadHeaderSize+n*LoadEntrySize {
		return loads, ErrLoads
	}
	for entry := data[LoadHeaderSize:]; len(entry) > 0; entry = entry[LoadEntrySize:] {
		loads = append(loads, Load{
			Upstream: binary.BigEndian.Uint32(entry[loadOffsetUpstream:]),
			Requests: Level(entry[loadOffsetRequests]),
			Watches:  Level(entry[loadOffsetWatches]),
		})
	}
	return loads, nil
}
