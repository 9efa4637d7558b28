package cmd

import (
	"io"

	"github.com/rotisserie/eris"

	"filbertworks.example/filbertworks/platform"
)

// A planCheck checks a plan for filbertflow in a file, and compares it with the version in
// force if that is given.
type planCheck struct {
	Base      string `long:"base" value-name:"FILE" description:"File with the plan in force, to compare with"`
	Arguments struct {
		File string `positional-arg-name:"FILE" required:"true" description:"File with a plan for filbertflow"`
	} `positional-args:"yes"`

	config *Config
}

// A PlanReport is the result of the check of a plan.
type PlanReport struct {
	// Errors, Warnings and Changes are the numbers of findings of each severity.
	Errors   int `json:"errors"`
	Warnings int `json:"warnings"`
	Changes  int `json:"changes"`
	// Findings is an empty list, not null, if there are none.
	Findings []platform.Finding `json:"findings"`
}

// Execute runs the subcommand.
func (o *planCheck) Execute([]string) error {
	plan, err := o.config.Files.ReadFile(o.Arguments.File)
	if err != nil {
		return eris.Wrap(err, "plan")
	}
	findings := append([]platform.Finding{}, platform.CheckPlan(plan)...)
	if o.Base != "" {
		base, err := o.config.Files.ReadFile(o.Base)
		if err != nil {
			return eris.Wrap(err, "plan in force")
		}
		differences, err := platform.ComparePlans(base, plan)
		if err != nil {
			return eris.Wrapf(errNotAllowed, "%s: %v", o.Base, err)
		}
		findings = append(findings, differences...)
	}
	counts := make(map[platform.Severity]int)
	for i := range findings {
		counts[findings[i].Severity]++
	}
	r := PlanReport{
		Errors:   counts[platform.SeverityError],
		Warnings: counts[platform.SeverityWarning],
		Changes:  counts[platform.SeverityChange],
		Findings: findings,
	}
	err = o.config.write(r, func(w io.Writer) {
		o.print(w, r)
	})
	if err == nil && r.Errors > 0 {
		return eris.Wrapf(errNotAllowed, "%s: errors: %d", o.Arguments.File, r.Errors)
	}
	return err
}

// print writes a line for each finding, and one with their numbers.
func (o *planCheck) print(w io.Writer, r PlanReport) {
	for _, f := range r.Findings {
		file := o.Arguments.File
		if f.InBase {
			file = o.Base
		}
		printf(w, "%s:", file)
		if f.Line > 0 {
			printf(w, "%d:%d:", f.Line, f.Column)
		}
		printf(w, " %s: ", f.Severity)
		if f.Path != "" {
			printf(w, "%s: ", f.Path)
		}
		if f.Name != "" {
			printf(w, "%q: ", f.Name)
		}
		printf(w, "%s\n", f.Message)
	}
	printf(w, "%s: errors: %d, warnings: %d, changes: %d\n", o.Arguments.File, r.Errors, r.Warnings, r.Changes)
}
