package system

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
)

// A Load describes the traffic that stand-in callers send.
type Load struct {
	// Watches is the number of calendars that are watched.
	Watches int
	// Holds and Photos are rates in requests per second.
	Holds    int
	Photos   int
	Duration time.Duration
	Seed     uint64
	// Zone restricts the load to the balancers of one zone, if it is not empty.
	Zone string
}

// A Tally counts callers' flows and requests by outcome.
type Tally struct {
	Opened     int `json:"opened"`
	Answered   int `json:"answered"`
	Refused    int `json:"refused"`
	MayHaveRun int `json:"mayHaveRun"`
	Broken     int `json:"broken"`
	Wrong      int `json:"wrong"`
}

// A Row is the tally of one service and zone.
type Row struct {
	Service string `json:"service"`
	Zone    string `json:"zone"`
	Tally
}

// A Caller is a running caller process that sends a load.
type Caller struct {
	command *exec.Cmd
	stdout  bytes.Buffer
	stderr  bytes.Buffer
}

// StartCaller starts a caller process that sends a load. The process is killed when
// ctx ends.
func (s *System) StartCaller(ctx context.Context, l Load) (*Caller, error) {
	arguments := []string{
		"--config", s.filePath("config.json"),
		"--platform", s.platformURL(""),
		"--watches", strconv.Itoa(l.Watches),
		"--holds", strconv.Itoa(l.Holds),
		"--photos", strconv.Itoa(l.Photos),
		"--duration", l.Duration.String(),
		"--seed", strconv.FormatUint(l.Seed, 10),
		"--source", fmt.Sprintf("127.%d.128.0/17", s.layout.Subnet),
		"--json",
	}
	arguments = slices.Concat(arguments, s.callerFlags(l.Zone))
	c := &Caller{
		command: exec.CommandContext(ctx, filepath.Join(s.layout.Programs, "caller"), arguments...), //nolint:gosec // the test names the program
	}
	c.command.Stdout = &c.stdout
	c.command.Stderr = &c.stderr
	return c, eris.Wrap(c.command.Start(), "start caller")
}

// callerFlags returns the command line flags that name the balancers of a zone,
// or all balancers if zone is empty.
func (s *System) callerFlags(zone string) []string {
	flags := make([]string, 0, 2*len(s.vms))
	for i := range s.vms {
		if zone != "" && s.vms[i].Zone != zone {
			continue
		}
		flags = append(flags, "--balancer", s.vms[i].Relay.Addr().String())
	}
	return flags
}

// Wait waits for the end of the load and returns its report.
func (c *Caller) Wait() ([]Row, error) {
	// The exit code is ignored: a failed run prints a report too, whose rows
	// show the failures.
	_ = c.command.Wait()
	var rows []Row
	if err := json.Unmarshal(c.stdout.Bytes(), &rows); err != nil {
		return nil, eris.Wrapf(err, "report %q, errors %q", c.stdout.String(), c.stderr.String())
	}
	return rows, nil
}

// Total returns the sum of rows.
func Total(rows []Row) Tally {
	var t Tally
	for i := range rows {
		t.Opened += rows[i].Opened
		t.Answered += rows[i].Answered
		t.Refused += rows[i].Refused
		t.MayHaveRun += rows[i].MayHaveRun
		t.Broken += rows[i].Broken
		t.Wrong += rows[i].Wrong
	}
	return t
}
