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
	At     time.Time
	// Proven is set if the request had run to completion before, Trial if this was a trial.
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

// Judge decides on a request by the crashes since it last ran to completion. Crashes alone
// never settle it: a failure domain that is lost takes down several servers at once, whatever
// they were running. A request that was in flight at TrialThreshold crashes runs on in trials,
// one copy at a time in the whole system, and only trials that crash their servers refuse it.
// proven is set if the request is known to have run to completion, whatever the sightings say.
func Judge(sightings []Sighting, proven bool) Verdict {
	v := Verdict{Crashes: countCrashes(sightings, false), Failed: countCrashes(sightings, true)}
	var last time.Time
	for _, s := range sightings {
		proven = proven || s.Proven
		if s.At.After(last) {
			last = s.At
		}
	}
	pause, most := trialPause, maxTrials
	if !proven {
		pause, most = unprovenTrialPause, maxUnprovenTrials
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

// countCrashes returns the number of crashes, or of those under trials. Several sightings may
// be of one crash.
func countCrashes(sightings []Sighting, trialsOnly bool) int {
	n := 0
	latest := map[string]time.Time{}
	for _, s := range slices.SortedStableFunc(slices.Values(sightings), func(a, b Sighting) int { return a.At.Compare(b.At) }) {
		if trialsOnly && !s.Trial {
			continue
		}
		if at, ok := latest[s.Server]; !ok || s.At.Sub(at) > sameCrashWindow {
			n++
		}
		latest[s.Server] = s.At
	}
	return n
}
