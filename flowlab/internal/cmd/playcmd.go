package cmd

import (
	"io"
	"os"
	"runtime"
	"sync"

	"github.com/rotisserie/eris"

	"filbertworks.example/filbertworks/flowlab/internal/emulation"
	"filbertworks.example/filbertworks/flowlab/internal/report"
)

// playCommand is the play command.
type playCommand struct {
	Balancers []int    `long:"balancers" value-name:"N" default:"9" default:"90" default:"300" description:"number of balancers; may be repeated"`
	Policy    []string `long:"policy" value-name:"NAME" default:"alone" default:"shared" default:"probed" default:"sharing" description:"policy of the balancers; may be repeated"`
	Placement []string `long:"placement" value-name:"NAME" default:"forwarder" description:"way to choose the host of a new flow; may be repeated"`
	Seeds     uint64   `long:"seeds" value-name:"N" default:"3" description:"number of runs of each, with the seeds from 1 on"`
	Parts     bool     `long:"parts" description:"write a second table by zone and kind of requests"`
	Plot      string   `long:"plot" value-name:"FILE" description:"write an SVG plot of the seconds"`
	Loads     struct {
		Files []string `positional-arg-name:"LOAD" required:"1" description:"TOML file that describes a load"`
	} `positional-args:"yes"`
	stdout io.Writer
}

// job is a run of one load with one set of options.
type job struct {
	load    *emulation.Load
	options emulation.Options
	result  *emulation.Result
	err     error
}

// Execute plays each load with each combination of options and writes the table
// and, if asked for, the plot.
func (c *playCommand) Execute([]string) error {
	jobs, err := c.jobs()
	if err != nil {
		return err
	}
	runJobs(jobs)
	results := make([]*emulation.Result, 0, len(jobs))
	for _, j := range jobs {
		if j.err != nil {
			return j.err
		}
		results = append(results, j.result)
	}
	rows := report.GroupResults(results)
	if err := report.WriteTable(c.stdout, rows); err != nil {
		return err
	}
	if c.Parts {
		if _, err := io.WriteString(c.stdout, "\n"); err != nil {
			return eris.Wrap(err, "write table")
		}
		if err := report.WriteParts(c.stdout, rows); err != nil {
			return err
		}
	}
	if c.Plot == "" {
		return nil
	}
	return writePlot(c.Plot, rows)
}

// jobs returns the runs of all loads with all combinations of options.
func (c *playCommand) jobs() ([]*job, error) {
	var jobs []*job
	for _, path := range c.Loads.Files {
		l, err := emulation.ReadLoad(path)
		if err != nil {
			return nil, err
		}
		for _, o := range c.options() {
			jobs = append(jobs, &job{
				load:    l,
				options: o,
			})
		}
	}
	return jobs, nil
}

// options returns all combinations of the options.
func (c *playCommand) options() []emulation.Options {
	runs := len(c.Balancers) * len(c.Policy) * len(c.Placement) * int(c.Seeds)
	all := make([]emulation.Options, 0, runs)
	for _, n := range c.Balancers {
		for _, policy := range c.Policy {
			for _, placement := range c.Placement {
				for seed := range c.Seeds {
					all = append(all, emulation.Options{
						Balancers: n,
						Policy:    policy,
						Placement: placement,
						Seed:      seed + 1,
					})
				}
			}
		}
	}
	return all
}

// runJobs runs the jobs, at most GOMAXPROCS at a time.
func runJobs(jobs []*job) {
	queue := make(chan *job)
	var workers sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		workers.Go(func() {
			for j := range queue {
				j.result, j.err = emulation.Play(j.load, j.options)
			}
		})
	}
	for _, j := range jobs {
		queue <- j
	}
	close(queue)
	workers.Wait()
}

func writePlot(path string, rows []*report.Row) error {
	f, err := os.Create(path) //nolint:gosec // the operator names the file
	if err != nil {
		return eris.Wrap(err, "create plot")
	}
	if err := report.WritePlot(f, rows); err != nil {
		_ = f.Close()
		return err
	}
	return eris.Wrap(f.Close(), "close plot")
}
