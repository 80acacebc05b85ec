package port

import "time"

// Clock gives the current time. The pure packages take time as an argument
// and never hold a Clock.
type Clock interface {
	Now() time.Time
}

// SystemClock reads the host's clock.
type SystemClock struct{}

// Now returns the host's current time.
func (SystemClock) Now() time.Time { return time.Now() }
