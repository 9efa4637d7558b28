package cmd

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"filbertworks.example/filbertworks/config"
	"filbertworks.example/filbertworks/filbertctl/internal/fleet"
	"filbertworks.example/filbertworks/status"
)

// TestZonesOfLargeFleet checks that the state of 300 balancers takes a line for each zone
// and one for each balancer that differs.
func TestZonesOfLargeFleet(t *testing.T) {
	var reports []fleet.Report
	for i := range 300 {
		s := &status.Status{
			Name:     fmt.Sprintf("lb-%03d", i),
			Zone:     fmt.Sprintf("zone-%d", i%5),
			Version:  9,
			Flows:    10,
			Requests: 1,
		}
		switch i {
		case 7:
			s.Version = 8
		case 8:
			s.Leaving = true
		case 9:
			s.PlatformAge = config.Duration(time.Minute)
		}
		reports = append(reports, fleet.Report{Status: s})
	}
	reports[10].Status = nil
	var out bytes.Buffer
	printZones(&out, reports)
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	require.Len(t, lines, 1+6+1+1+4, "%s", out.String())
	require.Regexp(t, `^- +1 +1 +0 +0 to 0 `, lines[1])
	require.Regexp(t, `^zone-0 +59 +0 +0 +9 to 9 +0s +590 +59$`, lines[2])
	require.Regexp(t, `^zone-2 +60 +0 +0 +8 to 9 `, lines[4])
	require.Regexp(t, `^zone-4 +60 +0 +0 +9 to 9 +1m0s `, lines[6])
	for _, name := range []string{"lb-007", "lb-008", "lb-009", "no answer"} {
		require.Contains(t, out.String(), name)
	}
	require.NotContains(t, out.String(), "lb-011")
}
