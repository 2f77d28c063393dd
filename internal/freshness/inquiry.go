package freshness

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// maxAsked is the number of hosts that are asked, at random. Where half of a fleet has lost the metadata store, all of them have with a
	// probability of 2^-12.
	maxAsked = 12
	// inquiryTimeout bounds the time for the answers, and adoptTimeout that to get a configuration. Questions are repeated every
	// resendInterval, since datagrams may be lost.
	inquiryTimeout = 250 * time.Millisecond
	adoptTimeout   = 500 * time.Millisecond
	resendInterval = 30 * time.Millisecond
	// beatInterval is the pause between two beats by which a host notices that it stood still, and minStandstill the least time
	// without one that counts as such.
	beatInterval  = 50 * time.Millisecond
	minStandstill = 400 * time.Millisecond
	// askAheadShare is the share of Options.MaxAge from which other hosts are asked before a request needs to know. They are asked again
	// every repeatShare, and what they agree on holds for agreedShare. Requests do not wait for hopelessShare after an inquiry without a
	// result.
	askAheadShare = 0.75
	repeatShare   = 0.125
	agreedShare   = 0.25
	hopelessShare = 0.5
)

type (
	// Outcome is how an inquiry ended.
	Outcome struct {
		// Basis is what is known of the configuration since.
		Basis Basis
		// Asked and Answered count the other hosts.
		Asked, Answered int
		// AdoptedFrom is the host whose configuration was put in force; empty if none was newer, or AdoptError says why it was not.
		AdoptedFrom string
		AdoptError  error
	}

	// inquiry collects the answers to a question.
	inquiry struct {
		askedAt time.Duration
		asked   []string
		// knowsHosts is set if the host had read the metadata store, and so the list of hosts, when it asked.
		knowsHosts bool
		// answers holds the answers by host.
		answers map[string]message
		// complete is closed once no further answer is needed, and done once the outcome is known.
		complete, done chan struct{}
		isComplete     bool
	}
)

// Run notes that the host runs, and asks other hosts ahead of the requests while the configuration is about to be old, until ctx ends.
func (gu *Guard) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if gu.beat() {
			gu.ask()
		}
		select {
		case <-ctx.Done():
		case <-gu.opts.Clock.After(beatInterval):
		}
	}
}

// beat notes that the host runs. It reports whether other hosts are to be asked ahead.
func (gu *Guard) beat() bool {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	gu.noteStandstill()
	now := gu.opts.SinceBoot()
	gu.lastBeat, gu.hasBeaten = now, true
	age, ok := gu.age()
	return ok && (!gu.hasAsked || gu.isInDoubt || age > gu.share(askAheadShare)) && now-gu.askedAt >= gu.share(repeatShare)
}

func (gu *Guard) share(share float64) time.Duration {
	return time.Duration(share * float64(gu.opts.MaxAge()))
}

// ask begins an inquiry, or returns the one under way. One that began without a list of hosts is replaced once there is one.
func (gu *Guard) ask() *inquiry {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	if gu.current != nil && (gu.current.knowsHosts || !gu.isConfirmed) {
		return gu.current
	}
	hosts := gu.opts.Hosts()
	rand.Shuffle(len(hosts), func(i, k int) { hosts[i], hosts[k] = hosts[k], hosts[i] })
	iq := &inquiry{
		askedAt: gu.opts.SinceBoot(), asked: hosts[:min(len(hosts), maxAsked)], answers: make(map[string]message),
		complete: make(chan struct{}), done: make(chan struct{}), knowsHosts: gu.isConfirmed,
	}
	gu.lastQuestion++
	gu.askedAt = iq.askedAt
	gu.current = iq
	go gu.inquire(iq, gu.lastQuestion)
	return iq
}

// inquire asks the hosts of an inquiry and applies what they answer.
func (gu *Guard) inquire(iq *inquiry, question uint64) {
	expired := gu.opts.Clock.After(inquiryTimeout)
	for isOver := len(iq.asked) == 0; !isOver; {
		for _, host := range gu.unanswered(iq) {
			gu.send(host, message{Question: question})
		}
		select {
		case <-iq.complete:
			isOver = true
		case <-expired:
			isOver = true
		case <-gu.opts.Clock.After(resendInterval):
		}
	}
	oc := gu.adopt(iq)
	gu.conclude(iq, &oc)
	close(iq.done)
	if gu.opts.OnInquiry != nil {
		gu.opts.OnInquiry(oc)
	}
}

func (gu *Guard) unanswered(iq *inquiry) []string {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	var out []string
	for _, host := range iq.asked {
		if _, ok := iq.answers[host]; !ok {
			out = append(out, host)
		}
	}
	return out
}

// handleAnswer keeps an answer. No further one is needed once a host has answered whose configuration was the newest one lately.
func (gu *Guard) handleAnswer(me message) {
	gu.mu.Lock()
	defer gu.mu.Unlock()
	iq := gu.current
	if iq == nil || me.Question != gu.lastQuestion || iq.isComplete {
		return
	}
	iq.answers[me.Host] = me
	age, ok := me.age()
	if (ok && age <= gu.opts.MaxAge()) || len(iq.answers) >= len(iq.asked) {
		iq.isComplete = true
		close(iq.complete)
	}
}

// adopt puts the newest configuration of the hosts that answered in force, if it is newer than that of this host.
func (gu *Guard) adopt(iq *inquiry) Outcome {
	gu.mu.Lock()
	oc := Outcome{Asked: len(iq.asked), Answered: len(iq.answers)}
	var newest message
	for _, me := range iq.answers {
		if me.Version > newest.Version {
			newest = me
		}
	}
	gu.mu.Unlock()
	if newest.Version <= gu.opts.Version() {
		return oc
	}
	ctx, cancel := context.WithTimeout(context.Background(), adoptTimeout)
	defer cancel()
	if oc.AdoptError = gu.opts.Adopt(ctx, newest.Host); oc.AdoptError == nil {
		oc.AdoptedFrom = newest.Host
	}
	return oc
}

// conclude ends an inquiry. The configuration is confirmed by a host that knows the newest one. If none does, it is agreed on once most
// hosts, this one included, know no newer one. A host that was heard and does not answer may know one: the list of hosts may be as old
// as the configuration.
func (gu *Guard) conclude(iq *inquiry, oc *Outcome) {
	version, heard, hosts := gu.opts.Version(), gu.opts.Heard(), gu.opts.Hosts()
	gu.mu.Lock()
	defer gu.mu.Unlock()
	if gu.current == iq {
		gu.current = nil
	}
	gu.hasAsked = gu.hasAsked || iq.knowsHosts
	if len(iq.answers) > 0 && iq.askedAt >= gu.stoodStillAt {
		gu.isInDoubt = false
	}
	isNewest := true
	for _, me := range iq.answers {
		isNewest = isNewest && me.Version <= version
	}
	for _, me := range iq.answers {
		if age, ok := me.age(); ok && isNewest && iq.askedAt-age > gu.confirmedAt {
			gu.confirmedAt, gu.isConfirmed = iq.askedAt-age, true
		}
	}
	isSilent := slices.ContainsFunc(heard, func(host string) bool {
		_, hasAnswered := iq.answers[host]
		return !hasAnswered && (slices.Contains(iq.asked, host) || !slices.Contains(hosts, host))
	})
	// A host that knows no other one may have started just now, and be cut off since.
	if isNewest && !isSilent && len(iq.answers) > 0 && 2*(len(iq.answers)+1) > len(iq.asked)+1 {
		gu.agreedAt, gu.isAgreed = iq.askedAt, true
	}
	if oc.Basis = gu.basis(); oc.Basis == Unknown {
		gu.failedAt, gu.hasFailed = gu.opts.SinceBoot(), true
	}
}
