package site

import (
	"context"
	"encoding/json"

	"cassiatray/internal/standin/server"
)

// Stats asks the stand-in server what it has seen. The error is that of the
// JSON, which is empty when the server cannot be reached.
func (p ServerPlan) Stats(ctx context.Context) (server.Stats, error) {
	var out server.Stats
	_, body := Get(ctx, "http://"+p.Address.String()+"/standin/stats")
	err := json.Unmarshal(body, &out)
	return out, err
}
