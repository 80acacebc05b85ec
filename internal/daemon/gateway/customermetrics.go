package gateway

import (
	"net/http"
	"strconv"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
)

const (
	// maxCustomerLabels is how many customers have counters of their own in one process: three
	// times as many as the largest known deployment has. With eight results each, that is at most
	// 2,056 series.
	maxCustomerLabels = 256
	// otherCustomers is the label of all further customers.
	otherCustomers = "(other)"
)

// customerCounters count requests by customer.
type customerCounters struct {
	requests *prometheus.CounterVec

	mu     sync.RWMutex
	labels map[string]bool
}

func newCustomerCounters() *customerCounters {
	return &customerCounters{labels: map[string]bool{}, requests: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "cassiatray_gateway_customer_requests_total",
		Help: "Requests of customers' callers by customer and result: 429, 503, the class of any other status, or left. The first customers of a process are told apart, the rest are (other).",
	}, []string{"customer", "result"})}
}

// count counts a request of a customer that ended with a status; 0 if the caller left.
func (c *customerCounters) count(customer string, status int) {
	c.requests.WithLabelValues(c.label(customer), customerResult(status)).Inc()
}

// label returns the customer's label. Customers keep theirs until the process ends.
func (c *customerCounters) label(customer string) string {
	c.mu.RLock()
	known, full := c.labels[customer], len(c.labels) >= maxCustomerLabels
	c.mu.RUnlock()
	switch {
	case known:
		return customer
	case full:
		return otherCustomers
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.labels[customer] && len(c.labels) >= maxCustomerLabels {
		return otherCustomers
	}
	c.labels[customer] = true
	return customer
}

// customerResult returns the label of a status. There are eight.
func customerResult(status int) string {
	switch {
	case status == http.StatusTooManyRequests, status == http.StatusServiceUnavailable:
		return strconv.Itoa(status)
	case status >= 200 && status < 600:
		return strconv.Itoa(status/100) + "xx"
	case status == 0:
		return "left"
	}
	return "else"
}

// customersGauge tells how many customers the configuration in force names.
func customersGauge(k *Keeper) prometheus.Collector {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "cassiatray_gateway_customers", Help: "Customers in the configuration in force; 0 if callers need no keys.",
	}, func() float64 { return float64(k.customers()) })
}

// customers returns the number of customers in the configuration in force.
func (k *Keeper) customers() int {
	if c := k.View().config; c != nil {
		return c.CountCustomers()
	}
	return 0
}
