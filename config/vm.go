package config

import "net/netip"

// A VMList is the platform's list of the system's VMs. It lags behind their actual
// state.
type VMList struct {
	VMs []VM `json:"vms"`
}

// A VM is one entry of the list: a VM that receives callers' datagrams, with the
// addresses of its balancer.
type VM struct {
	// Name is distinct in the list and not reused for a replacement of the VM.
	Name string `json:"name"`
	Zone string `json:"zone"`
	// Relay is the UDP address for datagrams between balancers.
	Relay netip.AddrPort `json:"relay"`
	// Control is the TCP address for calls between balancers.
	Control netip.AddrPort `json:"control"`
	// Admin is the TCP address for operators.
	Admin netip.AddrPort `json:"admin"`
	State VMState        `json:"state"`
}

// A VMState is the state of a VM as listed by the platform, which lags.
type VMState string

// States of a VM.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)
