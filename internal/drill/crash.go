package drill

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"cassiatray/api"
	"cassiatray/internal/adapter/httpclient"
	"cassiatray/internal/site"
	"cassiatray/internal/standin/server"
)

// crashID marks the runs of the crashing request in the counts of the servers.
// The request is idempotent, so that entry hosts make nothing of it.
const crashID = "crashing-request"

// crash sends the crashing request to a host and returns the code and the
// outcome of its failure.
func (c *Callers) crash(ctx context.Context, h site.HostPlan) string {
	target := "http://" + h.Caller.String() + "/v1/request/" + service + "/stock/bad?crash=1"
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return err.Error()
	}
	req.Header.Set(api.HeaderOperationID, crashID)
	resp, err := httpclient.Default.Do(req)
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	var e api.Error
	if err := json.NewDecoder(resp.Body).Decode(&e); err != nil {
		return resp.Status
	}
	return string(e.Code) + " " + string(e.Outcome)
}

// killServers kills all servers of a failure domain at once, and starts them
// again after more requests of the callers. What they counted is lost.
func (c *Callers) killServers(ctx context.Context, domain string) error {
	c.site.Process(site.ServersName(domain)).Kill()
	before := c.Ended()
	err := site.Await(ctx, "requests", func() bool { return c.Ended() >= before+requestsAfterKill })
	if err != nil {
		return err
	}
	return c.site.StartServers(domain)
}

// requestsAfterKill is how many requests must end before the servers return.
const requestsAfterKill = 500

// BehaviorError is a stand-in server that did not take a behavior.
type BehaviorError struct{ Server, Status string }

func (e *BehaviorError) Error() string { return "behavior of " + e.Server + ": " + e.Status }

// SetBehavior sets how stand-in servers behave.
//
// Errors: *BehaviorError.
func SetBehavior(ctx context.Context, servers []site.ServerPlan, b server.Behavior) error {
	body, err := json.Marshal(b)
	if err != nil {
		return err
	}
	for _, plan := range servers {
		target := "http://" + plan.Address.String() + "/standin/behavior"
		req, err := http.NewRequestWithContext(ctx, http.MethodPut, target, bytes.NewReader(body))
		if err != nil {
			return err
		}
		resp, err := httpclient.Default.Do(req)
		if err != nil {
			return &BehaviorError{Server: plan.Name, Status: err.Error()}
		}
		resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return &BehaviorError{Server: plan.Name, Status: resp.Status}
		}
	}
	return nil
}
