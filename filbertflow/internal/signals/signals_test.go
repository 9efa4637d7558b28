package signals

import (
	"os"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestSignalsBeforeMain checks that a signal is received without any call by the
// program.
func TestSignalsBeforeMain(t *testing.T) {
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	require.Equal(t, syscall.SIGHUP, <-C())
}
