// Package admission decides how many requests this host may have on a backend
// server, which requests wait and in what order, and which are refused. It is
// pure: time is an argument, and the caller does the work and says when it has
// ended.
//
// Three parts stand on each other. A Ledger is a voter: it grants each server
// of its failure domain to one host at a time. Claims are what a host holds of
// the voters' grants; Share turns their number into slots, so that no set of
// hosts together can pass a server's slots whatever they believe of each other.
// A Pool is the host's queue for one service over the servers it holds.
package admission
