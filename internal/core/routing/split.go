package routing

// Drift limits of a split.
const (
	// maxDrift is how far the share of a part may run from its weight before
	// requests go by the shares alone. It is below the tenth that operators
	// allow a share to be off.
	maxDrift = 0.04
	// splitMemory is how many requests the shares are taken over; older ones
	// fade.
	splitMemory = 400
)

// Split divides the requests of one route among its parts. An object keeps to
// one part while the shares allow it, so that it stays warm there. It is not
// safe for concurrent use.
type Split struct {
	parts []Part
	sum   float64
	sent  []float64
	total float64
}

// NewSplit returns a split by the parts' weights.
func NewSplit(parts []Part) *Split {
	s := &Split{parts: parts, sent: make([]float64, len(parts))}
	for _, p := range parts {
		s.sum += p.Weight
	}
	return s
}

// Choose returns the service of the next request. Point is uniform in [0, 1)
// and equal for all requests of one object.
func (s *Split) Choose(point float64) string {
	i := s.at(point * s.sum)
	if s.total > 0 {
		j := s.behind()
		if s.drift(i) > maxDrift || -s.drift(j) > maxDrift {
			i = j
		}
	}
	s.sent[i]++
	s.total++
	if s.total > splitMemory {
		for k := range s.sent {
			s.sent[k] /= 2
		}
		s.total /= 2
	}
	return s.parts[i].Service
}

func (s *Split) at(x float64) int {
	for i, p := range s.parts {
		if x < p.Weight {
			return i
		}
		x -= p.Weight
	}
	return len(s.parts) - 1
}

// drift is how far a part's share is above its weight. A few requests say
// nothing yet, so the first ones count as if the shares had been exact.
func (s *Split) drift(i int) float64 {
	const prior = 10
	want := s.parts[i].Weight / s.sum
	return (s.sent[i]+prior*want)/(s.total+prior) - want
}

func (s *Split) behind() int {
	low := 0
	for i := range s.parts {
		if s.drift(i) < s.drift(low) {
			low = i
		}
	}
	return low
}
