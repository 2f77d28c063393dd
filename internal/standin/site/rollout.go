package site

import (
	"encoding/json"
	"strings"
	"time"
)

// Misbehaviour is how an endpoint with a bad software version responds. The zero value is that of a good one.
type Misbehaviour struct {
	// Every is the number of requests of which one is hit; zero means none.
	Every int
	// Prefix is that of the paths of requests that are hit; empty means all.
	Prefix string
	// Fault and Delay apply to these requests.
	Fault EndpointFault
	Delay time.Duration
}

func (mi Misbehaviour) isDue(path string, count int) bool {
	return mi.Every > 0 && count%mi.Every == 0 && strings.HasPrefix(path, mi.Prefix)
}

// Misbehave makes the endpoint respond as a bad software version does, from now on and after each restart.
func (ep *Endpoint) Misbehave(mi Misbehaviour) {
	ep.mu.Lock()
	defer ep.mu.Unlock()
	ep.misbehaviour = mi
}

// OrderRollout orders that a service move to a software version.
func (st *Store) OrderRollout(service, to string, duration time.Duration) error {
	_, err := st.Put("op/rollout/"+service, map[string]any{"service": service, "to": to, "durationS": duration.Seconds()})
	return err
}

// RolloutState returns the state and the version in the status of a rollout, both empty if there is none.
func (st *Store) RolloutState(service string) (state, to string) {
	var ws struct{ State, To string }
	if err := json.Unmarshal(st.Value("status/rollout/"+service), &ws); err != nil {
		return "", ""
	}
	return ws.State, ws.To
}
