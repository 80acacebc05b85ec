package peer

import (
	"math/rand/v2"
	"time"

	"cassiatray/internal/core/membership"
)

// Identity is how a process presents itself to its peers.
type Identity struct {
	Host        string
	Incarnation uint64
}

// NewIdentity returns the identity of a process that starts now on a host.
func NewIdentity(host string) Identity {
	return Identity{Host: host, Incarnation: membership.NewIncarnation(time.Now(), rand.Uint64())}
}
