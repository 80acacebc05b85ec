package gateway

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"cassiatray/internal/core/suspect"
	peerv1 "cassiatray/proto/peer/v1"
)

// recorded reads a message that a gateway of an earlier build sent. The folder is the commit.
func recorded(t *testing.T, build, name string, into proto.Message) {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("testdata", build, name+".bin"))
	if err != nil {
		t.Fatal(err)
	}
	if err := proto.Unmarshal(data, into); err != nil {
		t.Fatal(err)
	}
}

// Guards against a message of the build before that a gateway reads otherwise, while both run side
// by side: reports count as they did, an offer is no trial, and a rejection is one of a gateway that
// makes none.
func TestMessagesOfTheBuildBefore(t *testing.T) {
	now := time.Now()
	k := newFixture(nil).keeper
	pull, offer, reply := new(peerv1.Request), new(peerv1.Request), new(peerv1.Reply)
	recorded(t, "b31ef2f", "pull", pull)
	k.takeReports(pull.GetMirrorPull().GetReports()[:1], now)
	const print = "0123456789abcdef0123456789abcdef"
	v := k.reports.Verdict(print, "s", false)
	if v.State != suspect.Clear || v.Crashes != 1 || v.Failed != 0 {
		t.Errorf("verdict %+v after the report of a crash", v)
	}
	k.takeReports(pull.GetMirrorPull().GetReports(), now)
	if k.reports.Held(print, "s") {
		t.Error("held after the report of a run to its end")
	}
	recorded(t, "b31ef2f", "offer", offer)
	if o := offer.GetRelayOffer(); o.GetTrial() || o.GetUri() != "/get/1" || o.GetRunsLeft() != 2 || !o.GetRepeat() {
		t.Errorf("offer %v", o)
	}
	recorded(t, "b31ef2f", "rejection", reply)
	if ended, again := newFixture(nil).node.trialRejected(nil, new(inflightRequest), reply.GetRelayHead()); ended || !again {
		t.Error("a rejected trial is not offered to another gateway")
	}
}
