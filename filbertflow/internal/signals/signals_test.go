package signals

import (
	"os"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestSignalsBeforeMain states that a signal is taken without a call of the
// program.
func TestSignalsBeforeMain(t *testing.T) {
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	require.Equal(t, syscall.SIGHUP, <-C())
}
