package gateway_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bergamotway/bergamotway/internal/clock"
)

// Guards against events that are missing or come twice where another endpoint continues a stream, and against cutting the streams
// of endpoints that leave out numbers by themselves.
func TestContinuedStreamFollowsItsLastEvent(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n" + sealedHeader
	events := func(ids string) string {
		out := ""
		for _, id := range strings.Fields(ids) {
			out += fmt.Sprintf("id: %s\ndata: %s\n\n", id, id)
		}
		return out
	}
	for name, tc := range map[string]struct {
		begun, continued string
		isComplete       bool
	}{
		"next":                       {"1 2", "3 4", true},
		"next, then a gap":           {"1 2", "3 7", true},
		"one left out":               {"1 2", "4 5", false},
		"the last again":             {"1 2", "2 3", false},
		"from the beginning":         {"1 2", "1 2 3", false},
		"gaps before":                {"1 4 9", "12 13", true},
		"gaps before, the last":      {"1 4 9", "9 10", false},
		"after one event":            {"5", "9", true},
		"far numbers":                {"18446744073709551614 18446744073709551615", "1", false},
		"names":                      {"a b", "c", true},
		"names, the last again":      {"a b", "b c", false},
		"a name after numbers":       {"1 2", "c", false},
		"numbers with leading zeros": {"01 02", "03", true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			begun := head + "\r\n" + events(tc.begun) + "id: cut" + closeMark
			continued := head + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(events(tc.continued))) + events(tc.continued)
			first := startKeptEndpoint(t, begun, continued)
			address := startGatewayTo(t, clock.System(), first, startKeptEndpoint(t, continued))
			// Equal endpoints are chosen by a hash of the identifier.
			for i := 0; ; i++ {
				require.Less(t, i, 64)
				re := requestOnce(t, address, "/query/", fmt.Sprint("stream-", i))
				if first.read.Load() == 0 {
					continue
				}
				require.Equal(t, tc.isComplete, re.err == nil, "the client received %q", re.body)
				want := events(tc.begun)
				if tc.isComplete {
					want += events(tc.continued)
				}
				require.Equal(t, want, re.body)
				break
			}
		})
	}
}
