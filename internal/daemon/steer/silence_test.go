package steer

import (
	"testing"

	"cassiatray/internal/core/relay"
	"cassiatray/internal/logging"
	"cassiatray/internal/port"
	peerv1 "cassiatray/proto/peer/v1"
)

// TestStepDownTakesSilence checks that a process that led takes over what the
// new lead said before it knew that it leads no longer.
func TestStepDownTakesSilence(t *testing.T) {
	n := NewNode(Settings{Host: "a-1", Domain: "a"}, 1, nil, nil, port.SystemClock{}, logging.Discard())
	n.beats = relay.NewBeats("a", []string{"a", "b"}, nil)
	n.silent = []string{"b"}
	n.takeSilent(&peerv1.SilentDomains{})
	n.mu.Lock()
	defer n.mu.Unlock()
	n.tickBeats() // there is no document, so this process does not lead
	if len(n.silent) != 0 {
		t.Fatalf("silent domains %v", n.silent)
	}
}
