package server

// Behavior is how the server behaves until told otherwise.
type Behavior struct {
	Draining bool `json:"draining"`
	// Shed refuses all requests with 503 and Retry-After.
	Shed bool `json:"shed"`
	// ShedNotRun adds X-Not-Run to the refusals of Shed; ShedAfterRun sheds
	// only once the request has run.
	ShedNotRun   bool `json:"shedNotRun"`
	ShedAfterRun bool `json:"shedAfterRun"`
	// Twice sends each answer two times.
	Twice bool `json:"twice"`
	// CloseReused closes a connection at the moment that another request comes
	// on it, before it runs.
	CloseReused bool `json:"closeReused"`
	// ExtraMillis is added to the work of each request.
	ExtraMillis int `json:"extraMillis"`
	// Cross answers with another request's ID.
	Cross bool `json:"cross"`
	// Short cuts each answer after half its body.
	Short bool `json:"short"`
	// Drop closes the connection after the work is done, without an answer.
	Drop bool `json:"drop"`
	// LieLoad is reported in place of the true number in flight when not zero.
	LieLoad int `json:"lieLoad"`
	// LieHealthy reports health while draining or shedding.
	LieHealthy bool `json:"lieHealthy"`
}

// SetBehavior replaces the behavior.
func (s *Server) SetBehavior(b Behavior) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.behavior = b
}

func (s *Server) current() Behavior {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.behavior
}
