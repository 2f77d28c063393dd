package gateway

import (
	"io"
	"net/http"
	"strconv"

	"github.com/bergamotway/bergamotway/internal/attempt"
	"github.com/bergamotway/bergamotway/internal/catalog"
	"github.com/bergamotway/bergamotway/internal/fleet"
)

// own skips answers on the connection that belong to earlier requests.
func (fw *forwarding) own(an *attempt.Answer) error {
	for {
		me := fw.gw.opts.Codec.Meta(an.Status, an.Header)
		if me.RequestID == fw.rq.ID || (me.RequestID == "" && !an.Reused) {
			return nil
		}
		if me.RequestID == "" {
			an.Close()
			return failure("an answer does not name its request")
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(an, answerBytes)); err != nil {
			an.Close()
			return err
		}
		if err := an.Next(); err != nil {
			an.Close()
			return err
		}
	}
}

// whole reads an answer to its end and returns it.
func (fw *forwarding) whole(an *attempt.Answer, me Meta, pl plan) (verdict, fleet.Outcome, error) {
	rq := fw.rq
	body, err := io.ReadAll(io.LimitReader(an, answerBytes))
	success := an.Status >= 200 && an.Status < 300
	if err == nil && ((success && !me.Sealed) || me.Encoded) {
		err = failure("the answer is not the endpoint's own")
	}
	if err != nil {
		if fw.repeats() {
			return again, fleet.Failed, err
		}
		return giveUp, fleet.Failed, err
	}
	outcome := fleet.Good
	if an.Status >= http.StatusInternalServerError {
		outcome = fleet.Neutral
		if rq.route.Kind == catalog.Repeatable && fw.repeats() {
			return again, outcome, &StatusError{status: an.Status}
		}
	}
	fw.gw.opts.Meter.FirstToken(rq.route.Name, fw.gw.opts.Clock.Now().Sub(rq.arrived))
	hd := fw.w.Header()
	fw.gw.opts.Codec.Answer(hd, an.Header)
	hd.Set("Content-Length", strconv.Itoa(len(body)))
	fw.w.WriteHeader(an.Status)
	if rq.Method != http.MethodHead {
		if _, err := fw.w.Write(body); err != nil {
			fw.end("client-left", an.Status, err)
			return finished, outcome, nil
		}
	}
	fw.endAt("answered", an.Status, nil, pl)
	return finished, outcome, nil
}
