package peer

import (
	"bufio"
	"bytes"
	"errors"
	"testing"

	"cassiatray/internal/port"
	peerv1 "cassiatray/proto/peer/v1"
)

// FuzzReadFrame reads frames from any bytes: it must end with a message or an
// error, and refuse a length above the limit before it reads that much.
func FuzzReadFrame(f *testing.F) {
	var good bytes.Buffer
	if err := writeFrame(&good, &peerv1.Request{ExchangeId: 3, FromHost: "a"}); err != nil {
		f.Fatal(err)
	}
	f.Add(good.Bytes())
	f.Add(good.Bytes()[:good.Len()-1])
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x0f})
	f.Add([]byte{0x80, 0x80, 0x80, 0x80, 0x80, 0x80, 0x80, 0x80, 0x80, 0x80, 0x01})
	f.Add([]byte{0x02, 0x08})
	f.Fuzz(func(t *testing.T, raw []byte) {
		m := new(peerv1.Request)
		err := readFrame(bufio.NewReader(bytes.NewReader(raw)), m)
		var pe *port.PeerError
		if errors.As(err, &pe) && pe.Code != port.PeerTooLarge {
			t.Fatalf("error %v", err)
		}
	})
}

// Guards against a message that breaks off and is taken for a shorter one.
func TestCutFrames(t *testing.T) {
	var whole bytes.Buffer
	if err := writeFrame(&whole, &peerv1.Request{ExchangeId: 3, FromHost: "a"}); err != nil {
		t.Fatal(err)
	}
	for cut := range whole.Len() {
		m := new(peerv1.Request)
		if err := readFrame(bufio.NewReader(bytes.NewReader(whole.Bytes()[:cut])), m); err == nil {
			t.Errorf("cut after %d of %d bytes: %v", cut, whole.Len(), m)
		}
	}
}

func TestReadFrameRefusesLargeLength(t *testing.T) {
	raw := []byte{0x81, 0x80, 0x80, 0x04} // 8 MiB and one byte
	err := readFrame(bufio.NewReader(bytes.NewReader(raw)), new(peerv1.Request))
	if !port.IsPeerCode(err, port.PeerTooLarge) {
		t.Fatalf("error %v", err)
	}
}
