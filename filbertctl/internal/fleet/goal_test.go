package fleet

import (
	"testing"

	"github.com/stretchr/testify/require"

	"filbertworks.example/filbertworks/config"
	"filbertworks.example/filbertworks/status"
)

func TestGoalMissing(t *testing.T) {
	drain := Goal{
		Version: 8,
		Idle: map[string]bool{
			"hut-1": true,
		},
	}
	zoneOut := Goal{
		Version:    8,
		ExemptZone: "merano",
	}
	tests := []struct {
		name    string
		goal    Goal
		reports []Report
		want    []string
	}{
		{name: "reached", goal: drain, reports: []Report{reportOf("lb-a", 8, status.Upstream{Name: "hut-1"})}},
		{name: "newer version", goal: drain, reports: []Report{reportOf("lb-a", 9)}},
		{name: "other upstream busy", goal: drain, reports: []Report{reportOf("lb-a", 8, status.Upstream{Name: "hut-2", Connections: 1})}},
		{name: "no balancer listed", goal: drain, want: []string{"no balancer answers"}},
		{name: "older version", goal: drain, reports: []Report{reportOf("lb-a", 8), reportOf("lb-b", 7)}, want: []string{"lb-b has version 7"}},
		{
			name:    "connections",
			goal:    drain,
			reports: []Report{reportOf("lb-a", 8, status.Upstream{Name: "hut-1", Connections: 1})},
			want:    []string{"lb-a has 1 connections, 0 requests and 0 queued for hut-1"},
		},
		{
			name:    "requests",
			goal:    drain,
			reports: []Report{reportOf("lb-a", 8, status.Upstream{Name: "hut-1", Requests: 2})},
			want:    []string{"lb-a has 0 connections, 2 requests and 0 queued for hut-1"},
		},
		{
			name:    "queued",
			goal:    drain,
			reports: []Report{reportOf("lb-a", 8, status.Upstream{Name: "hut-1", Queued: 3})},
			want:    []string{"lb-a has 0 connections, 0 requests and 3 queued for hut-1"},
		},
		{
			name:    "silent",
			goal:    drain,
			reports: []Report{reportOf("lb-a", 8), {Target: Target{Name: "lb-b", Zone: "merano"}}},
			want:    []string{"lb-b does not answer"},
		},
		{name: "silent and leaving", goal: drain, reports: []Report{reportOf("lb-a", 8), {Target: Target{Name: "lb-b", Leaving: true}}}},
		{name: "silent in the zone taken out", goal: zoneOut, reports: []Report{reportOf("lb-a", 8), {Target: Target{Name: "lb-b", Zone: "merano"}}}},
		{
			name:    "silent in another zone",
			goal:    zoneOut,
			reports: []Report{reportOf("lb-a", 8), {Target: Target{Name: "lb-b", Zone: "bolzano"}}},
			want:    []string{"lb-b does not answer"},
		},
		{
			name:    "all silent",
			goal:    zoneOut,
			reports: []Report{{Target: Target{Name: "lb-b", Zone: "merano"}}},
			want:    []string{"no balancer answers"},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			require.Equal(t, tt.want, tt.goal.Missing(tt.reports))
		})
	}
}

func reportOf(name string, version config.Version, upstreams ...status.Upstream) Report {
	return Report{
		Target: Target{
			Name: name,
		},
		Status: &status.Status{
			Name:    name,
			Version: version,
			Services: []status.Service{
				{
					Name:      "bacheca",
					Upstreams: upstreams,
				},
			},
		},
	}
}
