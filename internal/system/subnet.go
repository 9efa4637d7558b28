package system

import (
	"fmt"
	"net"

	"github.com/rotisserie/eris"
)

// Loopback subnets that systems use, and the port that reserves one.
const (
	firstSubnet = 20
	lastSubnet  = 119
	portLock    = 7999
)

// A Subnet is the loopback subnet 127.Number.0.0/16, reserved until Release. A
// listener in the subnet serves as the lock against other processes.
type Subnet struct {
	Number uint8
	lock   net.Listener
}

// ReserveSubnet reserves a subnet that no other system uses.
func ReserveSubnet() (*Subnet, error) {
	for n := firstSubnet; n <= lastSubnet; n++ {
		lock, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.2:%d", n, portLock))
		if err == nil {
			return &Subnet{
				Number: uint8(n),
				lock:   lock,
			}, nil
		}
	}
	return nil, eris.New("no subnet is free")
}

// Release ends the reservation of the subnet.
func (s *Subnet) Release() {
	_ = s.lock.Close()
}
