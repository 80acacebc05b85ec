package operation

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// history draws the steps of a world. Report is nil for the properties to fail.
func history(f faults, report func(format string, args ...any)) func(*rapid.T) {
	return func(t *rapid.T) {
		w := newWorld(f)
		if report == nil {
			report = t.Fatalf
		}
		anyHost := rapid.IntRange(0, hostCount-1)
		op := func(t *rapid.T) id {
			if len(w.ids) == 0 {
				t.Skip("no operation yet")
			}
			return rapid.SampledFrom(w.ids).Draw(t, "operation")
		}
		take := func(t *rapid.T) message {
			if len(w.msgs) == 0 {
				t.Skip("no message")
			}
			i := rapid.IntRange(0, len(w.msgs)-1).Draw(t, "message")
			m := w.msgs[i]
			w.msgs = slices.Delete(w.msgs, i, i+1)
			w.seen = append(w.seen, m)
			return m
		}
		fate := rapid.IntRange(0, 3)
		t.Repeat(map[string]func(*rapid.T){
			"": func(*rapid.T) { w.check(report) },
			"new": func(t *rapid.T) {
				at := anyHost.Draw(t, "host")
				w.next++
				op := id{text: fmt.Sprint("op-", w.next), host: at, incarnation: w.hosts[at].incarnation, issued: w.clock(at)}
				w.ids = append(w.ids, op)
				w.copy(op, at)
			},
			"resend":  func(t *rapid.T) { w.copy(op(t), anyHost.Draw(t, "host")) },
			"settle":  func(t *rapid.T) { w.settle(op(t), anyHost.Draw(t, "host")) },
			"deliver": func(t *rapid.T) { w.deliver(take(t), fate.Draw(t, "fate")) },
			"repeat": func(t *rapid.T) {
				if len(w.seen) == 0 {
					t.Skip("nothing delivered")
				}
				m := rapid.SampledFrom(w.seen).Draw(t, "message")
				m.late = true
				w.deliver(m, fate.Draw(t, "fate"))
			},
			"lose":    func(t *rapid.T) { take(t) },
			"timeout": func(t *rapid.T) { w.timeout(op(t)) },
			"kill":    func(t *rapid.T) { w.kill(anyHost.Draw(t, "host")) },
			"stop":    func(t *rapid.T) { w.stop(anyHost.Draw(t, "host")) },
			"wait":    func(t *rapid.T) { w.now = w.now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "s")) * time.Second) },
			"skew": func(t *rapid.T) {
				w.hosts[anyHost.Draw(t, "host")].skew = time.Duration(rapid.IntRange(-900, 900).Draw(t, "s")) * time.Second
			},
		})
		// What is still on its way arrives in the end.
		for len(w.msgs) > 0 {
			m := w.msgs[0]
			w.msgs = w.msgs[1:]
			w.deliver(m, 2)
		}
		w.check(report)
	}
}

// TestHistory checks, with a death, a stop, a loss or a delay at every step,
// that an operation runs at most once and that one called not run did not.
func TestHistory(t *testing.T) { rapid.Check(t, history(faults{}, nil)) }

// TestHistoryFindsFaults shows that the properties fail for naive variants.
func TestHistoryFindsFaults(t *testing.T) {
	if fails(faults{}) {
		t.Fatal("a history fails without a fault")
	}
	for name, f := range map[string]faults{
		"forgets at restart":              {forgetful: true},
		"not run after a timeout":         {impatient: true},
		"runs every attempt that arrives": {unguarded: true},
		"refuses without sealing":         {hasty: true},
	} {
		t.Run(name, func(t *testing.T) {
			if !fails(f) {
				t.Fatal("no history found the fault")
			}
		})
	}
}

// fails reports whether one of many generated histories breaks a property.
// Rapid has no other way to expect a failure.
func fails(f faults) bool {
	broken := false
	prop := history(f, func(string, ...any) { broken = true })
	generated := rapid.Custom(func(t *rapid.T) bool {
		prop(t)
		return broken
	})
	for seed := range 2000 {
		if generated.Example(seed); broken {
			return true
		}
	}
	return false
}
