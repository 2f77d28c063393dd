// Package storehost is a stand-in for a store host, which keeps pieces of KV cache.
//
// A write has three steps: begin gives a generation, put carries the data, commit carries its
// checksum and makes the piece visible. A piece that is freed and written again has another
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
		// Capacity is how many pieces fit.
		Capacity int
		// LinkRate is the speed of the link, in bytes/s.
		LinkRate float64
		// PieceBytes is the size that a piece has on the link, in bytes.
		PieceBytes float64
	}

	// Host keeps pieces in memory. It is safe for concurrent use.
	Host struct {
		opts   Options
		faults *fault.Switch

		mu         sync.Mutex
		pieces     map[string]*piece
		order      *list.List
		generation uint64
		linkFree   time.Time
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

// New returns a host without pieces.
func New(opts Options, faults *fault.Switch) *Host {
	return &Host{opts: opts, faults: faults, pieces: make(map[string]*piece), order: list.New()}
}

// Checksum returns the sum by which a reader verifies a piece.
func Checksum(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// Pieces returns how many committed pieces there are.
func (ho *Host) Pieces() int {
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

// Free drops a piece.
func (ho *Host) Free(name string) {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	ho.free(name)
}

// Handle serves look-up, begin (POST), put (PUT), commit (PATCH), read (GET) and free (DELETE).
func (ho *Host) Handle(fc *fasthttp.RequestCtx) {
	path := string(fc.Path())
	if path == "/v1/lookup" {
		ho.lookup(fc)
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
		fc.SetBodyString(strconv.FormatUint(ho.begin(name), 10))
	case http.MethodPut:
		ho.occupyLink()
		fc.SetStatusCode(ho.put(name, generation, fc.PostBody()))
	case http.MethodPatch:
		fc.SetStatusCode(ho.commit(name, generation, string(fc.PostBody())))
	case http.MethodDelete:
		ho.Free(name)
	default:
		ho.read(fc, name, generation)
	}
}

func (ho *Host) lookup(fc *fasthttp.RequestCtx) {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	out := lookupReply{Pieces: []lookupPiece{}}
	for name := range strings.SplitSeq(string(fc.PostBody()), "\n") {
		pc := ho.pieces[name]
		if pc == nil || !pc.isCommitted {
			break
		}
		ho.order.MoveToFront(pc.element)
		out.Pieces = append(out.Pieces, lookupPiece{Name: name, Generation: pc.generation, Checksum: pc.checksum})
	}
	data, err := json.Marshal(out)
	if err != nil {
		fc.Error(err.Error(), http.StatusInternalServerError)
		return
	}
	fc.SetBody(data)
}

func (ho *Host) begin(name string) uint64 {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	ho.free(name)
	ho.generation++
	pc := &piece{name: name, generation: ho.generation}
	pc.element = ho.order.PushFront(pc)
	ho.pieces[name] = pc
	for ho.order.Len() > ho.opts.Capacity {
		last, ok := ho.order.Back().Value.(*piece)
		if !ok {
			break
		}
		ho.free(last.name)
	}
	return pc.generation
}

func (ho *Host) put(name string, generation uint64, data []byte) int {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	pc := ho.pieces[name]
	if pc == nil || pc.generation != generation || pc.isCommitted {
		return http.StatusConflict
	}
	pc.data = append(pc.data, data...)
	return http.StatusOK
}

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

func (ho *Host) read(fc *fasthttp.RequestCtx, name string, generation uint64) {
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
	ho.occupyLink()
	if ho.faults.Now().Corrupt && len(data) > 0 {
		data[0] ^= 0xff
	}
	fc.SetBody(data)
}

// occupyLink waits as long as one piece takes on the link, behind the pieces before it.
func (ho *Host) occupyLink() {
	if ho.opts.LinkRate <= 0 {
		return
	}
	took := time.Duration(ho.opts.PieceBytes / ho.opts.LinkRate * float64(time.Second))
	ho.mu.Lock()
	now := ho.opts.Clock.Now()
	if ho.linkFree.Before(now) {
		ho.linkFree = now
	}
	ho.linkFree = ho.linkFree.Add(took)
	wait := ho.linkFree.Sub(now)
	ho.mu.Unlock()
	<-ho.opts.Clock.After(wait)
}

func (ho *Host) free(name string) {
	if pc := ho.pieces[name]; pc != nil {
		ho.order.Remove(pc.element)
		delete(ho.pieces, name)
	}
}
