package envstore

import (
	"context"
	"time"

	"cassiatray/internal/port"
)

// LeadKey returns the key that the lease of a failure domain's lead holds.
func LeadKey(environment, domain string) string { return "env/" + environment + "/lead/" + domain }

// GrantLead opens a lease for the lead of a failure domain.
func (s *Store) GrantLead(ctx context.Context, ttl time.Duration) (port.LeaseID, error) {
	return s.kv.GrantLease(ctx, ttl)
}

// AcquireLead ties the lead key of a failure domain to a lease, and reports
// whether the lease holds it now.
func (s *Store) AcquireLead(ctx context.Context, environment, domain, host string, id port.LeaseID) (bool, error) {
	return s.kv.Acquire(ctx, LeadKey(environment, domain), []byte(host), id)
}

// RenewLead extends a lease. A lapsed lease gives port.StoreNotFound.
func (s *Store) RenewLead(ctx context.Context, id port.LeaseID) error {
	return s.kv.RenewLease(ctx, id)
}

// RevokeLead ends a lease.
func (s *Store) RevokeLead(ctx context.Context, id port.LeaseID) error {
	return s.kv.RevokeLease(ctx, id)
}
