package keeper

import (
	"runtime"
	"testing"

	"filbertworks.example/filbertworks/packet"
)

// BenchmarkLedgerState reports the memory of an executed request with an answer
// of 64 bytes and, as the baseline, of such an answer alone.
func BenchmarkLedgerState(b *testing.B) {
	const entries = 100_000
	answer := make([]byte, 64)
	b.Run("answers", func(b *testing.B) {
		for range b.N {
			before := heap()
			answers := make([][]byte, entries)
			for i := range answers {
				answers[i] = append([]byte(nil), answer...)
			}
			b.ReportMetric(float64(heap()-before)/entries, "B/entry")
			runtime.KeepAlive(answers)
		}
	})
	b.Run("ledger", func(b *testing.B) {
		for range b.N {
			before := heap()
			l := newLedger(entries, AnswerRetention)
			for i := range uint64(entries) {
				token := packet.Token{Size: packet.MaxTokenSize}
				token.Bytes[0], token.Bytes[1], token.Bytes[2] = byte(i>>16), byte(i>>8), byte(i)
				l.begin(i, i, 1, token)
				l.entries[i].recordAnswer(answer)
			}
			b.ReportMetric(float64(heap()-before)/entries, "B/entry")
			runtime.KeepAlive(l)
		}
	})
}

// heap returns the size of the live heap objects in bytes.
func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
