package cmd

import (
	"errors"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"filbertworks.example/filbertworks/config"
	"filbertworks.example/filbertworks/status"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"filbertctl": func() { os.Exit(Main(os.Args[1:])) },
	})
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata/scripts",
		RequireExplicitExec: true,
		RequireUniqueNames:  true,
		Setup:               setup,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"exits": exits,
		},
	})
}

// exits runs a program and checks its exit code. Usage in a script:
// exits CODE PROGRAM [ARG...].
func exits(ts *testscript.TestScript, neg bool, arguments []string) {
	if neg || len(arguments) < 2 {
		ts.Fatalf("usage: exits CODE PROGRAM [ARG...]")
	}
	want, err := strconv.Atoi(arguments[0])
	ts.Check(err)
	err = ts.Exec(arguments[1], arguments[2:]...)
	got := 0
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		got = exit.ExitCode()
	} else {
		ts.Check(err)
	}
	if got != want {
		ts.Fatalf("exit code %d, want %d", got, want)
	}
}

// setup starts the fake platforms and balancers of one script. It puts their
// addresses into the script's environment, and the configuration in force into
// config.json.
func setup(e *testscript.Env) error {
	data, err := os.ReadFile(filepath.Join("testdata", "config.json"))
	if err != nil {
		return err
	}
	document := &config.Document{}
	if err := config.Decode(data, document); err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(e.WorkDir, "config.json"), data, 0o600); err != nil {
		return err
	}
	p := newFakePlatform(7, document)
	a := newFakeBalancer(p, "lb-a", "merano")
	b := newFakeBalancer(p, "lb-b", "bolzano")
	stuck := newFakePlatform(7, document)
	s := newFakeBalancer(stuck, "lb-s", "merano")
	s.stuck = true
	loads := []*httptest.Server{
		newFakeLoad(fakeLoad("lb-a", "merano")),
		newFakeLoad(fakeLoad("lb-b", "bolzano")),
		newFakeLoad(&status.Load{
			Balancer: "lb-c",
			Zone:     "merano",
			Shared:   true,
		}),
	}
	for i, l := range loads {
		e.Defer(l.Close)
		e.Setenv("METRICS_"+string("ABC"[i]), l.Listener.Addr().String())
	}
	gone := httptest.NewServer(nil)
	gone.Close()
	e.Defer(p.server.Close)
	e.Defer(a.server.Close)
	e.Defer(b.server.Close)
	e.Defer(stuck.server.Close)
	e.Defer(s.server.Close)
	// By default a program with the race detector waits for a second at its exit.
	e.Setenv("GORACE", "atexit_sleep_ms=0")
	e.Setenv("PLATFORM", p.server.URL)
	e.Setenv("STUCK", stuck.server.URL)
	e.Setenv("GONE", gone.URL)
	e.Setenv("ADMIN_A", a.address().String())
	e.Setenv("ADMIN_B", b.address().String())
	e.Setenv("ADMIN_GONE", gone.Listener.Addr().String())
	return nil
}
