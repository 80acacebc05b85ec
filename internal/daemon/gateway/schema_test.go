package gateway

import (
	"encoding/json"
	"fmt"
	"strings"

	"cassiatray/internal/core/fleet"
	"cassiatray/internal/core/routing"
	"cassiatray/internal/port"
)

// plainSchema keeps records as JSON of the product's own types.
type plainSchema struct{}

func (plainSchema) Kind(key string) (port.RecordKind, string) {
	kind, name, _ := strings.Cut(key, "/")
	switch kind {
	case "config":
		return port.RecordConfig, ""
	case "evacuate":
		return port.RecordEvacuation, name
	case "server":
		return port.RecordServer, name
	case "gateway":
		return port.RecordMember, name
	}
	return port.RecordOther, ""
}

func (plainSchema) MemberKey(host string) string { return "gateway/" + host }

// plainConfig is a configuration in tests.
type plainConfig struct {
	Version  uint64
	Services []routing.Service
	Routes   []routing.Route
	Limits   routing.Limits
	// Customers have their keys in clear.
	Customers []routing.Customer
}

func (plainSchema) Config(value []byte) (*routing.Config, error) {
	var c plainConfig
	if err := json.Unmarshal(value, &c); err != nil {
		return nil, &port.RecordError{Key: "config", Reason: err.Error()}
	}
	config := routing.NewConfig(c.Version, c.Services, c.Limits, c.Routes)
	config.SetCustomers(c.Customers)
	return config, nil
}

func (plainSchema) Server(id string, value []byte) (fleet.Record, error) {
	r := fleet.Record{ID: id}
	if err := json.Unmarshal(value, &r); err != nil || r.Slots == 0 {
		return r, &port.RecordError{Key: id, Reason: fmt.Sprint(err)}
	}
	return r, nil
}

func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}
