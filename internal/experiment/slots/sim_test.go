package slots

import "testing"

// TestOnlyLimitedPoliciesHoldTheLimit judges the servers' own counts.
func TestOnlyLimitedPoliciesHoldTheLimit(t *testing.T) {
	for _, scenario := range []Scenario{Replaced, Surge} {
		for policy, limited := range map[string]bool{Owner: true, Least: false} {
			row := Run(Setup{Policy: policy, Scenario: scenario, Servers: 2, Slots: 3, Load: 0.8, Seed: 7})
			if limited != (row.High <= row.Slots) {
				t.Errorf("%s, %s: %d on a server of %d slots", policy, scenario, row.High, row.Slots)
			}
		}
	}
}
