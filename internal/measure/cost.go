package measure

import (
	"bufio"
	"bytes"
	"context"
	"strconv"
	"strings"
	"time"

	"cassiatray/internal/core/document"
	"cassiatray/internal/site"
)

// sample is what one process has used so far.
type sample struct {
	role string
	site.Usage
	// bytes are those exchanged with other processes of the system.
	bytes float64
}

// Roles of processes.
const (
	roleEntry = "entry"
	roleSteer = "steer"
	roleStore = "store stand-in"
)

// samples reads every daemon and the store stand-in, by process name.
func (b *bed) samples(ctx context.Context) map[string]sample {
	out := map[string]sample{}
	for _, h := range b.Hosts {
		b.sample(ctx, out, site.SteerName(h.Name), roleSteer, h.SteerOperator)
		b.sample(ctx, out, site.EntryName(h.Name), roleEntry, h.EntryOperator)
	}
	if u, err := b.Process(site.StoreName).Usage(); err == nil {
		out[site.StoreName] = sample{role: roleStore, Usage: u}
	}
	return out
}

func (b *bed) sample(ctx context.Context, out map[string]sample, name, role string, operator document.Address) {
	if u, err := b.Process(name).Usage(); err == nil {
		out[name] = sample{role: role, Usage: u, bytes: peerBytes(ctx, operator)}
	}
}

// peerBytesMetric counts the bytes exchanged with other processes.
const peerBytesMetric = "cassiatray_peer_bytes_total"

func peerBytes(ctx context.Context, operator document.Address) float64 {
	_, body := site.Get(ctx, "http://"+operator.String()+"/metrics")
	total := 0.0
	for sc := bufio.NewScanner(bytes.NewReader(body)); sc.Scan(); {
		if !strings.HasPrefix(sc.Text(), peerBytesMetric) {
			continue
		}
		fields := strings.Fields(sc.Text())
		if v, err := strconv.ParseFloat(fields[len(fields)-1], 64); err == nil {
			total += v
		}
	}
	return total
}

// costs compares two samples taken some time apart.
func costs(before, after map[string]sample, took time.Duration) []RoleCost {
	byRole := map[string]*RoleCost{}
	for name, u := range after {
		old, ok := before[name]
		if !ok {
			continue
		}
		c := byRole[u.role]
		if c == nil {
			c = &RoleCost{Role: u.role}
			byRole[u.role] = c
		}
		rate := (u.bytes - old.bytes) / took.Seconds()
		c.Processes++
		c.CPUShare += (u.CPU - old.CPU).Seconds() / took.Seconds()
		c.MaxResident = max(c.MaxResident, u.Resident)
		c.Bytes += rate
		c.MaxBytes = max(c.MaxBytes, rate)
	}
	var out []RoleCost
	for _, role := range []string{roleEntry, roleSteer, roleStore} {
		if c := byRole[role]; c != nil {
			c.CPUShare /= float64(c.Processes)
			c.Bytes /= float64(c.Processes)
			out = append(out, *c)
		}
	}
	return out
}

// watch measures the cost of what fn does and notes it as a phase.
func (b *bed) watch(ctx context.Context, s *Scenario, phase string, fn func() error) error {
	before, start := b.samples(ctx), time.Now()
	err := fn()
	took := time.Since(start)
	for _, c := range costs(before, b.samples(ctx), took) {
		c.Phase = phase
		s.Roles = append(s.Roles, c)
	}
	return err
}
