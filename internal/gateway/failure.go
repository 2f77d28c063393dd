package gateway

import (
	"net/http"
	"strconv"

	"github.com/bergamotway/bergamotway/internal/attempt"
)

// maxHeldFailureBytes bounds the header and the body of a failure that is held while the request is retried.
const maxHeldFailureBytes = 4 << 10

// heldFailure is the whole response with which an endpoint reported a failure of its own.
type heldFailure struct {
	status     int
	header     http.Header
	body       []byte
	bodyLength int64
	plan       plan
}

// holdFailure keeps the failure that an endpoint reported, for the case that no further attempt has a response.
func (fw *forwarder) holdFailure(rs *attempt.Response, body []byte, pl plan) {
	if fw.failure != nil || !rs.IsDelimited() || headerBytes(rs.Header)+len(body) > maxHeldFailureBytes {
		return
	}
	fw.failure = &heldFailure{status: rs.Status, header: rs.Header, body: body, bodyLength: rs.BodyLength(), plan: pl}
}

// passOnFailure responds with the failure that an endpoint reported earlier. It reports false if there is none.
func (fw *forwarder) passOnFailure(cause error) bool {
	hf := fw.failure
	if hf == nil || fw.headerWritten {
		return false
	}
	fw.endpointID = hf.plan.view.ID
	outcome := "answered"
	if err := fw.writeWhole(hf.status, hf.header, hf.body, hf.bodyLength); err != nil {
		outcome, cause = fw.unwritten(err)
	}
	fw.recordEndWithPlan(outcome, hf.status, cause, hf.plan)
	return true
}

// writeWhole writes a response of an endpoint that has been read completely.
func (fw *forwarder) writeWhole(status int, header http.Header, body []byte, bodyLength int64) error {
	fw.copyHeader(header)
	hd, method := fw.w.Header(), fw.rq.Method
	switch {
	case method == http.MethodHead && bodyLength >= 0:
		hd.Set("Content-Length", strconv.FormatInt(bodyLength, 10))
	case method != http.MethodHead && status != http.StatusNotModified:
		hd.Set("Content-Length", strconv.Itoa(len(body)))
	}
	fw.w.WriteHeader(status)
	if method == http.MethodHead {
		return nil
	}
	return fw.writeToClient(body, cap(body))
}

func headerBytes(hd http.Header) int {
	n := 0
	for name, values := range hd {
		for _, value := range values {
			n += len(name) + len(value)
		}
	}
	return n
}
