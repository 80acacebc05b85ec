package gateway

import (
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"
)

// Limits of pauses of the process.
const (
	// pauseGap is how long the process must not have run for what it knows to be
	// asked for again: several ticks.
	pauseGap = 1500 * time.Millisecond
	// resumeHold is how long requests wait after a pause for the view to be
	// confirmed: a failed pull and a call of the store from another region.
	resumeHold = 500 * time.Millisecond
)

// bootClock returns the time since the host started, suspension included: the
// monotonic clock, by which views age, stands still in a suspended host.
func bootClock() (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, err
	}
	return time.Duration(t.Nano()), nil
}

// pauses finds out that the process did not run for a while. What it knows is of
// before then, whatever it takes its age for.
type pauses struct {
	// ticked is when the process last ran for sure, by both clocks.
	ticked time.Time
	booted time.Duration
	// resumed is when the last pause ended; zero once the view was confirmed.
	resumed time.Time
}

// tick notes that the process runs, and returns how long it was suspended meanwhile
// and whether it was paused.
func (p *pauses) tick(now time.Time, boot time.Duration) (suspended time.Duration, paused bool) {
	if !p.ticked.IsZero() {
		ran := now.Sub(p.ticked)
		suspended = max(0, boot-p.booted-ran)
		paused = ran+suspended > pauseGap
	}
	p.ticked, p.booted = now, boot
	if paused && p.resumed.Before(now.Add(-resumeHold)) {
		p.resumed = now
	}
	return suspended, paused
}

// resuming reports whether the view is still to be confirmed after a pause.
func (p *pauses) resuming(now, synced time.Time) bool {
	if !p.ticked.IsZero() && now.Sub(p.ticked) > pauseGap && p.resumed.Before(p.ticked) {
		// No tick has come yet.
		p.resumed = now
	}
	if p.resumed.IsZero() {
		return false
	}
	if synced.After(p.resumed) || now.Sub(p.resumed) > resumeHold {
		// Kept while no tick has come, so that the same pause counts once.
		if now.Sub(p.ticked) <= pauseGap {
			p.resumed = time.Time{}
		}
		return false
	}
	return true
}

// Alive notes that the process runs. After a suspension the view is older than the
// monotonic clock says.
func (k *Keeper) Alive(now time.Time) {
	boot, err := bootClock()
	if err != nil {
		k.log.WithError(err).Debug("No clock that counts suspension.")
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	suspended, paused := k.pauses.tick(now, boot)
	// Zero says that nothing is noted yet.
	k.ticked.Store(max(1, int64(now.Sub(k.born))))
	if !paused {
		return
	}
	k.mirror.Age(suspended)
	k.paused.Store(true)
	k.log.WithFields(logrus.Fields{"suspended_ms": suspended.Milliseconds(), "view_age_ms": now.Sub(k.mirror.Synced()).Milliseconds()}).
		Warn("The process was paused; its view is confirmed before it serves.")
}

// resuming reports whether requests are to wait for the view after a pause.
func (k *Keeper) resuming(now time.Time) bool {
	if last := k.ticked.Load(); !k.paused.Load() && (last == 0 || now.Sub(k.born)-time.Duration(last) <= pauseGap) {
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	resuming := k.pauses.resuming(now, k.mirror.Synced())
	k.paused.Store(resuming)
	return resuming
}
