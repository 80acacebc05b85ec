package overload

import "time"

const (
	// pressureSamples is over about how many requests the share of full servers is averaged.
	pressureSamples = 32
	// pressureGap is after how long without requests the average is forgotten.
	pressureGap = time.Second
	// highPressure is the share of requests whose first server is full from which on a service
	// as a whole, and not some of its servers, has too little room. One in three is seen where
	// a few popular objects share a server.
	highPressure = 0.5
)

// Pressure measures which share of the requests to a service find the server where their object
// is kept without a free slot. It is not safe for concurrent use.
type Pressure struct {
	share float64
	at    time.Time
}

// Record records whether a request found its first server full.
func (p *Pressure) Record(full bool, now time.Time) {
	if now.Sub(p.at) > pressureGap {
		p.share = 0
	}
	x := 0.0
	if full {
		x = 1
	}
	p.share += (x - p.share) / pressureSamples
	p.at = now
}

// High reports whether the service as a whole has too little room. Requests then stay with the
// servers that are warm for their objects: a run that is moved to another server is cold there
// and takes the slots of three warm ones, so that with many of them the servers never become warm.
func (p *Pressure) High(now time.Time) bool {
	return p.share >= highPressure && now.Sub(p.at) <= pressureGap
}
