package operatorhttp

// Explanation says why a look-up is answered as it is.
type Explanation struct {
	Service string `json:"service"`
	Client  string `json:"client"`
	// Block is the client block that matched; empty when none did.
	Block string `json:"block"`
	// Regions are in the order of the caller's preference.
	Regions  []string        `json:"regions"`
	Sequence uint64          `json:"sequence"`
	Hosts    []ExplainedHost `json:"hosts"`
	// Notes are what else bore on the answer, one sentence each.
	Notes []string `json:"notes"`
}

// ExplainedHost is a host of an answer with the reason for its place.
type ExplainedHost struct {
	Name   string `json:"name"`
	Domain string `json:"domain"`
	Region string `json:"region"`
	Reason string `json:"reason"`
}
