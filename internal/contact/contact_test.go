package contact_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/bergamotway/bergamotway/internal/contact"
)

func TestKnowledgeOfBeforeAnInterruptionDoesNotHold(t *testing.T) {
	t.Parallel()
	now := 10 * time.Second
	co := contact.New(func() time.Duration { return now })
	require.False(t, co.IsWithin(time.Hour))
	co.Confirm(9 * time.Second)
	require.True(t, co.IsWithin(time.Second))
	now += time.Second
	require.False(t, co.IsWithin(time.Second))
	co.Interrupt()
	// The reading began before the interruption.
	co.Confirm(10500 * time.Millisecond)
	require.False(t, co.IsWithin(time.Hour))
	age, ok := co.Age()
	require.True(t, ok)
	require.Equal(t, 500*time.Millisecond, age)
	co.Confirm(now)
	require.True(t, co.IsWithin(0))
	// A reading that is late does not make newer knowledge older.
	co.Confirm(now - time.Second)
	require.True(t, co.IsWithin(0))
}

func TestStandstillIsReported(t *testing.T) {
	t.Parallel()
	ck := clockwork.NewFakeClock()
	var sinceBoot atomic.Int64
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	reports := make(chan time.Duration, 1)
	go contact.WatchStandstill(ctx, ck, func() time.Duration { return time.Duration(sinceBoot.Load()) }, func(d time.Duration) { reports <- d })
	pass := func(d, stood time.Duration) {
		require.NoError(t, ck.BlockUntilContext(ctx, 1))
		sinceBoot.Add(int64(d + stood))
		ck.Advance(d)
	}
	for range 3 {
		pass(250*time.Millisecond, 0)
	}
	pass(250*time.Millisecond, 2500*time.Millisecond)
	require.Equal(t, 2500*time.Millisecond, <-reports)
	require.NoError(t, ck.BlockUntilContext(ctx, 1))
	require.Empty(t, reports)
}
