package gateway

import (
	"maps"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"cassiatray/internal/core/fleet"
	"cassiatray/internal/core/mirror"
	"cassiatray/internal/core/routing"
	"cassiatray/internal/port"
	peerv1 "cassiatray/proto/peer/v1"
)

// take acts on changed records. The caller holds k.mu.
func (k *Keeper) take(records []mirror.Record, source string, now time.Time) {
	if len(records) == 0 {
		return
	}
	for _, r := range records {
		k.takeOne(r, source, now)
	}
	k.wake()
	k.publish(now)
}

// takeOne acts on a changed record. The caller holds k.mu.
func (k *Keeper) takeOne(r mirror.Record, source string, now time.Time) {
	kind, name := k.schema.Kind(r.Key)
	k.placementChanged = k.placementChanged || kind != port.RecordMember
	fields := logrus.Fields{"key": r.Key, "revision": r.Revision, "source": source, "age_ms": now.Sub(r.Read).Milliseconds()}
	delete(k.restore.doubted, r.Key)
	if _, lapsed := k.lapsed[r.Key]; lapsed && r.Deleted {
		// Each hub that lists the store gives what a copy lacks a revision of its own.
		return
	}
	delete(k.lapsed, r.Key)
	switch kind {
	case port.RecordConfig:
		k.takeConfig(r, fields, now)
	case port.RecordEvacuation:
		if k.isMissingInCopy(r) {
			k.lapse(r, restoreSettle, fields, now)
			return
		}
		k.log.WithFields(fields).WithField("evacuated", !r.Deleted).Info("Evacuation changed.")
		if r.Deleted {
			k.takeBack(name, now)
		}
	case port.RecordServer:
		k.takeServer(name, r, fields, now)
	case port.RecordMember:
		k.takeMember(name, r, fields, now)
	}
}

// remove acts on the removal of a server's, a gateway's or an evacuation's record. The caller
// holds k.mu.
func (k *Keeper) remove(r mirror.Record, fields logrus.Fields, now time.Time) {
	delete(k.lapsed, r.Key)
	switch kind, name := k.schema.Kind(r.Key); kind {
	case port.RecordServer:
		if old := k.servers[name]; old != nil {
			k.restore.depart(r.Key, departure{at: now, born: old.rec().Born})
			if old.mayRun(now) {
				k.departed[name] = old
			}
		}
		delete(k.servers, name)
		k.log.WithFields(fields).Info("Server gone.")
	case port.RecordMember:
		delete(k.stored, name)
		k.log.WithFields(fields).Info("Gateway's record gone.")
	case port.RecordEvacuation:
		k.log.WithFields(fields).WithField("evacuated", false).Info("Evacuation changed.")
		k.takeBack(name, now)
	}
}

func (k *Keeper) takeConfig(r mirror.Record, fields logrus.Fields, now time.Time) {
	if r.Deleted {
		k.log.WithFields(fields).Warn("Configuration removed; the last one stays in force.")
		return
	}
	c, err := k.schema.Config(r.Value)
	if err != nil {
		k.log.WithFields(fields).WithError(err).Error("Configuration refused; the last one stays in force.")
		return
	}
	if k.config != nil && c.Version <= k.config.Version {
		k.log.WithFields(fields).WithField("version", c.Version).Warn("Configuration is not newer; the last one stays in force.")
		return
	}
	if k.config == nil {
		k.configSince = time.Now()
	} else if k.config.HasCustomers() && !c.HasCustomers() {
		k.log.WithFields(fields).WithField("version", c.Version).Warn("Configuration names no customers any more: callers need no keys.")
	}
	k.config, k.configRecord = c, r
	k.configs.setInForce(r.Value)
	k.taken = configTaken{version: c.Version, at: now, age: now.Sub(r.Read)}
	k.splits, k.priorities = map[*routing.Route]*lockedSplit{}, c.Priorities()
	homed := 0
	c.EachRoute(func(route *routing.Route) {
		if len(route.Homes) > 0 {
			homed++
		}
		if len(route.Parts) > 1 {
			k.splits[route] = &lockedSplit{split: routing.NewSplit(route.Parts)}
		}
	})
	for _, warning := range c.Warnings {
		k.log.WithFields(fields).WithField("version", c.Version).Warn("Configuration: " + warning)
	}
	k.log.WithFields(fields).WithFields(logrus.Fields{"version": c.Version, "routes": c.Routes(), "homed_routes": homed, "customers": c.CountCustomers()}).Info("Configuration in force.")
}

func (k *Keeper) takeServer(id string, r mirror.Record, fields logrus.Fields, now time.Time) {
	old := k.servers[id]
	if r.Deleted {
		switch {
		case old != nil && k.isMissingInCopy(r):
			k.lapse(r, lapseGrace, fields, now)
		case old != nil && now.Before(k.graceUntil):
			k.lapse(r, k.graceUntil.Sub(now), fields, now)
		default:
			k.remove(r, fields, now)
		}
		return
	}
	rec, err := k.schema.Server(id, r.Value)
	if err != nil {
		delete(k.servers, id)
		k.log.WithFields(fields).WithError(err).Warn("Server's record refused.")
		return
	}
	if k.isOutdatedServer(old, rec, r) {
		k.restore.doubt(r.Key)
		k.log.WithFields(fields).Info("Server's record in the copy is older than what is known.")
		return
	}
	k.noteReplaced(rec, now)
	s := old
	switch {
	case old == nil:
		s = newServer(rec, k.cfg.regionOf(rec.Domain))
		if k.restore.isCopied(r) {
			// It may be gone since before this gateway started.
			s.withHealth(func(h *fleet.Health) bool { return h.Suspect(now) })
		}
	case old.rec().SameLife(rec):
		s.record.Store(&rec)
	default:
		s = old.successor(rec, k.cfg.regionOf(rec.Domain))
	}
	if rec.Cold > 0 {
		until := r.Read.Add(rec.Cold)
		s.withHealth(func(h *fleet.Health) bool { h.Cold(until); return true })
	}
	if k.saidToLeave(&rec) {
		s.leave(now)
	}
	k.servers[id] = s
	fields["service"], fields["state"], fields["cold_ms"] = rec.Service, rec.State.String(), rec.Cold.Milliseconds()
	k.log.WithFields(fields).Info("Server changed.")
}

// noteReplaced has the servers looked into whose place at an address a new process has taken. The
// caller holds k.mu.
func (k *Keeper) noteReplaced(rec fleet.Record, now time.Time) {
	maps.DeleteFunc(k.departed, func(_ string, s *server) bool { return !s.mayRun(now) })
	for _, known := range []map[string]*server{k.servers, k.departed} {
		for _, s := range known {
			if rec.Replaces(*s.rec()) && k.replaced != nil {
				k.replaced(s)
			}
		}
	}
}

func (k *Keeper) takeMember(host string, r mirror.Record, fields logrus.Fields, now time.Time) {
	if r.Deleted {
		switch {
		case k.isMissingInCopy(r) && k.stored[host] != nil:
			k.lapse(r, restoreSettle, fields, now)
		case k.stored[host] != nil && (now.Before(k.graceUntil) || k.leasesLag(now)):
			// The lease of a gateway that lives on lapses while it cannot renew it.
			k.lapse(r, memberGrace, fields, now)
		default:
			k.remove(r, fields, now)
		}
		return
	}
	m := new(peerv1.GatewayMember)
	if err := proto.Unmarshal(r.Value, m); err != nil || m.Host != host {
		k.log.WithFields(fields).WithError(err).Warn("Gateway's record refused.")
		return
	}
	k.othersKnown = k.othersKnown || host != k.cfg.Host
	if isCopiedMember(m, r) {
		k.log.WithFields(fields).Info("Gateway's record is of before the store came back from a copy.")
		return
	}
	k.stored[host] = m
	k.log.WithFields(fields).WithField("incarnation", m.Incarnation).Info("Gateway known.")
}
