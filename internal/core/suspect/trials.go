package suspect

import (
	"slices"
	"time"
)

// Limits of trials.
const (
	// TrialThreshold is the number of crashes from which on a request runs in trials only.
	TrialThreshold = 3
	// maxTrials is how many trials may crash their servers before the request is refused, and
	// maxUnprovenTrials how many of a request that never ran to completion.
	maxTrials         = 2
	maxUnprovenTrials = 1
	// trialPause is the time from a crash to the next trial: all copies that were sent before
	// the crash was known have ended or crashed. It doubles with each trial that fails.
	trialPause = commonCauseWindow
	// unprovenTrialPause is trialPause for a request that never ran to completion: it is
	// probably the cause of the crashes.
	unprovenTrialPause = time.Minute
	// sameCrashWindow is the time within which reports about one server are of one crash.
	sameCrashWindow = time.Second
)

// Sighting is a report that a request was in flight at a server when it crashed.
type Sighting struct {
	Server string
	// Service is the server's; empty if it is not known.
	Service string
	// Sent is when the request was sent, At when the server crashed.
	Sent, At time.Time
	// Proven is set if the request had run to completion at this service before, Trial if this was a
	// trial.
	Proven, Trial bool
}

// Verdict says how a request is to be treated.
type Verdict struct {
	State State
	// Crashes is the number of crashes, Failed that of the trials among them.
	Crashes, Failed int
	// Until is when a request on probation may have its next trial, or when one that is
	// refused is forgotten.
	Until time.Time
}

// Runs reports whether the request may run as any other.
func (v Verdict) Runs() bool { return v.State == Clear }

// Judge decides whether a request may run at a service, by the crashes since it last ran to completion.
// Crashes alone never settle it: a failure domain that is lost takes down several servers at once, whatever
// they were running. A request that was in flight at TrialThreshold crashes runs on in trials,
// one copy at a time in the whole system, and only trials that crash their servers refuse it.
//
// Crashes at other services count if the request was sent after the crash before: it crashes servers there
// one after the other, and comes again until it meets all of them. Copies that were in flight at once, as
// when a failure domain of several services is lost, count at their own service only. A service at which
// nothing has crashed has a trial even if one has failed elsewhere.
//
// proven is set if the request is known to have run to completion at the service, whatever the sightings say.
func Judge(sightings []Sighting, service string, proven bool) Verdict {
	crashes := crashesOf(sightings)
	var v Verdict
	var last time.Time
	crashedHere := false
	for _, c := range crashes {
		here := c.Service == service || c.Service == ""
		crashedHere = crashedHere || here
		if here || !c.Sent.Before(last) {
			v.Crashes++
		}
		last = c.At
	}
	var trials []Sighting
	for _, s := range sightings {
		proven = proven || s.Proven && s.Service == service
		if s.Trial {
			trials = append(trials, s)
		}
		if s.At.After(last) {
			last = s.At
		}
	}
	v.Failed = len(crashesOf(trials))
	pause, most := trialPause, maxTrials
	if !proven {
		pause = unprovenTrialPause
	}
	if !proven && crashedHere {
		most = maxUnprovenTrials
	}
	switch {
	case v.Crashes < TrialThreshold:
		v.State = Clear
	case v.Failed >= most:
		v.State, v.Until = Refused, last.Add(Keep)
	default:
		v.State, v.Until = Probation, last.Add(pause<<v.Failed)
	}
	return v
}

// crashesOf returns the crashes that sightings tell of, in order: several may be of one crash, of which
// the earliest copy of the request counts.
func crashesOf(sightings []Sighting) []Sighting {
	var out []Sighting
	// latest holds the index of each server's latest crash, and when it was last sighted.
	type sighted struct {
		crash int
		at    time.Time
	}
	latest := map[string]sighted{}
	for _, s := range slices.SortedStableFunc(slices.Values(sightings), func(a, b Sighting) int { return a.At.Compare(b.At) }) {
		known, ok := latest[s.Server]
		if !ok || s.At.Sub(known.at) > sameCrashWindow {
			known.crash = len(out)
			out = append(out, s)
		} else if c := &out[known.crash]; s.Sent.Before(c.Sent) {
			c.Sent = s.Sent
		}
		latest[s.Server] = sighted{known.crash, s.At}
	}
	return out
}
