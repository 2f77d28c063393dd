// Package storehost emulates a store host, which stores pieces of KV cache.
//
// A write has three steps: begin assigns a generation, put transfers the data, and commit transfers the
// checksum and makes the piece visible to readers. A piece that is freed and written again has another
// generation.
package storehost

import (
	"container/list"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/bergamotway/bergamotway/internal/clock"
	"github.com/bergamotway/bergamotway/internal/standin/fault"
)

type (
	// Options configures a Host.
	Options struct {
		Clock clock.Clock
		// Capacity is the maximum number of pieces.
		Capacity int
		// LinkBytesPerSecond is the bandwidth of the link, in bytes/s; zero means unlimited.
		LinkBytesPerSecond float64
		// PieceBytes is the emulated size of a piece on the link, in bytes.
		PieceBytes float64
	}

	// Host stores pieces in memory and evicts the least recently used. It is safe for concurrent use.
	Host struct {
		opts   Options
		faults *fault.Injector

		mu             sync.Mutex
		pieces         map[string]*piece
		lru            *list.List
		lastGeneration uint64
		linkFreeAt     time.Time
	}

	piece struct {
		name        string
		generation  uint64
		data        []byte
		checksum    string
		isCommitted bool
		element     *list.Element
	}

	lookupPiece struct {
		Name       string `json:"name"`
		Generation uint64 `json:"generation"`
		Checksum   string `json:"checksum"`
	}

	lookupReply struct {
		Pieces []lookupPiece `json:"pieces"`
	}
)

const piecesPath = "/v1/pieces/"

// New returns an empty host.
func New(opts Options, faults *fault.Injector) *Host {
	return &Host{opts: opts, faults: faults, pieces: make(map[string]*piece), lru: list.New()}
}

// Checksum returns the hex SHA-256 hash by which a reader verifies a piece.
func Checksum(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// PieceCount returns the number of committed pieces.
func (ho *Host) PieceCount() int {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	n := 0
	for _, pc := range ho.pieces {
		if pc.isCommitted {
			n++
		}
	}
	return n
}

// Free removes a piece.
func (ho *Host) Free(name string) {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	ho.free(name)
}

// Handle serves lookups at /v1/lookup, and begin (POST), put (PUT), commit (PATCH), read (GET) and free
// (DELETE) below /v1/pieces/.
func (ho *Host) Handle(fc *fasthttp.RequestCtx) {
	path := string(fc.Path())
	if path == "/v1/lookup" {
		ho.handleLookup(fc)
		return
	}
	name, ok := strings.CutPrefix(path, piecesPath)
	if !ok {
		fc.SetStatusCode(http.StatusNotFound)
		return
	}
	generation, err := strconv.ParseUint(string(fc.QueryArgs().Peek("generation")), 10, 64)
	if err != nil {
		generation = 0
	}
	switch string(fc.Method()) {
	case http.MethodPost:
		fc.SetBodyString(strconv.FormatUint(ho.beginWrite(name), 10))
	case http.MethodPut:
		ho.waitForLink()
		fc.SetStatusCode(ho.appendData(name, generation, fc.PostBody()))
	case http.MethodPatch:
		fc.SetStatusCode(ho.commit(name, generation, string(fc.PostBody())))
	case http.MethodDelete:
		ho.Free(name)
	default:
		ho.handleRead(fc, name, generation)
	}
}

// handleLookup returns the leading committed pieces of the requested names; the first name without one
// ends the result.
func (ho *Host) handleLookup(fc *fasthttp.RequestCtx) {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	out := lookupReply{Pieces: []lookupPiece{}}
	for name := range strings.SplitSeq(string(fc.PostBody()), "\n") {
		pc := ho.pieces[name]
		if pc == nil || !pc.isCommitted {
			break
		}
		ho.lru.MoveToFront(pc.element)
		out.Pieces = append(out.Pieces, lookupPiece{Name: name, Generation: pc.generation, Checksum: pc.checksum})
	}
	data, err := json.Marshal(out)
	if err != nil {
		fc.Error(err.Error(), http.StatusInternalServerError)
		return
	}
	fc.SetBody(data)
}

// beginWrite replaces a piece by an empty one, evicts the least recently used pieces over capacity, and returns the
// generation of the new piece.
func (ho *Host) beginWrite(name string) uint64 {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	ho.free(name)
	ho.lastGeneration++
	pc := &piece{name: name, generation: ho.lastGeneration}
	pc.element = ho.lru.PushFront(pc)
	ho.pieces[name] = pc
	for ho.lru.Len() > ho.opts.Capacity {
		last, ok := ho.lru.Back().Value.(*piece)
		if !ok {
			break
		}
		ho.free(last.name)
	}
	return pc.generation
}

// appendData adds data to a piece that is not committed yet, and returns the status of the response.
func (ho *Host) appendData(name string, generation uint64, data []byte) int {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	pc := ho.pieces[name]
	if pc == nil || pc.generation != generation || pc.isCommitted {
		return http.StatusConflict
	}
	pc.data = append(pc.data, data...)
	return http.StatusOK
}

// commit makes a piece visible to readers if its data matches the checksum, and returns the status of the response.
func (ho *Host) commit(name string, generation uint64, checksum string) int {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	pc := ho.pieces[name]
	if pc == nil || pc.generation != generation || Checksum(pc.data) != checksum {
		return http.StatusConflict
	}
	pc.checksum = checksum
	pc.isCommitted = true
	return http.StatusOK
}

func (ho *Host) handleRead(fc *fasthttp.RequestCtx, name string, generation uint64) {
	ho.mu.Lock()
	pc := ho.pieces[name]
	var data []byte
	status := http.StatusOK
	switch {
	case pc == nil || !pc.isCommitted:
		status = http.StatusNotFound
	case pc.generation != generation:
		status = http.StatusConflict
	default:
		data = append(data, pc.data...)
	}
	ho.mu.Unlock()
	fc.SetStatusCode(status)
	if status != http.StatusOK {
		return
	}
	ho.waitForLink()
	if ho.faults.Active().Corrupt && len(data) > 0 {
		data[0] ^= 0xff
	}
	fc.SetBody(data)
}

// waitForLink waits for the transfers queued on the link and then for the transfer time of one piece.
func (ho *Host) waitForLink() {
	if ho.opts.LinkBytesPerSecond <= 0 {
		return
	}
	transferTime := time.Duration(ho.opts.PieceBytes / ho.opts.LinkBytesPerSecond * float64(time.Second))
	ho.mu.Lock()
	now := ho.opts.Clock.Now()
	if ho.linkFreeAt.Before(now) {
		ho.linkFreeAt = now
	}
	ho.linkFreeAt = ho.linkFreeAt.Add(transferTime)
	wait := ho.linkFreeAt.Sub(now)
	ho.mu.Unlock()
	<-ho.opts.Clock.After(wait)
}

// free removes a piece, if it exists. The caller holds mu.
func (ho *Host) free(name string) {
	if pc := ho.pieces[name]; pc != nil {
		ho.lru.Remove(pc.element)
		delete(ho.pieces, name)
	}
}
