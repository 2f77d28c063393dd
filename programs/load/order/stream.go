// Package order judges streams by what their clients received: a piece that is missing, one that comes twice, pieces of two
// runs or software versions that were joined, and an end that comes too early.
package order

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
)

type (
	// Stream is what a client received of one stream, over all of its tries.
	Stream struct {
		// ID is the identifier of the request that brought its first event.
		ID string
		// EventCount is the number of events of a whole stream.
		EventCount int
		// Resumable reports that another run may go on where one broke off.
		Resumable bool
		// Tries are in the order in which they were made.
		Tries []Try
	}

	// Try is the answer to one request for a stream.
	Try struct {
		ID string
		// LastEventID is the event after which the client asked to go on; zero asks for the whole stream.
		LastEventID int
		Body        string
		// Complete reports that the body ended as complete.
		Complete bool
		// ByOldBuild reports that a host of the old build answered.
		ByOldBuild bool
	}

	// Run is a run of a stream at an endpoint.
	Run struct {
		// Name is unique over all endpoints and their starts.
		Name string
		// Software is the version of the endpoint's software.
		Software string
		// After is the event after which the run began.
		After int
	}

	// event is an event as it was received. An event that no run wrote has no run.
	event struct {
		number int
		run    Run
		try    int
		text   string
	}
)

var eventPattern = regexp.MustCompile(`^id: (\d+)\ndata: event (\d+) of software (\S+) run (\S+) after (\d+)$`)

// Event returns the text of an event.
func Event(number int, rn Run) string {
	return fmt.Sprintf("id: %d\ndata: event %d of software %s run %s after %d\n\n", number, number, rn.Software, rn.Name, rn.After)
}

// CountEvents returns the number of whole events in a body.
func CountEvents(body string) int { return strings.Count(body, "\n\n") }

// Missing returns what is missing between the events of a stream.
func Missing(st Stream) []string {
	var out []string
	last := 0
	for _, ev := range st.events() {
		if ev.number > last+1 {
			out = append(out, st.describe(ev, "event %d follows event %d", ev.number, last))
		}
		last = max(last, ev.number)
	}
	return out
}

// Twice returns the events that come again, or after a later one.
func Twice(st Stream) []string {
	var out []string
	last := 0
	for _, ev := range st.events() {
		if ev.number > 0 && ev.number <= last {
			out = append(out, st.describe(ev, "event %d comes after event %d", ev.number, last))
		}
		last = max(last, ev.number)
	}
	return out
}

// JoinedRuns returns the pieces of other runs that do not go on where the run before broke off, and texts that no run wrote.
func JoinedRuns(st Stream) []string {
	var (
		out  []string
		last event
	)
	seen := make(map[string]bool)
	for _, ev := range st.events() {
		rn := ev.run
		switch {
		case rn.Name == "":
			out = append(out, st.describe(ev, "no run wrote %q", ev.text))
			continue
		case rn.Name == last.run.Name:
		case seen[rn.Name]:
			out = append(out, st.describe(ev, "event %d is of run %s again, after %s", ev.number, rn.Name, last.run.Name))
		case last.run.Name != "" && (!st.Resumable || rn.After != last.number):
			out = append(out, st.describe(ev, "event %d is of run %s, which began after event %d, and event %d is of run %s",
				ev.number, rn.Name, rn.After, last.number, last.run.Name))
		}
		seen[rn.Name] = true
		last = ev
	}
	return out
}

// JoinedVersions returns the first event of each software version that is not that of the first event.
func JoinedVersions(st Stream) []string {
	var (
		out  []string
		last Run
	)
	for _, ev := range st.events() {
		if ev.run.Name == "" {
			continue
		}
		if last.Name != "" && ev.run.Software != last.Software {
			out = append(out, st.describe(ev, "event %d is of %s at %s, and the one before of %s at %s",
				ev.number, ev.run.Software, ev.run.Name, last.Software, last.Name))
		}
		last = ev.run
	}
	return out
}

// Early returns the tries that ended as complete before the last event, or inside one.
func Early(st Stream) []string {
	var out []string
	last := 0
	for i, tr := range st.Tries {
		for _, ev := range st.eventsOf(i) {
			last = max(last, ev.number)
		}
		rest := tr.Body[strings.LastIndex(tr.Body, "\n\n")+1:]
		switch {
		case !tr.Complete:
		case last < st.EventCount:
			out = append(out, st.describe(event{try: i}, "it ended as complete after event %d of %d", last, st.EventCount))
		case strings.TrimSpace(rest) != "":
			out = append(out, st.describe(event{try: i}, "it ended as complete inside an event, with %q", rest))
		}
	}
	return out
}

// EarlyBody reports whether a body that is no stream ended as complete and is not whole.
func EarlyBody(body, whole string, complete bool) bool { return complete && body != whole }

func (st Stream) events() []event {
	var out []event
	for i := range st.Tries {
		out = append(out, st.eventsOf(i)...)
	}
	return out
}

// eventsOf returns the whole events of a try. What follows the last of them is no event yet.
func (st Stream) eventsOf(try int) []event {
	var out []event
	texts := strings.Split(st.Tries[try].Body, "\n\n")
	for _, text := range texts[:len(texts)-1] {
		ev := event{try: try, text: text}
		if match := eventPattern.FindStringSubmatch(text); match != nil && match[1] == match[2] {
			// The pattern admits digits only.
			ev.number, _ = strconv.Atoi(match[1])
			ev.run = Run{Software: match[3], Name: match[4]}
			ev.run.After, _ = strconv.Atoi(match[5])
		}
		out = append(out, ev)
	}
	return out
}

// describe describes a fault of the stream at an event, and the builds of the hosts that answered.
func (st Stream) describe(ev event, format string, args ...any) string {
	tr := st.Tries[ev.try]
	text := fmt.Sprintf("stream %s, try %d (%s, after event %d): %s", st.ID, ev.try+1, tr.ID, tr.LastEventID, fmt.Sprintf(format, args...))
	if st.IsByOldBuild() {
		text += " (hosts of the old build alone)"
	}
	return text
}

// IsByOldBuild reports whether hosts of the old build alone answered the tries of a stream.
func (st Stream) IsByOldBuild() bool {
	for _, tr := range st.Tries {
		if !tr.ByOldBuild {
			return false
		}
	}
	return len(st.Tries) > 0
}

// IsAnyTry reports whether one of the tries has a fault by itself.
func (st Stream) IsAnyTry(judge func(Stream) []string) bool {
	for _, tr := range st.Tries {
		alone := st
		alone.Tries = []Try{tr}
		if len(judge(alone)) > 0 {
			return true
		}
	}
	return false
}
