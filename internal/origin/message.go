package origin

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
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
		// Service is the service of the stream that is asked for, and Confirm asks the receiver to confirm with the metadata
		// store what it holds of its versions. Hosts of earlier versions ignore both.
		Service string `json:"s,omitempty"`
		Confirm bool   `json:"c,omitempty"`
		// Belief is what the sender of an answer holds of the versions of the service; nil for hosts of earlier versions.
		Belief *wireBelief `json:"b,omitempty"`
	}

	wireBelief struct {
		// IsSole is set if the service has only one version, Software.
		IsSole   bool   `json:"o,omitempty"`
		Software string `json:"v,omitempty"`
		// IsConfirmed is set if a reading of the metadata store that began after the question has confirmed it.
		IsConfirmed bool `json:"c,omitempty"`
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
	switch {
	case me.IsAnswer:
		origins, err := decodeOrigins(me.Origins)
		if err != nil {
			return err
		}
		di.handleAnswer(me, origins)
	case me.Query != 0:
		key, err := decodeKey(me.Key)
		if err != nil {
			return err
		}
		di.handleQuestion(me, key)
	default:
		return di.remember(me.Origins)
	}
	return nil
}

// remember keeps origins of which other hosts have told this one. It fails with a *MessageError.
func (di *Directory) remember(encoded []wireOrigin) error {
	origins, err := decodeOrigins(encoded)
	if err != nil {
		return err
	}
	di.mu.Lock()
	defer di.mu.Unlock()
	for key, or := range origins {
		di.kept.put(key, or, di.opts.Clock.Now(), di.opts.Retention)
	}
	return nil
}

// decodeOrigins decodes origins. It fails with a *MessageError.
func decodeOrigins(encoded []wireOrigin) (map[streamKey]Origin, error) {
	out := make(map[streamKey]Origin, len(encoded))
	for _, wo := range encoded {
		key, err := decodeKey(wo.Key)
		if err != nil {
			return nil, err
		}
		out[key] = Origin{Service: wo.Service, Software: wo.Software}
	}
	return out, nil
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
