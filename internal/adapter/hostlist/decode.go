package hostlist

import (
	"encoding/json"
	"fmt"
	"io"
	"net/netip"

	"cassiatray/internal/port"
)

// MalformedError is a list that was read to its end and means nothing.
type MalformedError struct {
	// Entry is the number of the bad entry from 0, or -1 for the whole list.
	Entry  int
	Reason string
}

func (e *MalformedError) Error() string {
	if e.Entry < 0 {
		return "malformed list: " + e.Reason
	}
	return fmt.Sprintf("malformed list: hosts[%d]: %s", e.Entry, e.Reason)
}

// Decode reads a list to its end. One fault refuses it whole: a part of a list
// would show hosts as gone.
//
// Errors: *MalformedError, or those of the reader and of encoding/json.
func Decode(r io.Reader) ([]port.ListedHost, error) {
	data, err := io.ReadAll(io.LimitReader(r, maxList+1))
	if err != nil {
		return nil, err
	}
	if len(data) > maxList {
		return nil, &MalformedError{Entry: -1, Reason: fmt.Sprintf("over %d bytes", maxList)}
	}
	var out List
	if err := json.Unmarshal(data, &out); err != nil {
		return nil, err
	}
	if out.Hosts == nil {
		return nil, &MalformedError{Entry: -1, Reason: "no hosts"}
	}
	if err := check(out.Hosts); err != nil {
		return nil, err
	}
	return out.Hosts, nil
}

func check(hosts []port.ListedHost) error {
	seen := make(map[string]bool, len(hosts))
	for i, h := range hosts {
		switch {
		case h.Name == "":
			return &MalformedError{Entry: i, Reason: "no name"}
		case !validAddress(h.Address):
			return &MalformedError{Entry: i, Reason: "bad address " + h.Address}
		case seen[h.Address]:
			return &MalformedError{Entry: i, Reason: "address " + h.Address + " listed twice"}
		}
		seen[h.Address] = true
	}
	return nil
}

// validAddress reports whether an address is an IP, with or without a port.
func validAddress(s string) bool {
	if _, err := netip.ParseAddrPort(s); err == nil {
		return true
	}
	_, err := netip.ParseAddr(s)
	return err == nil
}
