package demo

import (
	"bytes"
	"context"
	"testing"
	"time"

	"cassiatray/internal/site"
)

// TestDemo runs the whole path as separate processes.
func TestDemo(t *testing.T) {
	bin, err := site.Programs()
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	var out bytes.Buffer
	d := Demo{Bin: bin, Out: &out}
	if err := d.Run(ctx); err != nil {
		t.Fatalf("%v\n%s", err, out.String())
	}
}
