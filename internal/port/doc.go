// Package port declares the interfaces through which the daemons reach
// everything outside their own decisions: the platform's key-value service,
// the host list, backend servers, other cassiatray processes and time.
//
// Adapters under internal/adapter implement them; tests replace them by fakes.
package port
