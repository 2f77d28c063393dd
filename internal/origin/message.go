package origin

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"time"
)

type (
	// MessageError reports a message that cannot be decoded.
	MessageError struct{ cause error }

	// message is what hosts send each other about streams: origins that the receiver is to remember, a question, or the
	// answer to one.
	message struct {
		// Host is the sender.
		Host    string       `json:"h"`
		Origins []wireOrigin `json:"o,omitempty"`
		// Query is the number of the question, and Key the stream that is asked for.
		Query uint64 `json:"q,omitempty"`
		Key   string `json:"k,omitempty"`
		// IsAnswer is set in an answer. Origins holds the stream then, if the sender remembers it.
		IsAnswer bool `json:"a,omitempty"`
	}

	wireOrigin struct {
		Key      string `json:"k"`
		Service  string `json:"s"`
		Software string `json:"v,omitempty"`
	}

	// keyLengthError reports a key with a wrong length.
	keyLengthError struct{ length int }
)

// Error returns a message with the cause.
func (e *MessageError) Error() string { return fmt.Sprintf("origin: invalid message: %v", e.cause) }

// Unwrap returns the cause.
func (e *MessageError) Unwrap() error { return e.cause }

// Error returns a message with the length.
func (e *keyLengthError) Error() string { return fmt.Sprintf("key of %d bytes", e.length) }

// Handle handles a message from another host. It fails with a *MessageError.
func (di *Directory) Handle(data []byte) error {
	var me message
	if err := json.Unmarshal(data, &me); err != nil {
		return &MessageError{cause: err}
	}
	origins := make(map[streamKey]Origin, len(me.Origins))
	for _, wo := range me.Origins {
		key, err := decodeKey(wo.Key)
		if err != nil {
			return err
		}
		origins[key] = Origin{Service: wo.Service, Software: wo.Software}
	}
	switch {
	case me.IsAnswer:
		di.handleAnswer(me, origins)
	case me.Query != 0:
		key, err := decodeKey(me.Key)
		if err != nil {
			return err
		}
		di.answer(me, key)
	default:
		di.mu.Lock()
		defer di.mu.Unlock()
		for key, or := range origins {
			di.kept.put(key, or, di.opts.Clock.Now(), di.opts.Retention)
		}
	}
	return nil
}

// tell sends origins to the hosts that keep them.
func (di *Directory) tell(origins map[streamKey]Origin) {
	byHost := make(map[string][]wireOrigin)
	for key, or := range origins {
		for _, host := range di.keepers(key, keeperCount) {
			byHost[host] = append(byHost[host], encodeOrigin(key, or))
		}
	}
	for host, all := range byHost {
		for len(all) > 0 {
			count := min(len(all), maxOriginsPerMessage)
			di.send(host, message{Origins: all[:count]})
			all = all[count:]
		}
	}
}

// ask asks the hosts that keep a stream for its origin, until one of them knows it or all have answered.
func (di *Directory) ask(ctx context.Context, key streamKey, timeout time.Duration) (Origin, bool) {
	hosts := di.keepers(key, askedCount)
	if len(hosts) == 0 {
		return Origin{}, false
	}
	qu := &query{key: key, open: make(map[string]bool), done: make(chan struct{})}
	for _, host := range hosts {
		qu.open[host] = true
	}
	di.mu.Lock()
	di.lastQuery++
	number := di.lastQuery
	di.queries[number] = qu
	di.mu.Unlock()
	expired := di.opts.Clock.After(timeout)
	for isOver := false; !isOver; {
		for _, host := range di.unanswered(qu) {
			di.send(host, message{Query: number, Key: encodeKey(key)})
		}
		select {
		case <-qu.done:
			isOver = true
		case <-ctx.Done():
			isOver = true
		case <-expired:
			isOver = true
		case <-di.opts.Clock.After(resendInterval):
		}
	}
	di.mu.Lock()
	defer di.mu.Unlock()
	delete(di.queries, number)
	return qu.origin, qu.found
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

// answer answers a question of another host.
func (di *Directory) answer(question message, key streamKey) {
	re := message{Query: question.Query, IsAnswer: true}
	di.mu.Lock()
	or, ok := di.get(key)
	di.mu.Unlock()
	if ok {
		re.Origins = []wireOrigin{encodeOrigin(key, or)}
	}
	di.send(question.Host, re)
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
	or, ok := origins[qu.key]
	if ok {
		qu.origin, qu.found = or, true
	}
	if ok || len(qu.open) == 0 {
		delete(di.queries, me.Query)
		close(qu.done)
	}
}

func (di *Directory) send(host string, me message) {
	me.Host = di.opts.Host
	// Numbers and strings always encode.
	data, _ := json.Marshal(me)
	di.opts.Send(host, data)
}

func encodeOrigin(key streamKey, or Origin) wireOrigin {
	return wireOrigin{Key: encodeKey(key), Service: or.Service, Software: or.Software}
}

func encodeKey(key streamKey) string { return base64.RawStdEncoding.EncodeToString(key[:]) }

// decodeKey decodes a key. It fails with a *MessageError.
func decodeKey(text string) (streamKey, error) {
	data, err := base64.RawStdEncoding.DecodeString(text)
	if err != nil {
		return streamKey{}, &MessageError{cause: err}
	}
	if len(data) != len(streamKey{}) {
		return streamKey{}, &MessageError{cause: &keyLengthError{length: len(data)}}
	}
	return streamKey(data), nil
}
