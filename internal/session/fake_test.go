package session_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/bergamotway/bergamotway/internal/clock"
	"github.com/bergamotway/bergamotway/internal/connection"
	"github.com/bergamotway/bergamotway/internal/dispatch"
	"github.com/bergamotway/bergamotway/internal/engine"
	"github.com/bergamotway/bergamotway/internal/history"
	"github.com/bergamotway/bergamotway/internal/keyvalue"
	"github.com/bergamotway/bergamotway/internal/service"
	standin "github.com/bergamotway/bergamotway/internal/standin/keyvalue"
	"github.com/bergamotway/bergamotway/internal/standin/plain"
)

type (
	// fakePlatform is the key-value service with its faults.
	fakePlatform struct {
		*standin.Service
		w *world

		mu            sync.Mutex
		isDown        bool
		isWatchSilent bool
		loseAnswers   int
		listed        []keyvalue.ListedHost
	}

	// nodePlatform is the key-value service as one host sees it.
	nodePlatform struct {
		nd *node
	}

	// fakeEngine is a model engine with its faults.
	fakeEngine struct {
		w    *world
		name string

		mu        sync.Mutex
		startID   int
		started   time.Time
		version   string
		fencing   uint64
		checks    bool
		loading   bool
		memory    map[string]bool
		running   map[string]context.CancelFunc
		peak      int
		coldPeak  int
		coldLimit int
		coldTime  time.Duration
		crashOn   string
		cutAfter  int
		isSilent  bool
		isCrossed bool
		noEndMark bool
		downUntil time.Time
		tokens    int
		crashes   int
		loads     int
		opened    int
	}

	nodeEngines struct {
		nd *node
	}

	fakeStream struct {
		en     *fakeEngine
		ctx    context.Context
		cancel context.CancelFunc
		rn     engine.Run
		text   string
		cached int
		start  string
		next   int
		sent   int
		ready  bool
		finish bool
	}

	// fakeStore is a store host whose pieces appear at once.
	fakeStore struct {
		w    *world
		name string

		mu     sync.Mutex
		pieces map[string]bool
		isDown bool
	}

	nodeStores struct {
		nd *node
	}

	// fakeService is the plain service with its faults.
	fakeService struct {
		w     *world
		plain *plain.Service

		mu        sync.Mutex
		isDown    bool
		dieBefore bool
		dieAfter  bool
		wait      time.Duration
		onCall    func()
	}

	nodeServices struct {
		sv *fakeService
		nd *node
	}
)

const (
	engineRate = 20_000
	tokenTime  = 10 * time.Millisecond
	// silenceLimit is how long a connection may give no byte.
	silenceLimit = 2 * time.Second
	engineStart  = "start-"
)

func newFakePlatform(w *world) *fakePlatform {
	return &fakePlatform{Service: standin.New(clock.System()), w: w}
}

func (fp *fakePlatform) set(f func()) {
	fp.mu.Lock()
	defer fp.mu.Unlock()
	f()
}

func (fp *fakePlatform) check() error {
	time.Sleep(2 * time.Millisecond)
	fp.mu.Lock()
	defer fp.mu.Unlock()
	if fp.isDown {
		return keyvalue.NewUnavailableError("call", errUnreachable)
	}
	return nil
}

// Get reads an entry.
func (fp *fakePlatform) Get(ctx context.Context, purpose keyvalue.Purpose, key string) (keyvalue.Entry, error) {
	if err := fp.check(); err != nil {
		return keyvalue.Entry{}, err
	}
	return fp.Service.Get(ctx, purpose, key)
}

// List reads entries.
func (fp *fakePlatform) List(ctx context.Context, purpose keyvalue.Purpose, prefix string) ([]keyvalue.Entry, error) {
	if err := fp.check(); err != nil {
		return nil, err
	}
	return fp.Service.List(ctx, purpose, prefix)
}

// Watch waits for a change; while watches are silent, it shows none.
func (fp *fakePlatform) Watch(ctx context.Context, purpose keyvalue.Purpose, key string, after uint64, bound time.Duration) (keyvalue.Entry, error) {
	if err := fp.check(); err != nil {
		return keyvalue.Entry{}, err
	}
	fp.mu.Lock()
	isSilent := fp.isWatchSilent
	fp.mu.Unlock()
	end := time.After(bound)
	if !isSilent {
		en, err := fp.Service.Watch(ctx, purpose, key, after, bound)
		fp.mu.Lock()
		isSilent = fp.isWatchSilent
		fp.mu.Unlock()
		if !isSilent {
			return en, err
		}
	}
	select {
	case <-ctx.Done():
	case <-end:
	}
	return keyvalue.Entry{}, keyvalue.NewUnavailableError("watch", errUnreachable)
}

// CompareAndSwap writes; while answers are lost, the write takes effect all the same.
func (fp *fakePlatform) CompareAndSwap(ctx context.Context, purpose keyvalue.Purpose, wr keyvalue.Write) (keyvalue.Entry, error) {
	if err := fp.check(); err != nil {
		return keyvalue.Entry{}, err
	}
	en, err := fp.Service.CompareAndSwap(ctx, purpose, wr)
	fp.mu.Lock()
	isLost := fp.loseAnswers > 0
	if isLost {
		fp.loseAnswers--
	}
	fp.mu.Unlock()
	if purpose != keyvalue.PurposeConfiguration {
		fp.w.logf("key-value %s: write %s, conflict %v, answer lost %v", purpose, wr.Key, err != nil, isLost)
	}
	if isLost {
		return keyvalue.Entry{}, keyvalue.NewUnavailableError("write", errUnreachable)
	}
	return en, err
}

func (np *nodePlatform) check(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	for np.nd.frozen() {
		select {
		case <-ctx.Done():
			return keyvalue.NewUnavailableError("call", ctx.Err())
		case <-time.After(10 * time.Millisecond):
		}
	}
	np.nd.mu.Lock()
	defer np.nd.mu.Unlock()
	if np.nd.isDown || np.nd.cut["platform"] {
		return keyvalue.NewUnavailableError("call", errUnreachable)
	}
	return nil
}

// Get reads an entry.
func (np *nodePlatform) Get(ctx context.Context, purpose keyvalue.Purpose, key string) (keyvalue.Entry, error) {
	if err := np.check(ctx); err != nil {
		return keyvalue.Entry{}, err
	}
	return np.nd.w.kv.Get(ctx, purpose, key)
}

// List reads entries.
func (np *nodePlatform) List(ctx context.Context, purpose keyvalue.Purpose, prefix string) ([]keyvalue.Entry, error) {
	if err := np.check(ctx); err != nil {
		return nil, err
	}
	return np.nd.w.kv.List(ctx, purpose, prefix)
}

// Watch waits for a change.
func (np *nodePlatform) Watch(ctx context.Context, purpose keyvalue.Purpose, key string, after uint64, bound time.Duration) (keyvalue.Entry, error) {
	if err := np.check(ctx); err != nil {
		return keyvalue.Entry{}, err
	}
	en, err := np.nd.w.kv.Watch(ctx, purpose, key, after, bound)
	if checkErr := np.check(ctx); checkErr != nil {
		return keyvalue.Entry{}, checkErr
	}
	return en, err
}

// CompareAndSwap writes.
func (np *nodePlatform) CompareAndSwap(ctx context.Context, purpose keyvalue.Purpose, wr keyvalue.Write) (keyvalue.Entry, error) {
	if err := np.check(ctx); err != nil {
		return keyvalue.Entry{}, err
	}
	return np.nd.w.kv.CompareAndSwap(ctx, purpose, wr)
}

// Hosts returns the platform's list.
func (np *nodePlatform) Hosts(ctx context.Context) ([]keyvalue.ListedHost, error) {
	if err := np.check(ctx); err != nil {
		return nil, err
	}
	np.nd.w.kv.mu.Lock()
	defer np.nd.w.kv.mu.Unlock()
	return append([]keyvalue.ListedHost(nil), np.nd.w.kv.listed...), nil
}

func newFakeEngine(w *world, name string, uptime time.Duration) *fakeEngine {
	return &fakeEngine{
		w: w, name: name, started: time.Now().Add(-uptime), version: "v1", memory: make(map[string]bool),
		running: make(map[string]context.CancelFunc), tokens: 4, coldLimit: 2, coldTime: 10 * time.Second,
	}
}

func (en *fakeEngine) set(f func()) {
	en.mu.Lock()
	defer en.mu.Unlock()
	f()
}

func (en *fakeEngine) start() string { return fmt.Sprintf("%s%d", engineStart, en.startID) }

// crash ends every run; the engine comes back cold after down.
func (en *fakeEngine) crash(down time.Duration) {
	en.crashes++
	en.startID++
	en.started = time.Now().Add(down)
	en.downUntil = en.started
	en.memory = make(map[string]bool)
	for id, cancel := range en.running {
		cancel()
		delete(en.running, id)
	}
	en.w.logf("%s crashes", en.name)
}

func (en *fakeEngine) open(ctx context.Context, nd *node, rn engine.Run) (dispatch.Stream, error) {
	text := engine.Text(rn.Messages)
	en.mu.Lock()
	defer en.mu.Unlock()
	en.w.logf("%s runs %s for %s: version %s, priority %d, resumed at %d", en.name, rn.ID, nd.name, rn.Version, rn.Priority, rn.ResumedTokens)
	if time.Now().Before(en.downUntil) {
		return nil, connection.NewDialError(en.name, errUnreachable)
	}
	if rn.Version != en.version {
		return nil, engine.NewRefusedError(en.name, http.StatusConflict)
	}
	en.opened++
	ctx, cancel := context.WithCancel(ctx)
	en.running[rn.ID] = cancel
	en.peak = max(en.peak, len(en.running))
	if time.Since(en.started) < en.coldTime {
		en.coldPeak = max(en.coldPeak, len(en.running))
		if len(en.running) > en.coldLimit {
			en.crash(time.Second)
			return nil, connection.NewBrokenError(en.name, false, io.ErrUnexpectedEOF)
		}
	}
	if en.crashOn != "" && strings.Contains(text, en.crashOn) {
		en.crash(time.Second)
		return nil, connection.NewBrokenError(en.name, false, io.ErrUnexpectedEOF)
	}
	root, _ := history.ParseName(rn.Salt)
	cached := 0
	for _, n := range history.NamesFrom(root, text) {
		if !en.memory[n.String()] {
			break
		}
		cached += history.PieceTokens
	}
	return &fakeStream{en: en, ctx: ctx, cancel: cancel, rn: rn, text: text, cached: cached, start: en.start(), next: rn.ResumedTokens}, nil
}

// Next returns the next token.
func (fs *fakeStream) Next() (engine.Token, error) {
	if !fs.ready {
		fs.ready = true
		read := time.Duration(float64(history.Tokens(fs.text)-fs.cached) / engineRate * float64(time.Second))
		if err := fs.wait(read); err != nil {
			return engine.Token{}, err
		}
		fs.en.remember(fs.rn.Salt, fs.text)
	}
	if err := fs.wait(tokenTime); err != nil {
		return engine.Token{}, err
	}
	if fs.en.silent() {
		// The silence limit of the connection.
		_ = fs.wait(silenceLimit)
		return engine.Token{}, connection.NewBrokenError(fs.en.name, true, io.ErrNoProgress)
	}
	fs.en.mu.Lock()
	defer fs.en.mu.Unlock()
	switch {
	case fs.en.isCrossed:
		return engine.Token{}, engine.NewCrossedError(fs.rn.ID, "another-run")
	case fs.en.cutAfter > 0 && fs.sent == fs.en.cutAfter, fs.en.noEndMark && fs.finish:
		return engine.Token{}, connection.NewBrokenError(fs.en.name, false, io.ErrUnexpectedEOF)
	case fs.finish:
		return engine.Token{}, io.EOF
	case fs.next >= fs.en.tokens:
		fs.finish = true
		return engine.Token{Sequence: fs.next, Finish: "stop"}, nil
	}
	tok := engine.Token{Text: fmt.Sprintf("%s.%d ", fs.rn.Version, fs.next), Sequence: fs.next}
	fs.next++
	fs.sent++
	return tok, nil
}

func (en *fakeEngine) silent() bool {
	en.mu.Lock()
	defer en.mu.Unlock()
	return en.isSilent
}

func (fs *fakeStream) wait(d time.Duration) error {
	select {
	case <-fs.ctx.Done():
		return connection.NewBrokenError(fs.en.name, false, fs.ctx.Err())
	case <-time.After(d):
		return nil
	}
}

// Close ends the run.
func (fs *fakeStream) Close() error {
	fs.cancel()
	fs.en.mu.Lock()
	defer fs.en.mu.Unlock()
	delete(fs.en.running, fs.rn.ID)
	return nil
}

// CachedTokens returns how many tokens were in memory.
func (fs *fakeStream) CachedTokens() int { return fs.cached }

// StartID returns the start identifier at which the run began.
func (fs *fakeStream) StartID() string { return fs.start }

func (en *fakeEngine) remember(salt, text string) {
	root, _ := history.ParseName(salt)
	en.mu.Lock()
	defer en.mu.Unlock()
	for _, n := range history.NamesFrom(root, text) {
		en.memory[n.String()] = true
	}
}

// Open starts a run.
func (ne *nodeEngines) Open(ctx context.Context, address string, rn engine.Run) (dispatch.Stream, error) {
	time.Sleep(time.Millisecond)
	return ne.nd.w.engines[address].open(ctx, ne.nd, rn)
}

// Load returns the engine's report.
func (ne *nodeEngines) Load(_ context.Context, address string) (engine.Load, error) {
	time.Sleep(time.Millisecond)
	en := ne.nd.w.engines[address]
	en.mu.Lock()
	defer en.mu.Unlock()
	if time.Now().Before(en.downUntil) {
		return engine.Load{}, connection.NewDialError(address, errUnreachable)
	}
	return engine.Load{
		StartID: en.start(), Version: en.version, UptimeMs: time.Since(en.started).Milliseconds(),
		Running: len(en.running), Loading: en.loading,
	}, nil
}

// LoadWeights loads a version in 2 s.
func (ne *nodeEngines) LoadWeights(ctx context.Context, address, _, version string, fencing uint64) error {
	en := ne.nd.w.engines[address]
	en.mu.Lock()
	if en.checks && fencing < en.fencing {
		en.mu.Unlock()
		en.w.logf("%s refuses an old fencing number", en.name)
		return engine.NewRefusedError(address, http.StatusPreconditionFailed)
	}
	en.fencing = max(en.fencing, fencing)
	en.loading = true
	en.loads++
	en.mu.Unlock()
	en.w.logf("%s loads %s by order of %s", en.name, version, ne.nd.name)
	select {
	case <-ctx.Done():
	case <-time.After(2 * time.Second):
	}
	en.set(func() {
		en.loading = false
		en.version = version
	})
	en.w.logf("%s has %s", en.name, version)
	return nil
}

// Import reads pieces that the store host has.
func (ne *nodeEngines) Import(_ context.Context, address, _ string, pieces []engine.Piece) (engine.MovedPieces, error) {
	en := ne.nd.w.engines[address]
	var moved engine.MovedPieces
	for _, pc := range pieces {
		time.Sleep(20 * time.Millisecond)
		if !ne.nd.w.stores[pc.Store].has(pc.Name) {
			break
		}
		en.set(func() { en.memory[pc.Name] = true })
		moved.Pieces++
		moved.Bytes += 400_000_000
	}
	en.w.logf("%s imports %d of %d pieces", en.name, moved.Pieces, len(pieces))
	return moved, nil
}

// Export writes pieces to a store host.
func (ne *nodeEngines) Export(_ context.Context, address, _, store string, names []string) (engine.MovedPieces, error) {
	en, st := ne.nd.w.engines[address], ne.nd.w.stores[store]
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.isDown {
		return engine.MovedPieces{}, connection.NewDialError(store, errUnreachable)
	}
	for _, name := range names {
		st.pieces[name] = true
	}
	en.w.logf("%s exports %d pieces to %s", en.name, len(names), st.name)
	return engine.MovedPieces{Pieces: len(names), Bytes: int64(len(names)) * 400_000_000}, nil
}

// Cancel ends a run.
func (ne *nodeEngines) Cancel(_ context.Context, address, runID string) error {
	en := ne.nd.w.engines[address]
	en.mu.Lock()
	defer en.mu.Unlock()
	en.w.logf("%s is ordered to cancel %s", en.name, runID)
	if cancel := en.running[runID]; cancel != nil {
		cancel()
		delete(en.running, runID)
	}
	return nil
}

func newFakeStore(w *world, name string) *fakeStore {
	return &fakeStore{w: w, name: name, pieces: make(map[string]bool)}
}

func (st *fakeStore) has(name string) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	return !st.isDown && st.pieces[name]
}

// Lookup returns the leading names that the store host has.
func (ns *nodeStores) Lookup(_ context.Context, address string, names []string) ([]engine.Piece, error) {
	time.Sleep(time.Millisecond)
	st := ns.nd.w.stores[address]
	var out []engine.Piece
	for _, name := range names {
		if !st.has(name) {
			break
		}
		out = append(out, engine.Piece{Name: name, Store: address, Generation: 1})
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.isDown {
		return nil, connection.NewDialError(address, errUnreachable)
	}
	return out, nil
}

func (sv *fakeService) as(nd *node) *nodeServices { return &nodeServices{sv: sv, nd: nd} }

func (sv *fakeService) set(f func()) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	f()
}

// Do runs a call once.
func (ns *nodeServices) Do(_ context.Context, address string, ca service.Call) (service.Answer, error) {
	sv := ns.sv
	sv.mu.Lock()
	isDown, dieBefore, dieAfter, wait, onCall := sv.isDown, sv.dieBefore, sv.dieAfter, sv.wait, sv.onCall
	sv.mu.Unlock()
	ns.nd.mu.Lock()
	isHostDown := ns.nd.isDown
	ns.nd.mu.Unlock()
	switch {
	case isDown || isHostDown:
		return service.Answer{}, connection.NewDialError(address, errUnreachable)
	case dieBefore:
		return service.Answer{}, connection.NewBrokenError(address, false, io.ErrUnexpectedEOF)
	}
	if onCall != nil {
		onCall()
	}
	number := sv.plain.Run(ca.Key)
	sv.w.logf("desk runs %s %s for %s", ca.Key, ca.Path, ns.nd.name)
	time.Sleep(5*time.Millisecond + wait)
	if dieAfter {
		return service.Answer{}, connection.NewBrokenError(address, false, io.ErrUnexpectedEOF)
	}
	return service.Answer{Status: http.StatusOK, Body: fmt.Appendf(nil, "receipt %d", number)}, nil
}
