package host

// Counters are a host's counters since its start, with its present generation
// and number of open watches.
type Counters struct {
	Requests uint64 `json:"requests"`
	// Sheds counts requests refused with 5.03 and not run.
	Sheds uint64 `json:"sheds"`
	// Runs counts executed POST requests.
	Runs uint64 `json:"runs"`
	// DoubleRuns counts executions of a POST payload that had run before.
	DoubleRuns uint64 `json:"doubleRuns"`
	// WrongService counts requests for a path that the service does not serve.
	WrongService uint64 `json:"wrongService"`
	// MaxRequests is the greatest number of requests in flight.
	MaxRequests int `json:"maxRequests"`
	// Connections is the number of open watches.
	Connections int `json:"connections"`
	// MaxConnections is the greatest number of open watches.
	MaxConnections int `json:"maxConnections"`
	// Overloaded counts overloads, each of which lost the requests in flight.
	Overloaded uint64 `json:"overloaded"`
	// LostRegistrations counts watches that a fault ended.
	LostRegistrations uint64 `json:"lostRegistrations"`
	// Generation changes at each restart.
	Generation uint32 `json:"generation"`
}

// Faults are the faults to inject into hosts. A nil field leaves that fault as
// it is; Cold, Restart and Silent act once.
type Faults struct {
	// Upstream is the name of the host; empty means all hosts.
	Upstream string `json:"upstream,omitempty"`
	// Cold resets the host to its cold limit of one request.
	Cold bool `json:"cold,omitempty"`
	// Shed makes the host shed every request.
	Shed *bool `json:"shed,omitempty"`
	// Frozen makes the host ignore every message and send none.
	Frozen *bool `json:"frozen,omitempty"`
	// Restart simulates a restart: a new generation that is cold and has lost
	// all watches and all requests in flight.
	Restart bool `json:"restart,omitempty"`
	// Mislead makes the host's reports show no load and a warm host.
	Mislead *bool `json:"mislead,omitempty"`
	// Silent makes the host ignore all sources that it has received from so
	// far, permanently, and drop their watches. New sources are served.
	Silent bool `json:"silent,omitempty"`
}
