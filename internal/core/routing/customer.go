package routing

import (
	"crypto/rand"
	"crypto/sha256"
	"slices"
	"sync"
)

// Customer is a customer whose callers identify themselves by one of its keys.
type Customer struct {
	Name string
	// Keys are the keys in force. They are not to be logged or passed on.
	Keys []string
	// KeyCount is their number, once the configuration holds only their digests.
	KeyCount int
	// Priority replaces that of the route unless it is nil.
	Priority *int
	// Rate is how many requests a second all gateways together serve, and Burst how many more
	// at once. A customer without a rate has no limit.
	Rate, Burst float64
	// Homes are the regions that may serve the customer; empty for all.
	Homes []string
}

// Limited reports whether the customer has a quota.
func (c *Customer) Limited() bool { return c != nil && c.Rate > 0 }

// AllowsRegion reports whether servers of a region may serve the customer.
func (c *Customer) AllowsRegion(region string) bool {
	return c == nil || len(c.Homes) == 0 || slices.Contains(c.Homes, region)
}

// keyDigest identifies a key without revealing it.
type keyDigest [sha256.Size]byte

// digestSecret keeps digests of guessed keys from being computed elsewhere, so that the
// time of a look-up tells nothing about the keys.
var digestSecret = sync.OnceValue(func() (secret [sha256.Size]byte) {
	rand.Read(secret[:])
	return secret
})

// stackKey is the length of a key, in bytes, up to which a look-up allocates nothing.
const stackKey = 96

func digestOf(key string) keyDigest {
	secret := digestSecret()
	var buf [len(secret) + stackKey]byte
	text := append(append(buf[:0], secret[:]...), key...)
	return sha256.Sum256(text)
}

// customers are the customers of a configuration by name and by key.
type customers struct {
	byName map[string]*Customer
	byKey  map[keyDigest]*Customer
	// longest is the length of the longest key. Longer ones are not hashed.
	longest int
}

// SetCustomers sets the configuration's customers. It is called before the configuration is used.
// The keys are kept as digests only.
func (c *Config) SetCustomers(list []Customer) {
	c.customers = customers{byName: make(map[string]*Customer, len(list)), byKey: map[keyDigest]*Customer{}}
	for i := range list {
		customer := &list[i]
		c.customers.byName[customer.Name] = customer
		for _, key := range customer.Keys {
			c.customers.byKey[digestOf(key)] = customer
			c.customers.longest = max(c.customers.longest, len(key))
		}
		customer.Keys, customer.KeyCount = nil, len(customer.Keys)
	}
}

// CountCustomers returns the number of customers.
func (c *Config) CountCustomers() int { return len(c.customers.byName) }

// HasCustomers reports whether callers need keys.
func (c *Config) HasCustomers() bool { return len(c.customers.byName) > 0 }

// CustomerOf returns the customer that holds a key, or nil.
func (c *Config) CustomerOf(key string) *Customer {
	if key == "" || len(key) > c.customers.longest {
		return nil
	}
	return c.customers.byKey[digestOf(key)]
}

// Customer returns the customer with a name, or nil.
func (c *Config) Customer(name string) *Customer { return c.customers.byName[name] }

// keys returns the digests of the keys of each customer.
func (c *Config) keys() map[string]map[keyDigest]bool {
	out := map[string]map[keyDigest]bool{}
	for digest, customer := range c.customers.byKey {
		if out[customer.Name] == nil {
			out[customer.Name] = map[keyDigest]bool{}
		}
		out[customer.Name][digest] = true
	}
	return out
}

// EachCustomer calls fn with every customer.
func (c *Config) EachCustomer(fn func(*Customer)) {
	for _, customer := range c.customers.byName {
		fn(customer)
	}
}
