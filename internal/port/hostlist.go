package port

import "context"

// ListedHost is one host in the platform's list of live and leaving hosts.
type ListedHost struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Leaving bool   `json:"leaving"`
}

// HostList is the platform's list of hosts. It lags behind the hosts.
type HostList interface {
	Hosts(ctx context.Context) ([]ListedHost, error)
}
