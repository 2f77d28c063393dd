package origin

import (
	"context"
	"time"
)

const (
	// vouchRetention is how long an answer is kept for a question that is sent again.
	vouchRetention = time.Second
	// maxVouches bounds the questions that are confirmed with the metadata store at a time. Further ones are answered
	// unconfirmed.
	maxVouches = 1024
)

type (
	// vouchKey identifies a question of another host.
	vouchKey struct {
		host  string
		query uint64
	}

	// vouch is the answer to a question that wants a confirmation.
	vouch struct {
		begunAt time.Time
		isDone  bool
		belief  wireBelief
	}
)

// handleQuestion answers a question of another host, at once unless the metadata store has to confirm the answer.
func (di *Directory) handleQuestion(question message, key streamKey) {
	di.mu.Lock()
	_, isFound := di.get(key)
	di.mu.Unlock()
	if question.Service == "" || isFound {
		di.answer(question, key, nil)
		return
	}
	be := di.belief(question.Service)
	if !question.Confirm || !be.IsSole {
		di.answer(question, key, &be)
		return
	}
	vk := vouchKey{question.Host, question.Query}
	now := di.opts.Clock.Now()
	di.mu.Lock()
	for other, vo := range di.vouches {
		if now.Sub(vo.begunAt) >= vouchRetention {
			delete(di.vouches, other)
		}
	}
	vo, isRepeated := di.vouches[vk]
	isDone := isRepeated && vo.isDone
	isFull := !isRepeated && len(di.vouches) >= maxVouches
	if isDone {
		be = vo.belief
	}
	if !isRepeated && !isFull {
		di.vouches[vk] = &vouch{begunAt: now}
	}
	di.mu.Unlock()
	switch {
	case isDone || isFull:
		di.answer(question, key, &be)
	case !isRepeated:
		go di.vouch(question, key, vk)
	}
}

// vouch answers a question once the metadata store has confirmed the answer, or has failed to.
func (di *Directory) vouch(question message, key streamKey, vk vouchKey) {
	_, isConfirmed := <-di.confirm(context.Background(), question.Service)
	be := di.belief(question.Service)
	be.IsConfirmed = isConfirmed
	di.mu.Lock()
	if vo := di.vouches[vk]; vo != nil {
		vo.isDone, vo.belief = true, be
	}
	di.mu.Unlock()
	di.answer(question, key, &be)
}

// belief returns what this host holds of the versions of a service.
func (di *Directory) belief(service string) wireBelief {
	software, isSole := di.opts.Sole(service)
	if !isSole {
		software = ""
	}
	return wireBelief{IsSole: isSole, Software: software}
}

// answer answers a question of another host.
func (di *Directory) answer(question message, key streamKey, be *wireBelief) {
	re := message{Query: question.Query, IsAnswer: true, Belief: be}
	di.mu.Lock()
	or, ok := di.get(key)
	di.mu.Unlock()
	if ok {
		re.Origins = []wireOrigin{encodeOrigin(key, or)}
	}
	di.send(question.Host, re)
}
