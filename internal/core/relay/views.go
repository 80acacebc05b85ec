package relay

import (
	"encoding/binary"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	peerv1 "cassiatray/proto/peer/v1"
)

// version orders the views of one domain. Two leads may make views with the
// same number; their names tell these apart.
type version struct {
	number uint64
	lead   string
}

func versionOf(v *peerv1.DomainView) version {
	return version{number: v.GetVersion(), lead: v.GetLead()}
}

func (a version) before(b version) bool {
	return a.number < b.number || a.number == b.number && a.lead < b.lead
}

// Views holds the newest view of each failure domain. Views are immutable once
// they are in. It is not safe for concurrent use.
type Views struct {
	own   string
	views map[string]*peerv1.DomainView
}

// NewViews returns an empty set of views. The view of the domain own, if not
// empty, is only set by SetOwn.
func NewViews(own string) *Views {
	return &Views{own: own, views: map[string]*peerv1.DomainView{}}
}

// Merge takes in views of other domains and returns those that were newer.
func (v *Views) Merge(list []*peerv1.DomainView) []*peerv1.DomainView {
	var newer []*peerv1.DomainView
	for _, view := range list {
		old := v.views[view.GetDomain()]
		if view.GetDomain() == v.own || old != nil && !versionOf(old).before(versionOf(view)) {
			continue
		}
		v.views[view.Domain] = view
		newer = append(newer, view)
	}
	return newer
}

// SetOwn replaces the view of this process's own domain.
func (v *Views) SetOwn(view *peerv1.DomainView) { v.views[v.own] = view }

// Outbid returns a version for the own domain above every other lead's heard
// of, or zero when the own version is above them already. Views of the own
// domain that come back newer stem from another lead; the living one must win.
func (v *Views) Outbid(list []*peerv1.DomainVersion) uint64 {
	own := v.views[v.own]
	if own == nil {
		return 0
	}
	for _, x := range list {
		if x.GetDomain() == v.own && versionOf(own).before(version{x.GetVersion(), x.GetLead()}) {
			return x.GetVersion() + 1
		}
	}
	return 0
}

// Get returns the view of a domain, or nil.
func (v *Views) Get(domain string) *peerv1.DomainView { return v.views[domain] }

// All returns every view, sorted by domain.
func (v *Views) All() []*peerv1.DomainView {
	out := make([]*peerv1.DomainView, 0, len(v.views))
	for _, name := range slices.Sorted(maps.Keys(v.views)) {
		out = append(out, v.views[name])
	}
	return out
}

// Versions returns the version of every view, sorted by domain.
func (v *Views) Versions() []*peerv1.DomainVersion {
	out := make([]*peerv1.DomainVersion, 0, len(v.views))
	for _, view := range v.All() {
		out = append(out, &peerv1.DomainVersion{Domain: view.Domain, Version: view.Version, Lead: view.Lead})
	}
	return out
}

// Digest sums up the versions of all views. Equal sets have equal digests.
func (v *Views) Digest() uint64 {
	d := xxhash.New()
	var number [8]byte
	for _, x := range v.Versions() {
		d.WriteString(x.Domain)
		binary.BigEndian.PutUint64(number[:], x.Version)
		d.Write(number[:])
		d.WriteString(x.Lead)
	}
	return d.Sum64()
}

// Known is the version that a process has of the view of each domain.
type Known map[string]version

// NewKnown reads a list of versions.
func NewKnown(list []*peerv1.DomainVersion) Known {
	k := make(Known, len(list))
	for _, x := range list {
		k[x.GetDomain()] = version{x.GetVersion(), x.GetLead()}
	}
	return k
}

// Add notes views that were sent.
func (k Known) Add(views []*peerv1.DomainView) {
	for _, v := range views {
		k[v.Domain] = versionOf(v)
	}
}

// Newer returns the views that are newer than those known.
func (v *Views) Newer(than Known) []*peerv1.DomainView {
	var out []*peerv1.DomainView
	for _, view := range v.All() {
		if than[view.Domain].before(versionOf(view)) {
			out = append(out, view)
		}
	}
	return out
}

// Lacking returns the domains of which a list of versions has newer views.
func (v *Views) Lacking(list []*peerv1.DomainVersion) []string {
	var out []string
	for _, x := range list {
		old := v.views[x.GetDomain()]
		if x.GetDomain() != v.own && (old == nil || versionOf(old).before(version{x.GetVersion(), x.GetLead()})) {
			out = append(out, x.GetDomain())
		}
	}
	return out
}

// Select returns the views of some domains.
func (v *Views) Select(domains []string) []*peerv1.DomainView {
	var out []*peerv1.DomainView
	for _, name := range domains {
		if view := v.views[name]; view != nil {
			out = append(out, view)
		}
	}
	return out
}

// Partners returns the domains with which a domain exchanges views: those at
// distances 1, 2, 4, ... on the ring of all domains in order. News that each
// passes to its partners reaches n domains in at most log2(n) steps, rounded
// up, and no domain has more than that many partners.
func Partners(domains []string, own string) []string {
	i := slices.Index(domains, own)
	if i < 0 {
		return nil
	}
	var out []string
	for step := 1; step < len(domains); step *= 2 {
		out = append(out, domains[(i+step)%len(domains)])
	}
	return out
}
