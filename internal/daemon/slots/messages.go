package slots

import (
	"time"

	"cassiatray/internal/core/admission"
	peerv1 "cassiatray/proto/peer/v1"
)

func keyMessage(k admission.Key) *peerv1.SlotKey {
	return &peerv1.SlotKey{Service: k.Service, Server: k.Server}
}

func keyOf(m *peerv1.SlotKey) admission.Key {
	return admission.Key{Service: m.GetService(), Server: m.GetServer()}
}

func wantMessage(w admission.Want) *peerv1.SlotWant {
	return &peerv1.SlotWant{Key: keyMessage(w.Key), HoldMicros: w.Hold.Microseconds()}
}

func wantOf(m *peerv1.SlotWant) admission.Want {
	return admission.Want{Key: keyOf(m.GetKey()), Hold: micros(m.GetHoldMicros())}
}

// micros reads a time span, which is never negative.
func micros(n int64) time.Duration { return time.Duration(max(n, 0)) * time.Microsecond }

// ceilMicros rounds up, so that nothing is usable too early.
func ceilMicros(d time.Duration) int64 {
	return int64((d + time.Microsecond - 1) / time.Microsecond)
}

func askMessage(a *admission.Ask) *peerv1.SlotAsk {
	out := &peerv1.SlotAsk{Round: a.Round}
	for _, w := range a.Wants {
		out.Wants = append(out.Wants, wantMessage(w))
	}
	for _, k := range a.Release {
		out.Releases = append(out.Releases, keyMessage(k))
	}
	for _, c := range a.Claims {
		out.Claims = append(out.Claims, &peerv1.SlotClaim{Want: wantMessage(c.Want), AfterMicros: ceilMicros(c.After)})
	}
	return out
}

func askOf(m *peerv1.SlotAsk, from admission.Holder) *admission.Ask {
	a := &admission.Ask{From: from, Round: m.Round}
	for _, w := range m.Wants {
		a.Wants = append(a.Wants, wantOf(w))
	}
	for _, k := range m.Releases {
		a.Release = append(a.Release, keyOf(k))
	}
	for _, c := range m.Claims {
		a.Claims = append(a.Claims, admission.Claim{Want: wantOf(c.GetWant()), After: micros(c.GetAfterMicros())})
	}
	return a
}

func grantMessages(answers []admission.Answer) []*peerv1.SlotGrant {
	var out []*peerv1.SlotGrant
	for _, a := range answers {
		out = append(out, &peerv1.SlotGrant{
			Key: keyMessage(a.Key), Granted: a.Granted, AfterMicros: ceilMicros(a.After),
			HolderHost: a.Holder.Host, HolderIncarnation: a.Holder.Incarnation,
		})
	}
	return out
}

func answersOf(m *peerv1.SlotAnswer) []admission.Answer {
	var out []admission.Answer
	for _, g := range m.GetGrants() {
		out = append(out, admission.Answer{
			Key: keyOf(g.GetKey()), Granted: g.Granted, After: micros(g.AfterMicros),
			Holder: admission.Holder{Host: g.HolderHost, Incarnation: g.HolderIncarnation},
		})
	}
	return out
}
