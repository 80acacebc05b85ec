package site

import (
	"fmt"
	"net"
)

// Range of the second octet of sites' networks.
const (
	firstOctet = 20
	lastOctet  = 250
	portLock   = 6999
)

// NetworkError means that every network of 127.0.0.0/8 is in use.
type NetworkError struct{ Err error }

func (e *NetworkError) Error() string { return fmt.Sprintf("no free network: %v", e.Err) }

func (e *NetworkError) Unwrap() error { return e.Err }

// claim finds a network that no other site on this machine uses, and holds it
// by a listener.
func claim() (Network, net.Listener, error) {
	var last error
	for octet := firstOctet; octet <= lastOctet; octet++ {
		n := Network{Octet: octet}
		l, err := net.Listen("tcp", n.address(octetStore, 1, portLock).String())
		if err == nil {
			return n, l, nil
		}
		last = err
	}
	return Network{}, nil, &NetworkError{Err: last}
}
