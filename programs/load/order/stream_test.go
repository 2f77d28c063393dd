package order_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bergamotway/bergamotway/programs/load/order"
)

var (
	firstRun  = order.Run{Name: "engine-0.1.1", Software: "v1"}
	secondRun = order.Run{Name: "engine-1.1.1", Software: "v1", After: 2}
	nextRun   = order.Run{Name: "engine-2.1.1", Software: "v2", After: 2}
)

// events returns the text of the events from first to last.
func events(rn order.Run, first, last int) string {
	var sb strings.Builder
	for i := first; i <= last; i++ {
		sb.WriteString(order.Event(i, rn))
	}
	return sb.String()
}

// TestFacesOfOrder guards against a checker that misses the fault of its face, or finds one where there is none.
func TestFacesOfOrder(t *testing.T) {
	faces := map[string]func(order.Stream) []string{
		"missing": order.Missing, "twice": order.Twice, "joined runs": order.JoinedRuns, "joined versions": order.JoinedVersions, "early": order.Early,
	}
	one := func(body string, complete bool) []order.Try { return []order.Try{{Body: body, Complete: complete}} }
	tests := []struct {
		name string
		// found names the faces that must find a fault; all others must not.
		found []string
		tries []order.Try
		// once makes the stream one that may not be resumed.
		once bool
	}{
		{name: "whole", tries: one(events(firstRun, 1, 4), true)},
		{name: "broken off", tries: one(events(firstRun, 1, 2)+"id: 3\nda", false)},
		{name: "resumed in one answer", tries: one(events(firstRun, 1, 2)+events(secondRun, 3, 4), true)},
		{name: "taken up", tries: []order.Try{
			{Body: events(firstRun, 1, 2) + "id: 3\nda"}, {LastEventID: 2}, {LastEventID: 2, Body: events(secondRun, 3, 4), Complete: true},
		}},
		{name: "piece missing", found: []string{"missing"}, tries: one(events(firstRun, 1, 1)+events(firstRun, 3, 4), true)},
		{name: "first piece missing", found: []string{"missing"}, tries: one(events(firstRun, 2, 4), true)},
		{name: "piece missing between tries", found: []string{"missing", "joined runs"}, tries: []order.Try{
			{Body: events(firstRun, 1, 1)}, {LastEventID: 1, Body: events(secondRun, 3, 4), Complete: true},
		}},
		{name: "piece twice", found: []string{"twice"}, tries: one(events(firstRun, 1, 3)+events(firstRun, 3, 4), true)},
		{name: "piece twice over tries", found: []string{"twice", "joined runs"}, tries: []order.Try{
			{Body: events(firstRun, 1, 3)}, {LastEventID: 3, Body: events(secondRun, 3, 4), Complete: true},
		}},
		{name: "order reversed", found: []string{"missing", "twice"}, tries: one(events(firstRun, 1, 1)+events(firstRun, 3, 3)+events(firstRun, 2, 2)+events(firstRun, 4, 4), true)},
		{name: "two versions in one answer", found: []string{"joined versions"}, tries: one(events(firstRun, 1, 2)+events(nextRun, 3, 4), true)},
		{name: "two versions over tries", found: []string{"joined versions"}, tries: []order.Try{
			{Body: events(firstRun, 1, 2)}, {LastEventID: 2, Body: events(nextRun, 3, 4), Complete: true},
		}},
		{name: "two runs of a stream that may not be resumed", found: []string{"joined runs"}, once: true, tries: one(events(firstRun, 1, 2)+events(secondRun, 3, 4), true)},
		{name: "a run that began elsewhere", found: []string{"joined runs"}, tries: one(events(firstRun, 1, 3)+events(secondRun, 4, 4), true)},
		{name: "runs that alternate", found: []string{"joined runs"}, tries: one(events(firstRun, 1, 2)+events(secondRun, 3, 3)+events(firstRun, 4, 4), true)},
		{name: "half an event before another run", found: []string{"joined runs", "missing"}, tries: one(events(firstRun, 1, 2)+"id: 3\nda"+events(secondRun, 3, 4), true)},
		{name: "ends after two events", found: []string{"early"}, tries: one(events(firstRun, 1, 2), true)},
		{name: "ends before the first event", found: []string{"early"}, tries: one("", true)},
		{name: "ends inside an event", found: []string{"early"}, tries: one(events(firstRun, 1, 4)+"id: 5\nda", true)},
		{name: "ends early after it was taken up", found: []string{"early"}, tries: []order.Try{
			{Body: events(firstRun, 1, 2)}, {LastEventID: 2, Body: events(secondRun, 3, 3), Complete: true},
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			st := order.Stream{ID: "s", EventCount: 4, Resumable: !tt.once, Tries: tt.tries}
			for name, face := range faces {
				if found := face(st); len(found) > 0 != contains(tt.found, name) {
					require.Failf(t, "wrong verdict", "%s: %q", name, found)
				}
			}
		})
	}
}

func contains(list []string, name string) bool {
	return strings.Contains(","+strings.Join(list, ",")+",", ","+name+",")
}

// TestEarlyBody guards against half a body that passes for a whole one.
func TestEarlyBody(t *testing.T) {
	require.True(t, order.EarlyBody("half", "half and half", true))
	require.False(t, order.EarlyBody("half", "half and half", false))
	require.False(t, order.EarlyBody("half and half", "half and half", true))
}

// TestIsByOldBuild guards against findings of the new build that are put down to the old one.
func TestIsByOldBuild(t *testing.T) {
	require.True(t, order.Stream{Tries: []order.Try{{ByOldBuild: true}, {ByOldBuild: true}}}.IsByOldBuild())
	require.False(t, order.Stream{Tries: []order.Try{{ByOldBuild: true}, {}}}.IsByOldBuild())
	require.False(t, order.Stream{}.IsByOldBuild())
}

// TestIsAnyTry guards against answers that are told apart wrongly from chains of tries.
func TestIsAnyTry(t *testing.T) {
	first, second := order.Try{Body: events(firstRun, 1, 2)}, order.Try{LastEventID: 2, Body: events(nextRun, 3, 4), Complete: true}
	joined := order.Try{Body: first.Body + second.Body, Complete: true}
	require.False(t, order.Stream{EventCount: 4, Resumable: true, Tries: []order.Try{first, second}}.IsAnyTry(order.JoinedVersions))
	require.True(t, order.Stream{EventCount: 4, Resumable: true, Tries: []order.Try{first, joined}}.IsAnyTry(order.JoinedVersions))
}
