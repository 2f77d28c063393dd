package freshness

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"
)

// messagePrefix begins each message; hosts of earlier versions ignore what follows.
const messagePrefix = `{"configuration":`

type (
	// MessageError reports a message that cannot be decoded.
	MessageError struct{ cause error }

	// envelope is a message as it is sent.
	envelope struct {
		Message message `json:"configuration"`
	}

	// message is a question about the newest configuration, or the answer to one.
	message struct {
		// Host is the sender, and Question the number that it or the receiver gave the question.
		Host     string `json:"h"`
		Question uint64 `json:"q"`
		IsAnswer bool   `json:"a,omitempty"`
		// Version is the version of the sender's configuration, and AgeMs the time since it was the newest one, in milliseconds; nil means
		// that it never was for certain.
		Version uint64 `json:"v,omitempty"`
		AgeMs   *int64 `json:"t,omitempty"`
	}
)

// Error returns a message with the cause.
func (e *MessageError) Error() string { return fmt.Sprintf("freshness: invalid message: %v", e.cause) }

// Unwrap returns the cause.
func (e *MessageError) Unwrap() error { return e.cause }

// Handle handles a message of another host; ok is false if it is none of this package. It fails with a *MessageError.
func (gu *Guard) Handle(data []byte) (ok bool, err error) {
	if !bytes.HasPrefix(data, []byte(messagePrefix)) {
		return false, nil
	}
	var en envelope
	if err := json.Unmarshal(data, &en); err != nil {
		return true, &MessageError{cause: err}
	}
	if en.Message.IsAnswer {
		gu.handleAnswer(en.Message)
		return true, nil
	}
	answer := message{Question: en.Message.Question, IsAnswer: true, Version: gu.opts.Version()}
	if age, ok := gu.Age(); ok {
		// Rounded up, so that a configuration never seems newer than it is.
		ms := age.Milliseconds() + 1
		answer.AgeMs = &ms
	}
	gu.send(en.Message.Host, answer)
	return true, nil
}

func (gu *Guard) send(host string, me message) {
	me.Host = gu.opts.Host
	// Numbers and strings always encode.
	data, _ := json.Marshal(envelope{Message: me})
	gu.opts.Send(host, data)
}

// age returns the age in an answer; ok is false if the sender does not know it.
func (me message) age() (age time.Duration, ok bool) {
	if me.AgeMs == nil || *me.AgeMs < 0 {
		return 0, false
	}
	return time.Duration(*me.AgeMs) * time.Millisecond, true
}
