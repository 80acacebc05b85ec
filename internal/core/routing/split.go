package routing

// Limits of a split.
const (
	// maxDrift is how far a part's share of the requests may differ from its
	// weight before requests are assigned by the shares alone. It is below the
	// tolerance of a tenth that operators allow.
	maxDrift = 0.04
	// splitWindow is the number of requests after which all counts are halved,
	// so that older requests count less and less.
	splitWindow = 400
)

// Split divides the requests of one route among its parts. An object stays with
// one part as long as the shares allow it, so that its servers stay warm for
// it. It is not safe for concurrent use.
type Split struct {
	parts []Part
	sum   float64
	sent  []float64
	total float64
}

// NewSplit returns a split among the parts, by their weights.
func NewSplit(parts []Part) *Split {
	s := &Split{parts: parts, sent: make([]float64, len(parts))}
	for _, p := range parts {
		s.sum += p.Weight
	}
	return s
}

// Choose returns the service for the next request. Point is uniform in [0, 1)
// and the same for all requests of one object.
func (s *Split) Choose(point float64) string {
	i := s.partAt(point * s.sum)
	if s.total > 0 {
		j := s.mostUnderserved()
		if s.drift(i) > maxDrift || -s.drift(j) > maxDrift {
			i = j
		}
	}
	s.sent[i]++
	s.total++
	if s.total > splitWindow {
		for k := range s.sent {
			s.sent[k] /= 2
		}
		s.total /= 2
	}
	return s.parts[i].Service
}

// partAt returns the part at a position on the line of all weights.
func (s *Split) partAt(x float64) int {
	for i, p := range s.parts {
		if x < p.Weight {
			return i
		}
		x -= p.Weight
	}
	return len(s.parts) - 1
}

// drift returns how far a part's share of the requests is above its weight. The
// prior damps the drift of the first requests, which are too few to be
// meaningful: it counts as requests divided exactly by weight.
func (s *Split) drift(i int) float64 {
	const prior = 10
	want := s.parts[i].Weight / s.sum
	return (s.sent[i]+prior*want)/(s.total+prior) - want
}

// mostUnderserved returns the part whose share is furthest below its weight.
func (s *Split) mostUnderserved() int {
	lowest := 0
	for i := range s.parts {
		if s.drift(i) < s.drift(lowest) {
			lowest = i
		}
	}
	return lowest
}
