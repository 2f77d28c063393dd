package configuration_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/bergamotway/bergamotway/internal/configuration"
	"github.com/bergamotway/bergamotway/internal/keyvalue"
	"github.com/bergamotway/bergamotway/internal/settings"
	standin "github.com/bergamotway/bergamotway/internal/standin/keyvalue"
)

func fillLargeDocument(doc *configuration.Document) error {
	doc.Zones = []configuration.Zone{{Name: "z"}}
	for i := range 28 {
		doc.Models = append(doc.Models, configuration.Model{Name: fmt.Sprintf("m-%d", i), Version: "v1"})
	}
	for i := range 2200 {
		name := fmt.Sprintf("team-%d", i)
		doc.Teams = append(doc.Teams, configuration.Team{Name: name, TokenHashes: []string{configuration.HashToken(name)}})
	}
	for i := range 640 {
		doc.Endpoints = append(doc.Endpoints, configuration.Endpoint{
			Name: fmt.Sprintf("e-%d", i), Address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250), Zone: "z", Model: "m-1",
		})
	}
	return nil
}

// TestPartsOfLargeDocument guards against values close to the store's size limit and against updates
// that resend the whole document when a single team changes. The document has the size expected
// after two years of growth.
func TestPartsOfLargeDocument(t *testing.T) {
	clk := clockwork.NewFakeClock()
	kv := standin.New(clk)
	ctx := context.Background()
	ed := configuration.NewEditor(kv, "a")
	_, err := ed.Change(ctx, fillLargeDocument)
	require.NoError(t, err)
	ens, err := kv.List(ctx, keyvalue.PurposeConfiguration, "")
	require.NoError(t, err)
	for _, en := range ens {
		require.Less(t, len(en.Value()), keyvalue.ValueLimit/16, en.Key())
	}
	rp := configuration.NewReplica(kv, nil)
	require.NoError(t, rp.Pull(ctx))
	_, err = ed.Change(ctx, func(doc *configuration.Document) error {
		doc.Teams[7].Weight = 3
		return nil
	})
	require.NoError(t, err)
	other := configuration.NewReplica(kv, nil)
	require.NoError(t, other.Pull(ctx))
	up, ok := other.UpdateSince(0)
	require.True(t, ok)
	require.Greater(t, len(up.Parts), 60)
	require.NoError(t, rp.Pull(ctx))
	up, ok = rp.UpdateSince(1)
	require.True(t, ok)
	require.Len(t, up.Parts, 1, "a peer that is one revision behind receives a single bucket")
	clk.Advance(2 * time.Hour)
	left, err := kv.List(ctx, keyvalue.PurposeConfiguration, "")
	require.NoError(t, err)
	require.Len(t, left, len(ens), "the replaced part has expired")
}

func TestReplicaIgnoresOlderAndDamagedUpdates(t *testing.T) {
	kv := standin.New(clockwork.NewFakeClock())
	ctx := context.Background()
	ed := configuration.NewEditor(kv, "a")
	_, err := ed.Change(ctx, fillLargeDocument)
	require.NoError(t, err)
	old := configuration.NewReplica(kv, nil)
	require.NoError(t, old.Pull(ctx))
	up, _ := old.UpdateSince(0)
	_, err = ed.Change(ctx, func(doc *configuration.Document) error {
		doc.Zones[0].OutOfService = true
		return nil
	})
	require.NoError(t, err)
	rp := configuration.NewReplica(kv, nil)
	require.NoError(t, rp.Pull(ctx))
	require.NoError(t, rp.ApplyUpdate(up))
	require.EqualValues(t, 2, rp.Revision())
	up.Head.Revision = 9
	for hash := range up.Parts {
		up.Parts[hash] = []byte("{}")
	}
	require.Error(t, rp.ApplyUpdate(up), "an update with a corrupt part is rejected")
	require.EqualValues(t, 2, rp.Revision())
}

func TestInvalidChangeListsEveryProblem(t *testing.T) {
	ed := configuration.NewEditor(standin.New(clockwork.NewFakeClock()), "a")
	_, err := ed.Change(context.Background(), func(doc *configuration.Document) error {
		doc.Classes = []configuration.Class{{Name: "c", Model: "none", FirstTokenTarget: settings.Duration(time.Second)}}
		doc.Endpoints = []configuration.Endpoint{{Name: "e", Address: "host:80", Zone: "none", Model: "none"}}
		return nil
	})
	var ie *configuration.InvalidError
	require.ErrorAs(t, err, &ie)
	require.Len(t, ie.Problems(), 4)
}
