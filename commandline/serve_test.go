package commandline

import (
	"context"
	"io"
	"syscall"
	"testing"

	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/require"
)

func TestServe(t *testing.T) {
	var options struct {
		Fail bool `long:"fail"`
	}
	var failed error
	fail := func(err error) { failed = err }
	run := func(ctx context.Context) error {
		if options.Fail {
			return eris.New("broken")
		}
		if err := syscall.Kill(syscall.Getpid(), syscall.SIGTERM); err != nil {
			return err
		}
		<-ctx.Done()
		return nil
	}
	require.Equal(t, ExitOK, Serve("some", &options, nil, io.Discard, fail, run), "SIGTERM ends the program without an error")
	require.NoError(t, failed)
	require.Equal(t, ExitFailure, Serve("some", &options, []string{"--fail"}, io.Discard, fail, run))
	require.EqualError(t, failed, "broken")
	require.Equal(t, ExitUsage, Serve("some", &options, []string{"--other"}, io.Discard, fail, run))
}
