package wire

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"filbertworks.example/filbertworks/directory"
	"filbertworks.example/filbertworks/flow"
)

func drawEndpoint(rt *rapid.T, label string) netip.AddrPort {
	ip := [4]byte(rapid.SliceOfN(rapid.Byte(), 4, 4).Draw(rt, label))
	return netip.AddrPortFrom(netip.AddrFrom4(ip), rapid.Uint16().Draw(rt, label+" port"))
}

// TestVerificationsAreKept checks that verifications and their answers are the same once they were
// sent, and that cut and lengthened ones are errors.
func TestVerificationsAreKept(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		v := flow.Verification{ID: rapid.Uint32().Draw(rt, "ID")}
		for range rapid.IntRange(1, flow.MaxVerified).Draw(rt, "flows") {
			v.Flows = append(v.Flows, flow.Position{
				Client:       drawEndpoint(rt, "client"),
				Service:      drawEndpoint(rt, "service"),
				Ticket:       directory.Ticket(rapid.Uint32().Draw(rt, "ticket")),
				Acknowledged: rapid.Uint32().Draw(rt, "acknowledged"),
			})
		}
		data := AppendVerification(nil, &v)
		require.LessOrEqual(rt, len(data), 1200)
		parsed, err := ParseVerification(data)
		require.NoError(rt, err)
		require.Equal(rt, v, parsed)
		_, err = ParseVerification(data[:len(data)-1])
		require.ErrorIs(rt, err, ErrVerification)
		_, err = ParseVerification(append(data, make([]byte, flow.MaxVerified*positionSize)...))
		require.ErrorIs(rt, err, ErrVerification)

		later := flow.Later(rapid.Uint64().Draw(rt, "later"))
		data = AppendVerificationAnswer(nil, v.ID, later)
		id, parsedLater, err := ParseVerificationAnswer(data)
		require.NoError(rt, err)
		require.Equal(rt, v.ID, id)
		require.Equal(rt, later, parsedLater)
		_, _, err = ParseVerificationAnswer(data[:len(data)-1])
		require.ErrorIs(rt, err, ErrVerification)
	})
}

// TestDatagramsThatAreNoVerification checks that datagrams of other formats, and a verification
// without flows, are errors.
func TestDatagramsThatAreNoVerification(t *testing.T) {
	for _, data := range [][]byte{nil, {healthFormat}, {verificationFormat}, {verificationFormat, 0, 0, 0, 1}} {
		_, err := ParseVerification(data)
		require.ErrorIs(t, err, ErrVerification)
		_, _, err = ParseVerificationAnswer(data)
		require.ErrorIs(t, err, ErrVerification)
	}
}
