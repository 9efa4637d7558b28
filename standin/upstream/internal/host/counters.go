package host

// Counters are what a host counts since its start.
type Counters struct {
	Requests uint64 `json:"requests"`
	Sheds    uint64 `json:"sheds"`
	// Runs counts executed POST requests.
	Runs uint64 `json:"runs"`
	// DoubleRuns counts executions of a POST payload that had run before.
	DoubleRuns uint64 `json:"doubleRuns"`
	// WrongService counts requests with a path that the service does not have.
	WrongService uint64 `json:"wrongService"`
	// MaxRequests is the greatest number of requests in flight.
	MaxRequests int `json:"maxRequests"`
	// Connections is the number of open watches.
	Connections    int    `json:"connections"`
	MaxConnections int    `json:"maxConnections"`
	Overloaded     uint64 `json:"overloaded"`
	// LostRegistrations counts watches that a fault ended.
	LostRegistrations uint64 `json:"lostRegistrations"`
	Generation        uint32 `json:"generation"`
}

// Faults change what hosts do; a nil field leaves the behaviour as it is.
type Faults struct {
	// Upstream names the host, or is empty for all.
	Upstream string `json:"upstream,omitempty"`
	// Cold makes the host cold once.
	Cold bool `json:"cold,omitempty"`
	// Shed refuses every request.
	Shed *bool `json:"shed,omitempty"`
	// Frozen reads and answers nothing.
	Frozen *bool `json:"frozen,omitempty"`
	// Restart makes a new generation without watches, cold.
	Restart bool `json:"restart,omitempty"`
	// Mislead reports an idle host.
	Mislead *bool `json:"mislead,omitempty"`
	// Silent ignores all sources known so far, for good.
	Silent bool `json:"silent,omitempty"`
}
