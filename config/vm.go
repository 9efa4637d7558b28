package config

import "net/netip"

// A VMList is the platform's lagging list of the system's VMs.
type VMList struct {
	VMs []VM `json:"vms"`
}

// A VM is one entry VM and the addresses of its balancer.
type VM struct {
	// Name is distinct in the list and not reused by a replacement.
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

// A VMState is the platform's word on a VM; it lags.
type VMState string

// States of a VM.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)
