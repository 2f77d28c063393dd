package origin

import (
	"context"
	"time"
)

type (
	// query collects the answers to a question.
	query struct {
		key streamKey
		// open holds the hosts that have not answered yet.
		open map[string]bool
		poll poll
		done chan struct{}
	}

	// poll is what hosts have answered to a question.
	poll struct {
		// asked and answered count hosts.
		asked, answered int
		origin          Origin
		foundAt         string
		isFound         bool
		// beliefs holds what hosts hold of the versions of the service.
		beliefs map[string]wireBelief
		// vouchers lists those to which the metadata store has confirmed it.
		vouchers []string
		// isConfirmed is set if the metadata store has confirmed it to this host meanwhile, age after this host had asked.
		isConfirmed bool
		age         time.Duration
		took        time.Duration
	}
)

// ask asks hosts about a stream, until one of them knows its origin, all have answered or confirmed receives a value.
func (di *Directory) ask(
	ctx context.Context, hosts []string, question message, key streamKey, timeout time.Duration, confirmed <-chan time.Duration,
) poll {
	if len(hosts) == 0 && confirmed == nil {
		return poll{}
	}
	qu := &query{key: key, open: make(map[string]bool), done: make(chan struct{}), poll: poll{asked: len(hosts), beliefs: make(map[string]wireBelief)}}
	for _, host := range hosts {
		qu.open[host] = true
	}
	di.mu.Lock()
	di.lastQuery++
	question.Query = di.lastQuery
	di.queries[question.Query] = qu
	di.mu.Unlock()
	began := di.opts.Clock.Now()
	expired := di.opts.Clock.After(timeout)
	done := qu.done
	if len(hosts) == 0 {
		done = nil
	}
	var (
		age         time.Duration
		isConfirmed bool
	)
	for isOver := false; !isOver; {
		for _, host := range di.unanswered(qu) {
			di.send(host, question)
		}
		select {
		case <-done:
			isOver = true
		case <-ctx.Done():
			isOver = true
		case <-expired:
			isOver = true
		case age, isConfirmed = <-confirmed:
			confirmed = nil
			isOver = isConfirmed || len(hosts) == 0
		case <-di.opts.Clock.After(resendInterval):
		}
	}
	di.mu.Lock()
	defer di.mu.Unlock()
	delete(di.queries, question.Query)
	po := qu.poll
	po.age, po.isConfirmed, po.took = age, isConfirmed, di.opts.Clock.Now().Sub(began)
	return po
}

// unanswered returns the hosts that have not answered a query.
func (di *Directory) unanswered(qu *query) []string {
	di.mu.Lock()
	defer di.mu.Unlock()
	out := make([]string, 0, len(qu.open))
	for host := range qu.open {
		out = append(out, host)
	}
	return out
}

// handleAnswer applies an answer to the query that it belongs to.
func (di *Directory) handleAnswer(me message, origins map[streamKey]Origin) {
	di.mu.Lock()
	defer di.mu.Unlock()
	qu := di.queries[me.Query]
	if qu == nil || !qu.open[me.Host] {
		return
	}
	delete(qu.open, me.Host)
	po := &qu.poll
	po.answered++
	if me.Belief != nil {
		po.beliefs[me.Host] = *me.Belief
		if me.Belief.IsSole && me.Belief.IsConfirmed {
			po.vouchers = append(po.vouchers, me.Host)
		}
	}
	or, ok := origins[qu.key]
	if ok {
		po.origin, po.foundAt, po.isFound = or, me.Host, true
	}
	if ok || len(qu.open) == 0 {
		delete(di.queries, me.Query)
		close(qu.done)
	}
}

// hasAllAnswers reports whether all hosts that were asked have answered.
func (po poll) hasAllAnswers() bool { return po.answered == po.asked }

// isContradicted reports whether a host holds something else than that the service has only one version.
func (po poll) isContradicted(software string) bool {
	for _, be := range po.beliefs {
		if !be.IsSole || be.Software != software {
			return true
		}
	}
	return false
}
