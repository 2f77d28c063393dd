package soak

import (
	"fmt"
	"maps"
	"math/rand"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/bergamotway/bergamotway/internal/standin/site"
	"github.com/bergamotway/bergamotway/programs/load/isolation"
)

const (
	// isolationGrace is how long after a change of the configuration hosts may use the one before. It is the default of
	// Bounds.ApplyMs, and isolationSlack the time in which a request arrives at its engine and the engine has reported it.
	isolationGrace = 2 * time.Second
	isolationSlack = 500 * time.Millisecond
	// changeDelay is the time between the beginning of a disturbance and the change of a team, and afterChange how much longer than
	// isolationGrace the disturbance lasts.
	changeDelay = 300 * time.Millisecond
	afterChange = 1500 * time.Millisecond
	// maxCacheFindings bounds the foreign uses in the report; the summary counts all.
	maxCacheFindings = 4
)

type (
	// teams are the teams beside site.Team, which share at first, become exclusive and are taken out of the configuration. Its methods
	// are called by holders of testbed.configurationMu, but for pick.
	teams struct {
		names []string
		// exclusive and absent hold the teams that are exclusive, or were when they were taken out, and those that are taken out.
		exclusive, absent map[string]bool
		changes           *changeLog
		// changing is held from a change until it must be in force everywhere, so that the next one does not hide its effects.
		changing *sync.Mutex
	}

	// changeLog holds the versions of the configuration. It is safe for concurrent use.
	changeLog struct {
		mu   sync.Mutex
		list []isolation.Change
	}
)

func newTeams(opts Options) teams {
	te := teams{exclusive: make(map[string]bool), absent: make(map[string]bool), changes: &changeLog{}, changing: &sync.Mutex{}}
	for i := range opts.Teams - 1 {
		te.names = append(te.names, fmt.Sprint("team-", i))
	}
	return te
}

// pick returns the team of a request, empty for site.Team.
func (te teams) pick(rd *rand.Rand) string {
	if len(te.names) == 0 {
		return ""
	}
	return append([]string{""}, te.names...)[rd.Intn(len(te.names)+1)]
}

// withKey returns the header of a request with the API key of a team.
func withKey(hd map[string]string, team string) map[string]string {
	out := map[string]string{"X-Api-Key": "key-of-" + team}
	maps.Copy(out, hd)
	return out
}

// settings returns the teams of the next version of the configuration.
func (te teams) settings() []site.TeamSetting {
	out := []site.TeamSetting{{Name: site.Team, Key: site.APIKey}}
	for _, name := range te.names {
		if !te.absent[name] {
			out = append(out, site.TeamSetting{Name: name, Key: "key-of-" + name, Exclusive: te.exclusive[name]})
		}
	}
	return out
}

// begin notes that a version is written, and returns a function that notes that the store has confirmed it.
func (te teams) begin() (end func()) {
	ch := isolation.Change{SentAt: time.Now()}
	for name, isExclusive := range te.exclusive {
		switch {
		case isExclusive && te.absent[name]:
			ch.Removed = append(ch.Removed, name)
		case isExclusive:
			ch.Exclusive = append(ch.Exclusive, name)
		}
	}
	return func() {
		ch.AcknowledgedAt = time.Now()
		te.changes.mu.Lock()
		defer te.changes.mu.Unlock()
		te.changes.list = append(te.changes.list, ch)
	}
}

// teamDisturbances returns the disturbances in which teams become exclusive or shared.
func (tb *testbed) teamDisturbances() []disturbance {
	length := changeDelay + isolationGrace + isolationSlack + afterChange
	// during changes a team shortly after the beginning of a disturbance that lasts longer than the change may be unknown.
	during := func(disturb func(rd *rand.Rand, d time.Duration)) func(rd *rand.Rand) {
		return func(rd *rand.Rand) {
			if !tb.teams.changing.TryLock() {
				return
			}
			defer tb.teams.changing.Unlock()
			tb.together(rd, func(rd *rand.Rand) { disturb(rd, length) }, func(rd *rand.Rand) {
				time.Sleep(changeDelay)
				tb.changeTeam(rd)
			})
			time.Sleep(afterChange)
		}
	}
	return []disturbance{
		{"team-change", 4, during(func(_ *rand.Rand, d time.Duration) { time.Sleep(d) })},
		{"team-changes", 2, func(rd *rand.Rand) {
			for range 2 + rd.Intn(4) {
				tb.changeTeam(rd)
				time.Sleep(time.Duration(rd.Int63n(int64(isolationGrace))))
			}
		}},
		{"team-taken-out", 2, during(func(rd *rand.Rand, d time.Duration) {
			time.Sleep(d)
			tb.takeTeamOut(rd)
			time.Sleep(d)
		})},
		{"team-change-in-standstill", 3, during(tb.stopHostsFor)},
		{"team-change-in-cut-from-store", 3, during(func(rd *rand.Rand, d time.Duration) { tb.cutHostsFor(rd, true, false, d) })},
		{"team-change-in-cut-from-both", 3, during(func(rd *rand.Rand, d time.Duration) { tb.cutHostsFor(rd, true, true, d) })},
		{"team-change-at-start", 2, during(func(rd *rand.Rand, d time.Duration) {
			time.Sleep(time.Duration(rd.Int63n(int64(2 * changeDelay))))
			tb.hosts[rd.Intn(len(tb.hosts))].signal(syscall.SIGKILL)
			time.Sleep(d - 2*changeDelay)
		})},
	}
}

// changeTeam makes a team exclusive or shared, or takes an exclusive one out of the configuration. One that was taken out returns.
func (tb *testbed) changeTeam(rd *rand.Rand) {
	tb.configurationMu.Lock()
	defer tb.configurationMu.Unlock()
	te := tb.teams
	name := te.names[rd.Intn(len(te.names))]
	switch {
	case te.absent[name]:
		te.absent[name], te.exclusive[name] = false, rd.Intn(2) == 0
	case te.exclusive[name] && rd.Intn(3) == 0:
		te.absent[name] = true
	default:
		te.exclusive[name] = !te.exclusive[name]
	}
	tb.printError(tb.writeVersion())
}

// takeTeamOut takes a team out of the configuration that is exclusive, if there is one.
func (tb *testbed) takeTeamOut(rd *rand.Rand) {
	tb.configurationMu.Lock()
	defer tb.configurationMu.Unlock()
	te := tb.teams
	for _, i := range rd.Perm(len(te.names)) {
		if name := te.names[i]; te.exclusive[name] && !te.absent[name] {
			te.absent[name] = true
			tb.printError(tb.writeVersion())
			return
		}
	}
}

// judgeIsolation checks that no KV cache was used across the border of an exclusive team, and returns a summary.
func (ch *checker) judgeIsolation() string {
	tb := ch.testbed
	tb.teams.changes.mu.Lock()
	changes := tb.teams.changes.list
	tb.teams.changes.mu.Unlock()
	var total isolation.Verdict
	for _, st := range tb.allStarts() {
		st.mu.Lock()
		var runs []isolation.Run
		for _, rr := range st.requests {
			if prompt := rr.Header.Get("X-Prompt-Prefix"); prompt != "" {
				parts := strings.Split(prompt, ",")
				runs = append(runs, isolation.Run{
					ID: rr.ID, Team: rr.Header.Get("X-Tenant"), Salt: rr.Header.Get("X-Cache-Salt"), Parts: parts[:len(parts)-1], BeganAt: rr.ReceivedAt,
				})
			}
		}
		st.mu.Unlock()
		ve := isolation.Judge(runs, changes, isolationGrace+isolationSlack)
		total.Uses += ve.Uses
		total.Shared += ve.Shared
		total.Foreign = append(total.Foreign, ve.Foreign...)
		total.Removed = append(total.Removed, ve.Removed...)
	}
	for _, us := range total.Foreign[:min(len(total.Foreign), maxCacheFindings)] {
		ch.addFinding("foreign-cache: %s", us)
	}
	for _, us := range total.Removed[:min(len(total.Removed), maxCacheFindings)] {
		ch.addFinding("cache-of-removed-team: %s", us)
	}
	return fmt.Sprintf("%d versions of the configuration; %d uses of cached parts, %d of other teams', %d foreign, %d of removed teams'",
		len(changes), total.Uses, total.Shared, len(total.Foreign), len(total.Removed))
}
