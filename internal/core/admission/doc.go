// Package admission determines how many requests a host may have in flight on a
// backend server, which requests wait and in what order, and which are rejected.
// It does no I/O and reads no clock: the caller passes the time, runs the requests
// and reports their end.
//
// It has three layers. A Ledger is the state of a voter, which grants each server
// of its failure domain to one host at a time. Claims are the grants that a host
// has from the voters. SlotShare converts their number into slots, so that the
// hosts together never exceed a server's slots, even if their views of each other
// differ. A Pool is a host's queue for one service on the servers that it holds.
package admission
