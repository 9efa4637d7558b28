package system

import (
	"fmt"
	"net"

	"github.com/rotisserie/eris"
)

// Subnets that systems use, and the port that marks one as taken.
const (
	firstSubnet = 20
	lastSubnet  = 119
	portMark    = 7999
)

// A Subnet is a part of loopback that no other system uses while it is held.
type Subnet struct {
	Number uint8
	mark   net.Listener
}

// TakeSubnet returns a subnet that is free.
func TakeSubnet() (*Subnet, error) {
	for n := firstSubnet; n <= lastSubnet; n++ {
		mark, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.2:%d", n, portMark))
		if err == nil {
			return &Subnet{
				Number: uint8(n),
				mark:   mark,
			}, nil
		}
	}
	return nil, eris.New("no subnet is free")
}

// Release gives the subnet back.
func (s *Subnet) Release() {
	_ = s.mark.Close()
}
