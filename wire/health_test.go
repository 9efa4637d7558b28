package wire

import (
	"bytes"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"filbertworks.example/filbertworks/flow"
)

func TestHealthRoundTrip(t *testing.T) {
	inquiry := flow.Inquiry{
		Ticket:  7,
		ID:      1<<32 - 1,
		Silence: 450 * time.Millisecond,
		Remote:  true,
	}
	answers := []flow.Answer{
		{
			Ticket: 7,
			ID:     8,
			Alive:  true,
			Age:    30 * time.Millisecond,
		},
		{
			Ticket: 9,
			ID:     10,
		},
	}
	data, err := AppendHealth(nil, &Health{
		Sender:    3,
		Inquiries: []*Inquiry{NewInquiry(&inquiry)},
		Answers:   []*Answer{NewAnswer(&answers[0]), NewAnswer(&answers[1])},
		Confirmations: []*Confirmation{{
			Ticket: 7,
			Id:     8,
		}},
	})
	require.NoError(t, err)
	require.LessOrEqual(t, len(data), 80)
	m, err := ParseHealth(data)
	require.NoError(t, err)
	require.Equal(t, uint64(3), m.GetSender())
	require.Equal(t, inquiry, m.GetInquiries()[0].Decode())
	for i, a := range m.GetAnswers() {
		require.Equal(t, answers[i], a.Decode())
	}
	require.Equal(t, uint32(8), m.GetConfirmations()[0].GetId())
}

// TestHealthOfFormerBuild checks that a former build's announcement of a death, which took
// effect without a confirmation, is read and has no effect.
func TestHealthOfFormerBuild(t *testing.T) {
	// Field 2 with a message whose field 1 is the ticket 7, and field 4, the sender 3.
	data := []byte{healthFormat, 0x12, 5, 0x0d, 7, 0, 0, 0, 0x21, 3, 0, 0, 0, 0, 0, 0, 0}
	m, err := ParseHealth(data)
	require.NoError(t, err)
	require.Equal(t, uint64(3), m.GetSender())
	require.Empty(t, m.GetInquiries())
	require.Empty(t, m.GetConfirmations())
	require.Empty(t, m.GetRefutations())
}

// FuzzParseHealth checks that no datagram crashes the parser or the conversion of what it
// holds.
func FuzzParseHealth(f *testing.F) {
	for _, m := range []*Health{
		{},
		{
			Reports:       []*Silence{{Ticket: 1}},
			Refutations:   []*Refutation{{Age: 1<<32 - 1}},
			Inquiries:     []*Inquiry{{Silence: 1<<32 - 1}},
			Answers:       []*Answer{{Alive: true}},
			Confirmations: []*Confirmation{{Id: 1}},
			Busy:          []uint32{1, 2},
		},
		{
			Lookups:       []*Flow{{Client: []byte{1, 2, 3, 4, 5, 6}}},
			Openings:      []*Opening{{}},
			Ambiguous:     []*Opening{{Open: true}},
			Confirmations: []*Confirmation{{Scope: 1<<32 - 1}},
		},
	} {
		data, err := AppendHealth(nil, m)
		require.NoError(f, err)
		f.Add(data)
		f.Add(bytes.Repeat(data, 2))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := ParseHealth(data)
		if err != nil {
			require.ErrorIs(t, err, ErrHealth)
			return
		}
		for _, r := range m.GetReports() {
			require.GreaterOrEqual(t, r.Decode().Silence, time.Duration(0))
		}
		for _, q := range m.GetInquiries() {
			require.GreaterOrEqual(t, q.Decode().Silence, time.Duration(0))
		}
		for _, c := range m.GetConfirmations() {
			require.LessOrEqual(t, c.Decode().Scope, flow.ScopeAll)
		}
		for _, v := range m.GetLookups() {
			if id, ok := v.Decode(); ok {
				require.True(t, id.Client.Addr().Is4() && id.Service.Addr().Is4())
			}
		}
		for _, o := range append(m.GetOpenings(), m.GetAmbiguous()...) {
			if v, ok := o.Decode(); ok {
				require.True(t, v.Flow.Client.Addr().Is4() && v.Flow.Service.Addr().Is4())
			}
		}
		for _, a := range m.GetAnswers() {
			require.GreaterOrEqual(t, a.Decode().Age, time.Duration(0))
		}
	})
}
