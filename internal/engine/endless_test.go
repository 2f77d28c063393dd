package engine_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bergamotway/bergamotway/internal/connection"
	"github.com/bergamotway/bergamotway/internal/engine"
	"github.com/bergamotway/bergamotway/internal/standin/raw"
)

func startEndless(t *testing.T, beginning, chunk string) *raw.Endless {
	t.Helper()
	en, err := raw.NewEndless(beginning, chunk)
	require.NoError(t, err)
	t.Cleanup(func() { _ = en.Close() })
	return en
}

func TestEventWithoutEndBreaksTheStream(t *testing.T) {
	for name, chunk := range map[string]string{
		"line":         strings.Repeat("x", 1<<14),
		"comments":     strings.Repeat(": still here\n\n", 1000),
		"empty lines":  strings.Repeat("\n", 1<<14),
		"lines of xes": strings.Repeat("xxxx\n", 1000),
	} {
		t.Run(name, func(t *testing.T) {
			en := startEndless(t, "HTTP/1.1 200 OK\r\n"+engine.HeaderVersion+": v1\r\n\r\n", chunk)
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			client := engine.NewClient(connection.NewDialer(connection.Options{}))
			st, err := client.Open(ctx, en.Address(), engine.Run{ID: "r", Version: "v1"})
			require.NoError(t, err)
			defer func() { _ = st.Close() }()
			_, err = st.Next()
			require.NoError(t, ctx.Err(), "ended by the context")
			var (
				broken   *connection.BrokenError
				tooLarge *engine.EventSizeError
			)
			require.ErrorAs(t, err, &broken)
			require.ErrorAs(t, err, &tooLarge)
		})
	}
}

func TestReportWithoutEndIsCut(t *testing.T) {
	en := startEndless(t, "HTTP/1.1 200 OK\r\n\r\n{", strings.Repeat(" ", 1<<14))
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	_, err := engine.NewClient(connection.NewDialer(connection.Options{})).FetchLoad(ctx, en.Address())
	require.NoError(t, ctx.Err(), "ended by the context")
	var tooLarge *connection.SizeError
	require.ErrorAs(t, err, &tooLarge)
	require.Eventually(t, func() bool { return en.OpenConnections() == 0 }, 5*time.Second, time.Millisecond)
}
